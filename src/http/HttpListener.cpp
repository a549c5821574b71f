#include "http/HttpListener.h"

#include "http/OpenAcceptor.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace mustardwinch {
namespace {

using boost::asio::ip::tcp;

/** How often idle and slow connections are looked for. */
constexpr Milliseconds kSweepPeriod{ 500 };

/** Pause after accept() failed, for example for want of descriptors. */
constexpr Milliseconds kAcceptRetry{ 100 };

/** A body or an answer that has not moved for this long makes room for others. */
constexpr Milliseconds kStalledAfter{ 1'000 };

/** Refusals come by hundreds; the counters tell how many. */
constexpr Milliseconds kRefusalLogPeriod{ 1'000 };

constexpr int kBacklog = 1'024; //!< connections that wait for accept(); a burst of callers fits

} // namespace

HttpListener::HttpListener(boost::asio::io_context& aLoop,
                           Clock& aClock,
                           HttpSession::Handler aHandler,
                           ListenerLimits aShared,
                           HeadCheck aHeadCheck)
  : mClock(aClock)
  , mHandler(std::move(aHandler))
  , mShared(std::move(aShared))
  , mHeadCheck(std::move(aHeadCheck))
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
      Adopt(std::move(aSocket));
      Accept();
    });
}

void HttpListener::Adopt(tcp::socket aSocket)
{
  if (mSessions.size() >= mShared.connections && !GiveUpConnection()) {
    NoteRefusal("connections");
    return; // closed with its socket
  }
  std::make_shared<HttpSession>(std::move(aSocket), *this)->Start();
}

HttpLimits HttpListener::EffectiveLimits() const
{
  HttpLimits limits = mLimits;
  limits.maxBodyBytes = std::min(limits.maxBodyBytes, mShared.bodyBytes);
  return limits;
}

/** Idle connections first, then those that have not moved for longest. Requests that are handled
 * are never given up. */
bool HttpListener::GiveUpConnection()
{
  HttpSession* chosen = nullptr;
  const auto rank = [](const HttpSession& aSession) {
    return std::make_tuple(aSession.IsReceiving() || aSession.IsSending(), aSession.LastProgress());
  };
  for (HttpSession* it : mSessions) {
    if (!it->IsBusy() && (chosen == nullptr || rank(*it) < rank(*chosen))) {
      chosen = it;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  NoteRefusal("idle");
  chosen->Detach();
  return true;
}

bool HttpListener::MakeRoom(const HttpSession& aFor, std::size_t aBytes)
{
  const TimePoint now = mClock.Now();
  const bool isSmall = aBytes <= MemoryBudget::kSmallHolding;
  HttpSession* chosen = nullptr;
  for (HttpSession* it : mSessions) {
    const bool holds = it->HeldBytes() > 0 && !it->IsBusy() && it != &aFor &&
                       (it->HeldBytes() <= MemoryBudget::kSmallHolding) == isSmall;
    if (holds && now - it->LastProgress() > kStalledAfter &&
        (chosen == nullptr || it->LastProgress() < chosen->LastProgress())) {
      chosen = it;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  const std::shared_ptr<HttpSession> alive = chosen->shared_from_this();
  NoteRefusal("stalled");
  alive->Evict();
  return true;
}

void HttpListener::RelieveMemory()
{
  if (mRelieving || !mShared.memory) {
    return;
  }
  mRelieving = true;
  while (mShared.memory->IsExceeded()) {
    const auto slowest = std::min_element(
      mSessions.begin(), mSessions.end(), [](const HttpSession* aOne, const HttpSession* aTwo) {
        return std::make_tuple(!aOne->IsSending(), aOne->LastProgress()) <
               std::make_tuple(!aTwo->IsSending(), aTwo->LastProgress());
      });
    if (slowest == mSessions.end() || !(*slowest)->IsSending()) {
      break;
    }
    const std::shared_ptr<HttpSession> alive = (*slowest)->shared_from_this();
    NoteRefusal("slow reader");
    alive->Evict();
  }
  mRelieving = false;
}

void HttpListener::NoteRefusal(const char* aWhy)
{
  ++mRefusals[aWhy];
  if (mClock.Now() < mNextRefusalLog) {
    return;
  }
  mNextRefusalLog = mClock.Now() + kRefusalLogPeriod;
  LogEvent(LogLevel::kWarn,
           Event::kCallerLimited,
           { { "why", aWhy },
             { "connections", std::to_string(mSessions.size()) },
             { "held", std::to_string(mShared.memory ? mShared.memory->Used() : 0) },
             { "of", std::to_string(mShared.memory ? mShared.memory->Limit() : 0) } });
}

std::string HttpListener::MetricsText(const std::string& aName) const
{
  const std::string label = "{listener=\"" + aName + "\"";
  std::string text = "mw_connections" + label + "} " + std::to_string(mSessions.size()) + "\n";
  if (mShared.memory) {
    text += "mw_held_bytes" + label + "} " + std::to_string(mShared.memory->Used()) + "\n";
  }
  for (const auto& [why, n] : mRefusals) {
    text += "mw_callers_limited_total" + label;
    text += ",why=\"" + why + "\"} ";
    text += std::to_string(n) + "\n";
  }
  return text;
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
      if (mSessions.count(it) != 0) { // ending one may end others
        it->CheckTimeouts(mClock.Now());
      }
    }
    for (HttpSession* it : sessions) {
      if (mSessions.count(it) != 0) {
        it->RetryRead(mClock.Now());
      }
    }
    Sweep();
  });
}

} // namespace mustardwinch
