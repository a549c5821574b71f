#include "soak/ChildProcess.h"

#include "soak/Waiting.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mustardwinch::soak {

namespace {

constexpr int kSignalExit = 128;
constexpr mode_t kLogMode = 0644;

pid_t Spawn(std::vector<std::string> aWords, const std::string& aLog)
{
  std::vector<char*> arguments;
  arguments.reserve(aWords.size() + 1);
  for (std::string& it : aWords) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Sockets of this process would stay open in the program.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return error == 0 ? pid : 0;
}

} // namespace

std::unique_ptr<ChildProcess> ChildProcess::Start(const std::string& aProgram,
                                                  const std::vector<std::string>& aArguments,
                                                  const std::string& aLog)
{
  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  const pid_t pid = Spawn(std::move(words), aLog);
  return std::unique_ptr<ChildProcess>(pid == 0 ? nullptr : new ChildProcess(pid));
}

ChildProcess::~ChildProcess()
{
  if (!mExit) {
    Signal(SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

void ChildProcess::Signal(int aSignal) const
{
  if (!mExit) {
    kill(mPid, aSignal);
  }
}

std::optional<int> ChildProcess::AwaitExit(Milliseconds aLimit)
{
  const auto hasExited = [this] {
    int status = 0;
    if (!mExit && waitpid(mPid, &status, WNOHANG) == mPid) {
      mExit = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExit + WTERMSIG(status);
    }
    return mExit.has_value();
  };
  AwaitTrue(hasExited, aLimit);
  return mExit;
}

std::size_t ChildProcess::PeakMemoryKb() const
{
  std::ifstream stream("/proc/" + std::to_string(mPid) + "/status");
  for (std::string word; stream >> word;) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      stream >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

} // namespace mustardwinch::soak
