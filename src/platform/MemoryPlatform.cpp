#include "platform/MemoryPlatform.h"

#include "platform/PlatformLimits.h"
#include "platform/PlatformVersion.h"

#include <algorithm>
#include <chrono>

namespace mustardwinch {
namespace {

/** Takes one off a counter of faults; false if none are left. */
bool Spend(std::uint32_t& aCounter)
{
  if (aCounter == 0) {
    return false;
  }
  --aCounter;
  return true;
}

Failure Unavailable()
{
  return { ResultCode::kPlatformUnavailable, "the stand-in does not answer" };
}

Failure Malformed()
{
  return { ResultCode::kPlatformBadAnswer, "the stand-in answers nonsense" };
}

Failure Compacted(std::uint64_t aRevision)
{
  return { ResultCode::kPlatformCompacted, "changes are kept since " + std::to_string(aRevision) };
}

Failure NotFound(const std::string& aKind, const std::string& aName)
{
  return { ResultCode::kPlatformNotFound, aKind + "/" + aName };
}

} // namespace

MemoryPlatform::MemoryPlatform(std::uint64_t aKeptChanges)
  : mKeptChanges(aKeptChanges)
{
}

bool MemoryPlatform::IsAway() const
{
  return mClosed || mFaults.outage;
}

bool MemoryPlatform::Enter(Lock& aLock, std::uint64_t PlatformCounts::*aCount)
{
  ++(mCounts.*aCount);
  if (mFaults.latencyMs > 0) {
    mChanged.wait_for(aLock, Milliseconds(mFaults.latencyMs), [this] { return mClosed; });
  }
  return !IsAway();
}

Result<PlatformObject> MemoryPlatform::Get(const std::string& aKind, const std::string& aName)
{
  Lock lock(mMutex);
  if (!Enter(lock, &PlatformCounts::gets)) {
    return Unavailable();
  }
  if (Spend(mFaults.malformedAnswers)) {
    return Malformed();
  }
  const auto it = mEntries.find({ aKind, aName });
  if (it == mEntries.end()) {
    return NotFound(aKind, aName);
  }
  const Entry& entry = it->second;
  const bool stale = Spend(mFaults.staleReads);
  if (stale && !entry.before) {
    return NotFound(aKind, aName);
  }
  const PlatformObject& object = stale ? *entry.before : entry.now;
  if (object.deleted) {
    return NotFound(aKind, aName);
  }
  return object;
}

Result<PlatformChanges> MemoryPlatform::List(const std::vector<std::string>& aKinds)
{
  Lock lock(mMutex);
  if (!Enter(lock, &PlatformCounts::lists)) {
    return Unavailable();
  }
  if (Spend(mFaults.malformedAnswers)) {
    return Malformed();
  }
  PlatformChanges changes = ChangesSince(aKinds, 0);
  return Spend(mFaults.staleReads) ? StaleList(changes) : changes;
}

Result<PlatformObject> MemoryPlatform::Write(const PlatformWrite& aWrite)
{
  Lock lock(mMutex);
  if (!Enter(lock, &PlatformCounts::writes)) {
    return Unavailable();
  }
  if (Spend(mFaults.dropWrites)) {
    return Unavailable();
  }
  Result<PlatformObject> result = WriteLocked(aWrite);
  if (Spend(mFaults.loseReplies)) {
    return Unavailable();
  }
  if (Spend(mFaults.malformedAnswers)) {
    return Malformed();
  }
  return result;
}

Result<PlatformObject> MemoryPlatform::WriteLocked(const PlatformWrite& aWrite)
{
  if (const auto failure = CheckWrite(aWrite)) {
    return *failure;
  }
  const auto it = mEntries.find({ aWrite.kind, aWrite.name });
  const bool exists = it != mEntries.end() && !it->second.now.deleted;
  const std::uint64_t version = exists ? it->second.now.version : 0;
  if (version != aWrite.expectedVersion) {
    return { ResultCode::kPlatformConflict, "the version is " + std::to_string(version) };
  }

  PlatformObject object = exists ? it->second.now : PlatformObject{};
  object.kind = aWrite.kind;
  object.name = aWrite.name;
  object.version = mRevision + 1;
  object.copied = false;
  if (aWrite.part == PlatformWrite::Part::kStatus) {
    object.status = aWrite.body;
    object.statusOperation = aWrite.operation;
  } else {
    object.specVersion = object.version;
    object.writer = aWrite.writer;
    object.operation = aWrite.operation;
    object.deleted = aWrite.part == PlatformWrite::Part::kDelete;
    if (!object.deleted) {
      object.spec = aWrite.body;
    }
  }
  Store(object);
  return object;
}

void MemoryPlatform::Store(PlatformObject aObject)
{
  const Key key(aObject.kind, aObject.name);
  mRevision = aObject.version;
  mByVersion[mRevision] = key;
  if (const auto it = mEntries.find(key); it != mEntries.end()) {
    Entry& entry = it->second;
    mByVersion.erase(entry.now.version);
    entry.before = std::exchange(entry.now, std::move(aObject));
  } else {
    mEntries.emplace(key, Entry{ std::move(aObject), std::nullopt });
  }
  if (mRevision > mKeptChanges) {
    CompactUpTo(mRevision - mKeptChanges);
  }
  mChanged.notify_all();
}

void MemoryPlatform::CompactUpTo(std::uint64_t aRevision)
{
  for (auto it = mByVersion.upper_bound(mCompacted);
       it != mByVersion.end() && it->first <= aRevision;) {
    const auto entry = mEntries.find(it->second);
    if (!entry->second.now.deleted) {
      ++it;
      continue;
    }
    mEntries.erase(entry);
    it = mByVersion.erase(it);
  }
  mCompacted = std::max(mCompacted, aRevision);
}

PlatformChanges MemoryPlatform::ChangesSince(const std::vector<std::string>& aKinds,
                                             std::uint64_t aRevision) const
{
  PlatformChanges changes;
  changes.revision = mRevision;
  changes.epochBegin = mEpochBegin;
  for (auto it = mByVersion.upper_bound(aRevision); it != mByVersion.end(); ++it) {
    if (std::find(aKinds.begin(), aKinds.end(), it->second.first) != aKinds.end()) {
      changes.objects.push_back(mEntries.at(it->second).now);
    }
  }
  return changes;
}

/** The list as it was before the last write to one of its objects. */
PlatformChanges MemoryPlatform::StaleList(const PlatformChanges& aFresh) const
{
  if (aFresh.objects.empty()) {
    return aFresh;
  }
  PlatformChanges stale = aFresh;
  const PlatformObject last = stale.objects.back();
  stale.objects.pop_back();
  stale.revision = last.version - 1;
  const Entry& entry = mEntries.at({ last.kind, last.name });
  if (entry.before) {
    stale.objects.push_back(*entry.before);
  }
  std::sort(stale.objects.begin(), stale.objects.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.version < aRight.version;
  });
  return stale;
}

Result<PlatformChanges> MemoryPlatform::Watch(const std::vector<std::string>& aKinds,
                                              std::uint64_t aRevision,
                                              Milliseconds aWait)
{
  const auto deadline = std::chrono::steady_clock::now() + aWait;
  Lock lock(mMutex);
  if (!Enter(lock, &PlatformCounts::watches)) {
    return Unavailable();
  }
  if (Spend(mFaults.malformedAnswers)) {
    return Malformed();
  }
  // A start from after the newest revision is from another history, so it is unknown here as well.
  if (aRevision < mCompacted || aRevision > mRevision) {
    return Compacted(mCompacted);
  }
  PlatformChanges changes = ChangesSince(aKinds, aRevision);
  while (changes.objects.empty() && !IsAway()) {
    if (mChanged.wait_until(lock, deadline) == std::cv_status::timeout) {
      break;
    }
    if (changes.revision < mCompacted) {
      return Compacted(mCompacted);
    }
    changes = ChangesSince(aKinds, changes.revision);
  }
  if (IsAway()) {
    return Unavailable();
  }
  return changes;
}

void MemoryPlatform::SetFaults(const PlatformFaults& aFaults)
{
  std::lock_guard lock(mMutex);
  mFaults = aFaults;
  mChanged.notify_all();
}

PlatformFaults MemoryPlatform::Faults() const
{
  std::lock_guard lock(mMutex);
  return mFaults;
}

PlatformCounts MemoryPlatform::Counts() const
{
  std::lock_guard lock(mMutex);
  return mCounts;
}

void MemoryPlatform::Compact()
{
  std::lock_guard lock(mMutex);
  CompactUpTo(mRevision);
}

void MemoryPlatform::TakeCopy()
{
  std::lock_guard lock(mMutex);
  mCopy = mEntries;
  mCopyRevision = mRevision;
}

void MemoryPlatform::RestoreCopy()
{
  std::lock_guard lock(mMutex);
  ++mEpoch;
  const auto inThisHistory = [this](std::uint64_t aVersion) {
    return MakePlatformVersion(mEpoch, PlatformNumberOf(aVersion));
  };
  mEntries = mCopy;
  mByVersion.clear();
  for (auto& [key, entry] : mEntries) {
    entry.before.reset();
    entry.now.version = inThisHistory(entry.now.version);
    entry.now.specVersion = inThisHistory(entry.now.specVersion);
    entry.now.copied = true;
    mByVersion[entry.now.version] = key;
  }
  // An empty copy has no number, but its history has an epoch.
  mRevision = (mEpoch << kPlatformNumberBits) + PlatformNumberOf(mCopyRevision);
  mCompacted = mRevision;
  mEpochBegin = mRevision;
  mChanged.notify_all();
}

std::uint64_t MemoryPlatform::Epoch() const
{
  std::lock_guard lock(mMutex);
  return mEpoch;
}

std::uint64_t MemoryPlatform::EpochBegin() const
{
  std::lock_guard lock(mMutex);
  return mEpochBegin;
}

void MemoryPlatform::Close()
{
  std::lock_guard lock(mMutex);
  mClosed = true;
  mChanged.notify_all();
}

} // namespace mustardwinch
