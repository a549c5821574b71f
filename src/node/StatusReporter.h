#pragma once

#include "config/ConfigRecord.h"
#include "config/ResourceStatus.h"
#include "membership/FleetAgent.h"
#include "mustardwinch/Clock.h"
#include "platform/PlatformApi.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace mustardwinch {

/**
 * Writes into the status of each resource on how many nodes it is in force and which nodes lag. All
 * nodes note the changes; the live member whose name comes first reports them. Two reporters, while
 * views differ, write the same report twice, which is harmless.
 *
 * Lock order: mMutex is a leaf and is not held during platform calls.
 */
class StatusReporter
{
public:
  /** @param aWriter unique name of this process. The references must outlive the reporter. */
  StatusReporter(Clock& aClock,
                 std::shared_ptr<PlatformApi> aPlatform,
                 const FleetAgent& aFleet,
                 std::string aVmName,
                 std::string aWriter);
  ~StatusReporter();

  /** A new version of a resource has reached this node. */
  void OnObject(const ConfigRecord& aObject);

  void Start();
  void Stop();

  /** One round: reports a bounded number of resources. Public for tests. */
  void Step();

private:
  using Key = std::pair<std::string, std::string>; //!< kind and name

  struct Pending
  {
    std::uint64_t version = 0;
    TimePoint since;
    bool reported = false;
    ResourceStatus last;
  };

  bool IsReporter() const;
  ResourceStatus Describe(const PlatformObject& aObject, std::uint64_t aVersion) const;
  bool Report(const Key& aKey, Pending& aPending);
  void Loop();

  Clock& mClock;
  const std::shared_ptr<PlatformApi> mPlatform;
  const FleetAgent& mFleet;
  const std::string mVmName;
  const std::string mWriter;
  std::uint64_t mOperations = 0;

  std::mutex mMutex;
  std::condition_variable mWake;
  std::map<Key, Pending> mPending;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace mustardwinch
