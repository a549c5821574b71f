#pragma once

#include "config/EditDecision.h"
#include "config/Resource.h"
#include "config/ResourceDocument.h"
#include "mustardwinch/Result.h"
#include "platform/PlatformApi.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * An operator's intent towards one resource. `decide` gets the object as it is (nothing if it does
 * not exist) and says what to do; it is asked again if another writer came first, so it must decide
 * from what it is given. An edit is for one use.
 */
struct ResourceEdit
{
  std::string kind;
  std::string name;
  std::function<Result<EditDecision>(const std::optional<PlatformObject>&)> decide;
};

/** What became of an edit. */
struct EditOutcome
{
  bool changed = false;      //!< false: the resource was as wanted
  std::uint64_t version = 0; //!< of the object; 0 if it does not exist

  bool operator==(const EditOutcome&) const = default;
};

/**
 * Reads, decides and writes with the version read, and does so again if another was first.
 *
 * @param aWriter unique for each process
 */
Result<EditOutcome> ApplyEdit(PlatformApi& aPlatform,
                              const ResourceEdit& aEdit,
                              const std::string& aWriter);

/** Creates the resource; kPlatformConflict if another one has its name. */
ResourceEdit MakeCreateEdit(const Resource& aResource);

/**
 * Creates or replaces the resource of the document. kPlatformConflict if its spec changes while the
 * edit runs, or is not the version that the document names, so that no other operator's change is
 * overwritten unseen.
 */
ResourceEdit MakeReplaceEdit(const ResourceDocument& aDocument);

/** Deletes the resource as first read; kPlatformConflict if its spec changes meanwhile. */
ResourceEdit MakeDeleteEdit(const std::string& aKind, const std::string& aName);

/** Adds a key hash to an organisation that exists. */
ResourceEdit MakeAddKeyEdit(const std::string& aOrganisation, const std::string& aKeyHash);

/** Takes a key hash from an organisation; kPlatformNotFound if it never held it. */
ResourceEdit MakeWithdrawKeyEdit(const std::string& aOrganisation, const std::string& aKeyHash);

/** Takes a failure domain out, or returns it; keeps its other fields. */
ResourceEdit MakeDomainEdit(const std::string& aDomain, FailureDomainState::State aState);

/** Marks an upstream as leaving. */
ResourceEdit MakeLeaveEdit(const Address& aUpstream);

/** Takes the mark away. */
ResourceEdit MakeReturnEdit(const Address& aUpstream);

} // namespace mustardwinch
