#pragma once

#include "mustardwinch/Clock.h"
#include "mustardwinch/Result.h"
#include "platform/PlatformChanges.h"
#include "platform/PlatformCounts.h"
#include "platform/PlatformFaults.h"
#include "platform/PlatformObject.h"
#include "platform/PlatformWrite.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch {

/**
 * A stand-in for the platform's object store, in memory and with fault switches. Safe to use from
 * several threads. Latency and waiting watches take real time. The calls keep the contract of
 * PlatformApi.
 */
class MemoryPlatform
{
public:
  static constexpr std::uint64_t kDefaultKeptChanges = 10'000;

  /** @param aKeptChanges how far back, in revisions, a watch may start; older tombstones go */
  explicit MemoryPlatform(std::uint64_t aKeptChanges = kDefaultKeptChanges);

  Result<PlatformObject> Get(const std::string& aKind, const std::string& aName);
  Result<PlatformChanges> List(const std::vector<std::string>& aKinds);
  Result<PlatformObject> Write(const PlatformWrite& aWrite);
  Result<PlatformChanges> Watch(const std::vector<std::string>& aKinds,
                                std::uint64_t aRevision,
                                Milliseconds aWait);

  /** Replaces all fault switches. An outage also fails the watches that wait. */
  void SetFaults(const PlatformFaults& aFaults);
  PlatformFaults Faults() const;
  PlatformCounts Counts() const;

  /** Forgets all tombstones; a watch from before this moment is answered kPlatformCompacted. */
  void Compact();

  /** Copies all objects, in place of the last copy. */
  void TakeCopy();

  /** Comes back from the last copy, in a history with the next epoch: what was written since is
   * gone, and its numbers are given out again. Earlier watches are answered kPlatformCompacted. */
  void RestoreCopy();

  std::uint64_t Epoch() const;

  /** Last version that this history took over from a copy; 0 if it is the first one. */
  std::uint64_t EpochBegin() const;

  /** Fails all calls from now on, also those that wait. */
  void Close();

private:
  using Key = std::pair<std::string, std::string>; //!< kind, name

  struct Entry
  {
    PlatformObject now;
    std::optional<PlatformObject> before; //!< what a stale read still sees
  };

  using Lock = std::unique_lock<std::mutex>;

  /** Counts the call, spends the latency and answers whether the call may go on. */
  bool Enter(Lock& aLock, std::uint64_t PlatformCounts::*aCount);
  bool IsAway() const;
  Result<PlatformObject> WriteLocked(const PlatformWrite& aWrite);
  void Store(PlatformObject aObject);
  void CompactUpTo(std::uint64_t aRevision);
  PlatformChanges ChangesSince(const std::vector<std::string>& aKinds,
                               std::uint64_t aRevision) const;
  PlatformChanges StaleList(const PlatformChanges& aFresh) const;

  const std::uint64_t mKeptChanges;

  mutable std::mutex mMutex;
  std::condition_variable mChanged; //!< a write, a change of the faults, or the end
  std::map<Key, Entry> mEntries;
  std::map<std::uint64_t, Key> mByVersion; //!< where each object's last write is
  std::uint64_t mRevision = 0;
  std::uint64_t mCompacted = 0; //!< a watch may not start before this revision
  std::map<Key, Entry> mCopy;
  std::uint64_t mCopyRevision = 0;
  std::uint64_t mEpoch = 0;
  std::uint64_t mEpochBegin = 0;
  PlatformFaults mFaults;
  PlatformCounts mCounts;
  bool mClosed = false;
};

} // namespace mustardwinch
