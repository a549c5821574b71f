#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace mustardwinch {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/**
 * The monotonic clock of a process. All decisions read time from one Clock that is handed to them.
 * Tests pause the clock and advance it by hand. Safe to use from several threads.
 */
class Clock
{
public:
  enum class Source : std::uint8_t
  {
    kSteady,    //!< stands still while the VM is suspended, as the clock of condition variables
    kSinceBoot, //!< goes on while the VM is suspended, for leases and silence of peers
  };

  explicit Clock(Source aSource = Source::kSteady)
    : mSource(aSource)
  {
  }
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;

  /** Monotonic time. A paused clock answers the same time until Advance() is called. */
  TimePoint Now() const;

  /** Stops the clock at the present time. */
  void Pause();

  /** Moves a paused clock forward. @param aStep must not be negative. */
  void Advance(Duration aStep);

private:
  const Source mSource;
  std::atomic<bool> mPaused{ false };
  std::atomic<std::int64_t> mPausedAt{ 0 };
};

} // namespace mustardwinch
