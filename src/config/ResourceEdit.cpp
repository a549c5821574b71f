#include "config/ResourceEdit.h"

#include "config/ResourceSchema.h"
#include "mustardwinch/Clock.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <random>
#include <thread>

namespace mustardwinch {
namespace {

constexpr int kEditAttempts = 20;

// Pauses after a lost race, so that an operator who writes many objects in a row lets others pass.
constexpr Milliseconds kFirstBackoff{ 1 };
constexpr Milliseconds kLongestBackoff{ 50 };

/** Waits a random time that grows with the races lost. */
void BackOff(int aLostRaces)
{
  constexpr int kMostDoublings = 6; // beyond the longest pause
  static thread_local std::minstd_rand sRandom{ std::random_device{}() };
  const Milliseconds most =
    std::min(kLongestBackoff, kFirstBackoff * (1 << std::min(aLostRaces, kMostDoublings)));
  std::uniform_int_distribution<std::int64_t> pause(0, Duration(most).count());
  std::this_thread::sleep_for(Duration(pause(sRandom)));
}

using Present = std::optional<PlatformObject>;

Result<Present> Read(PlatformApi& aPlatform, const ResourceEdit& aEdit)
{
  Result<PlatformObject> object = aPlatform.Get(aEdit.kind, aEdit.name);
  if (object) {
    return Present(std::move(object.Value()));
  }
  if (object.Error().code == ResultCode::kPlatformNotFound) {
    return Present();
  }
  return object.Error();
}

PlatformWrite MakeWrite(const ResourceEdit& aEdit, const Present& aPresent, EditDecision aDecision)
{
  PlatformWrite write;
  write.kind = aEdit.kind;
  write.name = aEdit.name;
  write.expectedVersion = aPresent ? aPresent->version : 0;
  if (const auto* wanted = std::get_if<WriteResource>(&aDecision)) {
    write.body = SpecOf(wanted->resource);
  } else {
    write.part = PlatformWrite::Part::kDelete;
  }
  return write;
}

/** An id that no other write has, as long as no other process has the writer's name. */
std::string MakeOperation(const std::string& aWriter)
{
  static std::atomic<std::uint64_t> sWrites{ 0 };
  return aWriter + "." + std::to_string(++sWrites);
}

/** Whether the schema would refuse the resource when it is read; an edit may have broken a bound.
 */
std::optional<Failure> CheckWanted(const EditDecision& aDecision)
{
  const auto* wanted = std::get_if<WriteResource>(&aDecision);
  if (wanted == nullptr) {
    return std::nullopt;
  }
  const Resource& resource = wanted->resource;
  const auto parsed = ParseResource(KindOf(resource), NameOf(resource), SpecOf(resource));
  return parsed ? std::nullopt : std::optional(parsed.Error());
}

bool MustDecideAnew(const Failure& aFailure)
{
  return aFailure.code == ResultCode::kPlatformConflict ||
         aFailure.code == ResultCode::kPlatformUnclear;
}

Failure Conflict(const std::string& aObject, const Present& aPresent)
{
  std::string text = aObject + " was deleted by another";
  if (aPresent) {
    text = aObject + " was written by " + aPresent->writer + " at specVersion " +
           std::to_string(aPresent->specVersion);
  }
  return { ResultCode::kPlatformConflict, text + "; look at it again" };
}

Failure Missing(const std::string& aText)
{
  return { ResultCode::kPlatformNotFound, aText };
}

/** Remembers the spec that an edit saw first, and finds out whether it has changed since. */
class FirstSeen
{
public:
  /** Whether the spec is the one that was seen first; absence has the version 0. */
  bool IsSame(const Present& aPresent)
  {
    const std::uint64_t version = aPresent ? aPresent->specVersion : 0;
    if (!mVersion) {
      mVersion = version;
    }
    return *mVersion == version;
  }

private:
  std::optional<std::uint64_t> mVersion;
};

bool IsEqual(const Present& aPresent, const Resource& aResource)
{
  const auto parsed = ParseResource(*aPresent);
  return parsed && parsed.Value() == aResource;
}

/** The resource of the document, with the present keys if it keeps them. */
Result<Resource> Wanted(const ResourceDocument& aDocument, const Present& aPresent)
{
  if (!aDocument.keepsKeys || !aPresent) {
    return aDocument.resource;
  }
  const Result<Resource> parsed = ParseResource(*aPresent);
  if (!parsed) {
    return parsed.Error();
  }
  Organisation organisation = std::get<Organisation>(aDocument.resource);
  organisation.keyHashes = std::get<Organisation>(parsed.Value()).keyHashes;
  return Resource(std::move(organisation));
}

using EditOrganisation = std::function<Result<EditDecision>(Organisation)>;

/** An edit of an organisation that must exist and be valid. */
ResourceEdit MakeOrganisationEdit(const std::string& aName, EditOrganisation aEdit)
{
  return { "organisation",
           aName,
           [aName, edit = std::move(aEdit)](const Present& aPresent) -> Result<EditDecision> {
             if (!aPresent) {
               return Missing("organisation/" + aName + " does not exist");
             }
             const Result<Resource> parsed = ParseResource(*aPresent);
             if (!parsed) {
               return parsed.Error();
             }
             return edit(std::get<Organisation>(parsed.Value()));
           } };
}

} // namespace

Result<EditOutcome> ApplyEdit(PlatformApi& aPlatform,
                              const ResourceEdit& aEdit,
                              const std::string& aWriter)
{
  Failure last;
  for (int i = 0; i < kEditAttempts; ++i) {
    const Result<Present> present = Read(aPlatform, aEdit);
    if (!present) {
      return present.Error();
    }
    const Result<EditDecision> decision = aEdit.decide(present.Value());
    if (!decision) {
      return decision.Error();
    }
    if (std::holds_alternative<KeepResource>(decision.Value())) {
      return EditOutcome{ false, present.Value() ? present.Value()->version : 0 };
    }
    if (const auto failure = CheckWanted(decision.Value())) {
      return *failure;
    }
    PlatformWrite write = MakeWrite(aEdit, present.Value(), decision.Value());
    write.writer = aWriter;
    write.operation = MakeOperation(aWriter);
    const Result<PlatformObject> written = aPlatform.WriteConfirmed(write);
    if (written) {
      return EditOutcome{ true, written.Value().version };
    }
    if (!MustDecideAnew(written.Error())) {
      return written.Error();
    }
    last = written.Error();
    BackOff(i);
  }
  return last;
}

ResourceEdit MakeCreateEdit(const Resource& aResource)
{
  return { KindOf(aResource),
           NameOf(aResource),
           [aResource](const Present& aPresent) -> Result<EditDecision> {
             if (!aPresent) {
               return EditDecision(WriteResource{ aResource });
             }
             if (IsEqual(aPresent, aResource)) {
               return EditDecision(KeepResource{});
             }
             return { ResultCode::kPlatformConflict,
                      aPresent->kind + "/" + aPresent->name + " exists already" };
           } };
}

ResourceEdit MakeReplaceEdit(const ResourceDocument& aDocument)
{
  const std::string kind = KindOf(aDocument.resource);
  const std::string name = NameOf(aDocument.resource);
  const auto seen = std::make_shared<FirstSeen>();
  return { kind,
           name,
           [aDocument, kind, name, seen](const Present& aPresent) -> Result<EditDecision> {
             const Result<Resource> wanted = Wanted(aDocument, aPresent);
             if (!wanted) {
               return wanted.Error();
             }
             if (aPresent && IsEqual(aPresent, wanted.Value())) {
               return EditDecision(KeepResource{});
             }
             const std::uint64_t version = aPresent ? aPresent->specVersion : 0;
             if (!seen->IsSame(aPresent) || version != aDocument.specVersion.value_or(version)) {
               return Conflict(kind + "/" + name, aPresent);
             }
             return EditDecision(WriteResource{ wanted.Value() });
           } };
}

ResourceEdit MakeDeleteEdit(const std::string& aKind, const std::string& aName)
{
  const auto seen = std::make_shared<FirstSeen>();
  return { aKind, aName, [aKind, aName, seen](const Present& aPresent) -> Result<EditDecision> {
            const bool isSame = seen->IsSame(aPresent);
            if (!aPresent) {
              // Gone since it was first read is as good as deleted here.
              return isSame ? Result<EditDecision>(Missing(aKind + "/" + aName))
                            : Result<EditDecision>(KeepResource{});
            }
            return isSame ? Result<EditDecision>(DeleteResource{})
                          : Conflict(aKind + "/" + aName, aPresent);
          } };
}

ResourceEdit MakeAddKeyEdit(const std::string& aOrganisation, const std::string& aKeyHash)
{
  return MakeOrganisationEdit(
    aOrganisation, [aKeyHash](Organisation aPresent) -> Result<EditDecision> {
      auto& hashes = aPresent.keyHashes;
      if (std::find(hashes.begin(), hashes.end(), aKeyHash) != hashes.end()) {
        return EditDecision(KeepResource{});
      }
      hashes.push_back(aKeyHash);
      return EditDecision(WriteResource{ std::move(aPresent) });
    });
}

ResourceEdit MakeWithdrawKeyEdit(const std::string& aOrganisation, const std::string& aKeyHash)
{
  const auto held = std::make_shared<bool>(false);
  return MakeOrganisationEdit(
    aOrganisation, [aKeyHash, held](Organisation aPresent) -> Result<EditDecision> {
      if (std::erase(aPresent.keyHashes, aKeyHash) > 0) {
        *held = true;
        return EditDecision(WriteResource{ std::move(aPresent) });
      }
      if (*held) {
        return EditDecision(KeepResource{});
      }
      return Missing("organisation/" + aPresent.name + " does not hold this key");
    });
}

ResourceEdit MakeDomainEdit(const std::string& aDomain, FailureDomainState::State aState)
{
  return { "failuredomain",
           aDomain,
           [aDomain, aState](const Present& aPresent) -> Result<EditDecision> {
             FailureDomainState domain;
             domain.name = aDomain;
             if (aPresent) {
               const Result<Resource> parsed = ParseResource(*aPresent);
               if (!parsed) {
                 return parsed.Error();
               }
               domain = std::get<FailureDomainState>(parsed.Value());
             }
             if (aPresent && domain.state == aState) {
               return EditDecision(KeepResource{});
             }
             domain.state = aState;
             return EditDecision(WriteResource{ domain });
           } };
}

ResourceEdit MakeLeaveEdit(const Address& aUpstream)
{
  const std::string name = aUpstream.ToString();
  return { "leaving", name, [aUpstream, name](const Present& aPresent) -> Result<EditDecision> {
            if (aPresent) {
              return EditDecision(KeepResource{});
            }
            return EditDecision(WriteResource{ LeavingUpstream{ name, aUpstream } });
          } };
}

ResourceEdit MakeReturnEdit(const Address& aUpstream)
{
  return { "leaving", aUpstream.ToString(), [](const Present& aPresent) -> Result<EditDecision> {
            return aPresent ? EditDecision(DeleteResource{}) : EditDecision(KeepResource{});
          } };
}

} // namespace mustardwinch
