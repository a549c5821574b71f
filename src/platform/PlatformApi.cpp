#include "platform/PlatformApi.h"

#include <algorithm>
#include <optional>

namespace mustardwinch {
namespace {

constexpr int kWriteAttempts = 3;
constexpr int kConfirmReads = 3;

/** Whether the failure leaves open if a write took effect. */
bool IsUnclear(const Failure& aFailure)
{
  return aFailure.code == ResultCode::kPlatformUnavailable ||
         aFailure.code == ResultCode::kPlatformBadAnswer;
}

/** Whether the object as read holds this write. */
bool Holds(const PlatformObject& aObject, const PlatformWrite& aWrite)
{
  if (aWrite.part == PlatformWrite::Part::kStatus) {
    return aObject.statusOperation == aWrite.operation;
  }
  return aObject.operation == aWrite.operation;
}

/** What is read for an object that does not exist: version 0, as a create expects it. */
PlatformObject Absent(const PlatformWrite& aWrite)
{
  PlatformObject object;
  object.kind = aWrite.kind;
  object.name = aWrite.name;
  return object;
}

/** Finds the object, or its tombstone, in a list. */
PlatformObject FindInList(const PlatformChanges& aList, const PlatformWrite& aWrite)
{
  const auto it =
    std::find_if(aList.objects.begin(), aList.objects.end(), [&](const auto& aObject) {
      return aObject.kind == aWrite.kind && aObject.name == aWrite.name;
    });
  return it == aList.objects.end() ? Absent(aWrite) : *it;
}

/** Reads what a write may have changed. Only a list holds the tombstone of a deleted object. */
Result<PlatformObject> ReadBack(PlatformApi& aPlatform, const PlatformWrite& aWrite)
{
  if (aWrite.part != PlatformWrite::Part::kDelete) {
    Result<PlatformObject> object = aPlatform.Get(aWrite.kind, aWrite.name);
    if (object || object.Error().code != ResultCode::kPlatformNotFound) {
      return object;
    }
  }
  const Result<PlatformChanges> list = aPlatform.List({ aWrite.kind });
  if (!list) {
    return list.Error();
  }
  return FindInList(list.Value(), aWrite);
}

/** What is known of a write before it is read back. */
struct WriteState
{
  bool conflicted = false; //!< the platform said that the version has moved on
  bool unclear = false;    //!< a reply was lost, so an earlier try may have taken effect
};

/**
 * The verdict on a write whose reply was lost, or was a conflict that may be with itself.
 *
 * @return nothing if the write has not taken effect yet, or if that is still not known
 */
std::optional<Result<PlatformObject>> FindVerdict(PlatformApi& aPlatform,
                                                  const PlatformWrite& aWrite,
                                                  const WriteState& aState)
{
  for (int i = 0; i < kConfirmReads; ++i) {
    const Result<PlatformObject> read = ReadBack(aPlatform, aWrite);
    if (!read) {
      continue;
    }
    if (Holds(read.Value(), aWrite)) {
      return read;
    }
    if (read.Value().version > aWrite.expectedVersion) {
      const auto code =
        aState.unclear ? ResultCode::kPlatformUnclear : ResultCode::kPlatformConflict;
      return Result<PlatformObject>(code, "the object holds another write");
    }
    // After a conflict a read that still finds the old version is stale, so it is read again.
    if (!aState.conflicted) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace

PlatformApi::PlatformApi(Backend aBackend)
  : mBackend(std::move(aBackend))
{
}

Result<PlatformObject> PlatformApi::Get(const std::string& aKind, const std::string& aName)
{
  return std::visit([&](const auto& aPlatform) { return aPlatform->Get(aKind, aName); }, mBackend);
}

Result<PlatformChanges> PlatformApi::List(const std::vector<std::string>& aKinds)
{
  return std::visit([&](const auto& aPlatform) { return aPlatform->List(aKinds); }, mBackend);
}

Result<PlatformObject> PlatformApi::Write(const PlatformWrite& aWrite)
{
  return std::visit([&](const auto& aPlatform) { return aPlatform->Write(aWrite); }, mBackend);
}

Result<PlatformChanges> PlatformApi::Watch(const std::vector<std::string>& aKinds,
                                           std::uint64_t aRevision,
                                           Milliseconds aWait)
{
  return std::visit(
    [&](const auto& aPlatform) { return aPlatform->Watch(aKinds, aRevision, aWait); }, mBackend);
}

std::uint64_t PlatformApi::Epoch() const
{
  return std::visit([](const auto& aPlatform) { return aPlatform->Epoch(); }, mBackend);
}

Result<PlatformObject> PlatformApi::WriteConfirmed(const PlatformWrite& aWrite)
{
  Result<PlatformObject> result(ResultCode::kPlatformUnavailable);
  WriteState state;
  for (int i = 0; i < kWriteAttempts; ++i) {
    result = Write(aWrite);
    if (result) {
      return result;
    }
    state.conflicted = result.Error().code == ResultCode::kPlatformConflict;
    if (!state.conflicted && !IsUnclear(result.Error())) {
      return result;
    }
    state.unclear = state.unclear || !state.conflicted;
    if (auto verdict = FindVerdict(*this, aWrite, state)) {
      return *verdict;
    }
  }
  if (!state.unclear) {
    return result;
  }
  return { ResultCode::kPlatformUnavailable, "it is not known whether the write took effect" };
}

} // namespace mustardwinch
