#pragma once

#include "mustardwinch/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace mustardwinch::standin {

/** Announces the stand-in to the node beside it about once a second, and at each change of state.
 */
class Announcer
{
public:
  struct Settings
  {
    std::string node; //!< control address "a.b.c.d:port"; empty: announces nothing
    std::string service;
    std::string upstream;
    std::string instance;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
  };

  /** @param aLoad running requests now; @param aLag age of the load to announce */
  Announcer(Settings aSettings, std::function<int()> aLoad, std::function<Milliseconds()> aLag);
  ~Announcer();

  /** Announces a state and keeps announcing it. Returns when the node answered or can't be had. */
  void SetState(const std::string& aState);

private:
  struct Sample
  {
    TimePoint time;
    int load;
  };

  void Run();
  void Announce(const std::string& aState);
  int LaggingLoad();

  const Settings mSettings;
  const std::function<int()> mLoad;
  const std::function<Milliseconds()> mLag;
  Clock mClock;

  // Lock order: mPostMutex before mStateMutex.
  std::mutex mPostMutex;
  std::deque<Sample> mSamples;
  std::mutex mStateMutex;
  std::condition_variable mChanged;
  std::string mState;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace mustardwinch::standin
