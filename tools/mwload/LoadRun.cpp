#include "mwload/LoadRun.h"

#include "history/WallTime.h"
#include "mwload/ArrivalSchedule.h"
#include "mwload/Caller.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>

namespace mustardwinch::load {

namespace {

using SteadyClock = std::chrono::steady_clock;

/** Calls that are due, handed from the schedule to the callers. Safe for several threads. */
class DueCalls
{
public:
  void Push(PlannedCall aCall)
  {
    {
      std::lock_guard lock(mMutex);
      mCalls.push_back(std::move(aCall));
    }
    mChanged.notify_one();
  }

  void Close()
  {
    {
      std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mChanged.notify_all();
  }

  /** Waits for a call; nothing when all are taken and no more come. */
  std::optional<PlannedCall> Pop()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mClosed || !mCalls.empty(); });
    if (mCalls.empty()) {
      return std::nullopt;
    }
    PlannedCall call = std::move(mCalls.front());
    mCalls.pop_front();
    return call;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<PlannedCall> mCalls;
  bool mClosed = false;
};

/** The records of all callers. Safe for several threads. */
class Results
{
public:
  explicit Results(HistoryWriter& aHistory)
    : mHistory(aHistory)
  {
  }

  void Add(const CallRecord& aRecord)
  {
    mHistory.Append(aRecord);
    std::lock_guard lock(mMutex);
    mRecords.push_back(aRecord);
  }

  std::vector<CallRecord> Take() { return std::move(mRecords); }

private:
  HistoryWriter& mHistory;
  std::mutex mMutex;
  std::vector<CallRecord> mRecords;
};

std::chrono::microseconds OffsetOf(const PlannedCall& aCall)
{
  constexpr double kUsPerSecond = 1e6;
  return std::chrono::microseconds(static_cast<std::int64_t>(aCall.dueSeconds * kUsPerSecond));
}

} // namespace

std::vector<CallRecord> RunLoad(const LoadPlan& aPlan,
                                const std::string& aRunId,
                                HistoryWriter& aHistory)
{
  DueCalls due;
  Results results(aHistory);
  const std::int64_t startUs = WallTimeUs();
  const SteadyClock::time_point start = SteadyClock::now();

  std::vector<std::thread> threads;
  for (std::uint32_t it = 0; it < aPlan.callers; ++it) {
    threads.emplace_back([&] {
      Caller caller(aPlan.timeoutMs);
      while (const auto call = due.Pop()) {
        CallRecord record = caller.Call(*call);
        record.plannedUs = startUs + OffsetOf(*call).count();
        results.Add(record);
      }
    });
  }

  ArrivalSchedule schedule(aPlan, aRunId);
  while (auto call = schedule.Next()) {
    std::this_thread::sleep_until(start + OffsetOf(*call));
    due.Push(std::move(*call));
  }
  due.Close();
  for (std::thread& it : threads) {
    it.join();
  }
  return results.Take();
}

} // namespace mustardwinch::load
