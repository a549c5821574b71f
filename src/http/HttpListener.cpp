#include "http/HttpListener.h"

#include "http/OpenAcceptor.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <vector>

namespace mustardwinch {
namespace {

using boost::asio::ip::tcp;

/** How often idle and slow connections are looked for. */
constexpr Milliseconds kSweepPeriod{ 500 };

/** Pause after accept() failed, for example for want of descriptors. */
constexpr Milliseconds kAcceptRetry{ 100 };

constexpr int kBacklog = 1'024; //!< connections that wait for accept(); a burst of callers fits

} // namespace

HttpListener::HttpListener(boost::asio::io_context& aLoop,
                           Clock& aClock,
                           HttpSession::Handler aHandler)
  : mClock(aClock)
  , mHandler(std::move(aHandler))
  , mAcceptor(aLoop)
  , mTimer(aLoop)
{
}

HttpListener::~HttpListener()
{
  while (!mSessions.empty()) {
    (*mSessions.begin())->Detach(); // leaves the set
  }
}

bool HttpListener::Listen(const Address& aAddress)
{
  if (!OpenAcceptor(mAcceptor, aAddress, kBacklog)) {
    return false;
  }
  Accept();
  Sweep();
  return true;
}

std::size_t HttpListener::Busy() const
{
  std::size_t n = 0;
  for (const HttpSession* it : mSessions) {
    n += it->IsBusy() ? 1 : 0;
  }
  return n;
}

std::size_t HttpListener::Receiving() const
{
  return static_cast<std::size_t>(
    std::count_if(mSessions.begin(), mSessions.end(), [](const HttpSession* aSession) {
      return aSession->IsReceiving();
    }));
}

std::size_t HttpListener::Sending() const
{
  return static_cast<std::size_t>(
    std::count_if(mSessions.begin(), mSessions.end(), [](const HttpSession* aSession) {
      return aSession->IsSending();
    }));
}

void HttpListener::Accept()
{
  const std::weak_ptr<bool> alive = mAlive;
  mAcceptor.async_accept(
    [this, alive](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted || alive.expired()) {
        return;
      }
      if (aError) {
        LogEvent(LogLevel::kWarn, Event::kAcceptFailed, { { "error", aError.message() } });
        mTimer.expires_after(kAcceptRetry);
        mTimer.async_wait([this, alive](const boost::system::error_code& aTimerError) {
          if (!aTimerError && !alive.expired()) {
            Accept();
            Sweep();
          }
        });
        return;
      }
      std::make_shared<HttpSession>(std::move(aSocket), *this)->Start();
      Accept();
    });
}

void HttpListener::Sweep()
{
  mTimer.expires_after(kSweepPeriod);
  const std::weak_ptr<bool> alive = mAlive;
  mTimer.async_wait([this, alive](const boost::system::error_code& aError) {
    if (aError || alive.expired()) {
      return;
    }
    const std::vector<HttpSession*> sessions(mSessions.begin(), mSessions.end());
    for (HttpSession* it : sessions) {
      it->CheckTimeouts(mClock.Now());
    }
    Sweep();
  });
}

} // namespace mustardwinch
