#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace mustardwinch::standin {

/** Capacity and service time of a fragile upstream. Safe for several threads. */
class LoadModel
{
public:
  struct Settings
  {
    std::uint32_t slots = 7;
    Milliseconds median{ 20 };
    double jitter = 0.2;        //!< sigma of the log-normal service time
    Milliseconds coldTime{ 0 }; //!< time until a cold upstream bears all its slots
    std::uint64_t seed = 1;
  };

  /** What one request meets at its begin. */
  struct Admission
  {
    std::uint32_t concurrency = 0; //!< running requests, this one with them
    std::uint32_t capacity = 0;    //!< what the upstream can bear now
    bool cold = false;
    bool shed = false; //!< not admitted; End() must not be called
    Milliseconds serviceTime{ 0 };
  };

  LoadModel(Clock& aClock, Settings aSettings);

  Admission Begin();
  void End();

  /** Starts the cold time anew, as a restart or an emptied cache would. */
  void TurnCold();

  std::uint32_t Running() const;

  /** A number of [0, 1) from the model's seed. */
  double Random();

private:
  std::uint32_t Capacity() const;
  bool IsCold() const;

  Clock& mClock;
  const Settings mSettings;
  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  TimePoint mColdSince;
  std::uint32_t mRunning = 0;
};

} // namespace mustardwinch::standin
