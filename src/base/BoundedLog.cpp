#include "base/BoundedLog.h"

#include "mustardwinch/Event.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace mustardwinch {
namespace {

/** What a busy second writes at the usual line length, twice. */
constexpr std::size_t kMaxBufferBytes = 256U << 10;

/** Buffers lines. Used by the thread of the event loop only. */
class BoundedAppender : public log4cplus::Appender
{
public:
  explicit BoundedAppender(std::uint32_t aLinesPerSecond)
    : mLinesPerSecond(aLinesPerSecond)
  {
  }
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  void Flush()
  {
    std::size_t done = 0;
    while (done < mBuffer.size()) {
      const ssize_t n = ::write(STDOUT_FILENO, mBuffer.data() + done, mBuffer.size() - done);
      if (n <= 0) {
        break; // the reader is slow or gone: lines stay until the buffer is full
      }
      done += static_cast<std::size_t>(n);
    }
    mBuffer.erase(0, done);
  }

  std::uint64_t Dropped() const { return mDropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::steady_clock::now().time_since_epoch());
    if (second != mSecond) {
      mSecond = second;
      mWindow = 0;
    }
    const bool important = aEvent.getLogLevel() >= log4cplus::ERROR_LOG_LEVEL;
    if ((mWindow >= mLinesPerSecond && !important) || mBuffer.size() > kMaxBufferBytes) {
      ++mDropped;
      return;
    }
    ++mWindow;
    mBuffer += formatEvent(aEvent);
  }

private:
  const std::uint32_t mLinesPerSecond;
  std::chrono::seconds mSecond{ 0 };
  std::uint32_t mWindow = 0;
  std::uint64_t mDropped = 0;
  std::string mBuffer;
};

BoundedAppender* sAppender = nullptr;

} // namespace

bool InitBoundedLogging(const std::string& aProgram,
                        const std::string& aLevel,
                        std::uint32_t aLinesPerSecond)
{
  if (!InitLogging(aProgram, aLevel)) {
    return false;
  }
  sAppender = new BoundedAppender(aLinesPerSecond); // owned by the pointer below
  log4cplus::SharedAppenderPtr appender(sAppender);
  const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p " + aProgram + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return true;
}

void FlushLog()
{
  if (sAppender != nullptr) {
    sAppender->Flush();
  }
}

std::uint64_t DroppedLogLines()
{
  return sAppender != nullptr ? sAppender->Dropped() : 0;
}

} // namespace mustardwinch
