#include "health/EjectionUpdater.h"

namespace mustardwinch {
namespace {

constexpr int kMaxAttempts = 8;

/** The stored set and its version; an empty set with version 0 if the object does not exist. */
struct VersionedSet
{
  EjectionSet set;
  std::uint64_t version = 0;
};

Result<VersionedSet> ParseStoredSet(const Result<PlatformObject>& aObject)
{
  if (!aObject) {
    if (aObject.Error().code == ResultCode::kPlatformNotFound) {
      return VersionedSet{};
    }
    return aObject.Error();
  }
  const std::optional<EjectionSet> set = EjectionSet::FromJson(aObject.Value().spec);
  if (!set) {
    return Result<VersionedSet>(ResultCode::kPlatformBadAnswer, "ejections");
  }
  return VersionedSet{ *set, aObject.Value().version };
}

} // namespace

EjectionUpdater::EjectionUpdater(EjectionStore aStore, std::string aWriter)
  : mStore(std::move(aStore))
  , mWriter(std::move(aWriter))
{
}

Result<EjectionSet> EjectionUpdater::Update(const std::string& aService, const Decision& aDecision)
{
  for (int i = 0; i < kMaxAttempts; ++i) {
    const Result<VersionedSet> read = ParseStoredSet(mStore.read(aService));
    if (!read) {
      return read.Error();
    }
    EjectionSet wanted = aDecision(read.Value().set);
    if (wanted == read.Value().set) {
      return wanted;
    }
    PlatformWrite write;
    write.kind = EjectionSet::kKind;
    write.name = aService;
    write.expectedVersion = read.Value().version;
    write.body = wanted.ToJson();
    write.writer = mWriter;
    write.operation = mWriter + "/ejection/" + std::to_string(mNextOperation++);
    const Result<PlatformObject> written = mStore.write(write);
    if (written) {
      return wanted;
    }
    // In both cases the object now holds another write: read it again and repeat the decision.
    const bool lostRace = written.Error().code == ResultCode::kPlatformConflict ||
                          written.Error().code == ResultCode::kPlatformUnclear;
    if (!lostRace) {
      return written.Error();
    }
  }
  return Result<EjectionSet>(ResultCode::kPlatformConflict, aService);
}

} // namespace mustardwinch
