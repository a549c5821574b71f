#pragma once

#include "config/ConfigBasics.h"
#include "config/ConfigIndex.h"
#include "config/ConfigRecord.h"
#include "config/Resource.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mustardwinch {

/**
 * The configuration in force at one moment, with the look-ups that a request needs. Immutable:
 * a change makes a new snapshot, and requests that run keep the one they began with. What a look-up
 * answers lives as long as the snapshot.
 *
 * Organisations and routes are many and stay encoded until a request looks for them. Safe for
 * several threads; the mutex guards only what has been decoded.
 */
class ConfigSnapshot
{
public:
  ConfigSnapshot() = default;
  ConfigSnapshot(const ConfigSnapshot&) = delete;
  ConfigSnapshot& operator=(const ConfigSnapshot&) = delete;

  /** A snapshot of a few resources. @param aRevision highest platform version among them */
  ConfigSnapshot(std::uint64_t aRevision, std::vector<Resource> aResources);

  /** Made by ConfigStore. Every record of the index can be parsed by aParser. */
  ConfigSnapshot(std::uint64_t aRevision,
                 ConfigIndex aIndex,
                 std::shared_ptr<const ConfigBasics> aBasics,
                 std::shared_ptr<const ResourceParser> aParser,
                 std::size_t aLongestPrefix);

  std::uint64_t Revision() const { return mRevision; }

  /** The route with the longest matching prefix that allows the method; null if none does. */
  const Route* FindRoute(std::string_view aMethod, std::string_view aPath) const;

  /** The organisation that holds the key with this SHA-256 (lower-case hex); null if none does. */
  const Organisation* FindOrganisationByKeyHash(std::string_view aKeyHash) const;

  const Organisation* FindOrganisation(std::string_view aName) const;
  const Service* FindService(std::string_view aName) const;

  /** Healthy slots that ejection must leave to the service; 0 if no floor is set. */
  std::uint32_t FloorOf(std::string_view aService) const;

  bool IsFailureDomainOut(std::string_view aName) const;
  const FailureDomainState* FindFailureDomain(std::string_view aName) const;
  bool IsLeaving(const Address& aUpstream) const;

  /** Services, floors, failure domains and marks, for going through all of them. */
  const ConfigBasics& Basics() const { return *mBasics; }

  /** All resources. Decodes everything: not for the path of a request. */
  std::vector<Resource> Resources() const;

  /** Organisations and routes that look-ups have decoded so far. */
  std::size_t DecodedCount() const;

private:
  friend class ConfigStore;

  template<typename T>
  const T* Decoded(const Record::Ptr& aRecord) const;
  const Route* FindRouteAt(std::string_view aPrefix, std::string_view aMethod) const;

  std::uint64_t mRevision = 0;
  ConfigIndex mIndex;
  std::shared_ptr<const ConfigBasics> mBasics = std::make_shared<const ConfigBasics>();
  std::shared_ptr<const ResourceParser> mParser;
  std::size_t mLongestPrefix = 0; //!< no route has a longer one
  mutable std::mutex mMutex;
  mutable std::unordered_map<const Record*, std::unique_ptr<const Resource>> mDecoded;
};

} // namespace mustardwinch
