#pragma once

#include "mustardwinch/Clock.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mustardwinch::soak {

/** A program that this process started and ends, by its id. */
class ChildProcess
{
public:
  /**
   * Starts a program.
   *
   * @param aLog file that its output is added to
   * @return null if it cannot be started
   */
  static std::unique_ptr<ChildProcess> Start(const std::string& aProgram,
                                             const std::vector<std::string>& aArguments,
                                             const std::string& aLog);

  /** Kills the program if it still runs. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  pid_t Id() const { return mPid; }

  /** Waits for the exit: its code, 128 + signal if killed, nothing if it still runs at the end. */
  std::optional<int> AwaitExit(Milliseconds aLimit);

  /** Highest resident memory so far, KiB; 0 if it cannot be read. */
  std::size_t PeakMemoryKb() const;

private:
  explicit ChildProcess(pid_t aPid)
    : mPid(aPid)
  {
  }

  const pid_t mPid;
  std::optional<int> mExit;
};

} // namespace mustardwinch::soak
