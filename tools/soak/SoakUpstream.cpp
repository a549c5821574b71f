#include "soak/SoakUpstream.h"

#include "http/HttpText.h"
#include "platform/PlatformNames.h"
#include "soak/WireTexts.h"

#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr std::size_t kSlots = 4;
constexpr double kMeanWorkMs = 40;
constexpr Milliseconds kLeastWork{ 10 };
constexpr Milliseconds kBeatPeriod{ 500 };
constexpr Milliseconds kAnnounceTimeout{ 1'000 };
constexpr Milliseconds kReplacePause{ 400 };
constexpr Milliseconds kServesAfterLeave{ 2'500 }; //!< a little longer than work may still reach it
constexpr Milliseconds kColdTime{ 2'000 };
constexpr double kFaultShare = 0.7;       //!< of the requests, while a fault lasts
constexpr Milliseconds kReadPause{ 100 }; //!< before the rest of a body that was refused early

std::uint64_t UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

} // namespace

SoakUpstream::SoakUpstream(boost::asio::io_context& aLoop,
                           Clock& aClock,
                           UpstreamPlace aPlace,
                           PromiseJudge& aJudge,
                           std::uint64_t aSeed)
  : mLoop(aLoop)
  , mClock(aClock)
  , mPlace(std::move(aPlace))
  , mJudge(aJudge)
  , mRandom(aSeed)
  , mWire(aLoop, ~aSeed)
  , mBeat(aLoop)
  , mRestart(aLoop)
{
  Begin();
  AnnounceLater();
}

void SoakUpstream::Begin()
{
  mInstance = "i-" + std::to_string(mPlace.node) + "-" + std::to_string(++mStarts);
  mSequence = 0;
  mBorn = UnixMs();
  mRunning = 0;
  mDraining = false;
  mAcknowledged = false;
  mFault = UpstreamFault::kNone;
  mWire.SetFault(WireFault::kNone);
  if (mStarts > 1) { // at the first start there is no traffic yet
    mColdUntil = mClock.Now() + kColdTime;
    mJudge.OnColdStart(mInstance, mColdUntil, kColdStartsPerSecond);
  }
  mListener = std::make_unique<WireListener>(
    mLoop,
    mPlace.address,
    WireSession::Handlers{
      [this](const auto& aSession, const auto& aRequest) { OnHead(aSession, aRequest); },
      [this](const auto& aSession, const auto& aRequest) { Handle(aSession, aRequest); } });
  if (!mListener->IsListening()) {
    End(kReplacePause); // the address is still in use
  }
}

void SoakUpstream::End(Milliseconds aPause)
{
  mListener.reset();
  mRestart.expires_after(aPause);
  mRestart.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Begin();
    }
  });
}

void SoakUpstream::Crash(Milliseconds aPause)
{
  if (mListener) {
    End(aPause);
  }
}

void SoakUpstream::Drain()
{
  mDraining = mListener != nullptr;
}

bool SoakUpstream::Strikes()
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < kFaultShare;
}

void SoakUpstream::OnHead(const std::shared_ptr<WireSession>& aSession, const HttpRequest& aRequest)
{
  if (mWire.RejectsEarly()) {
    const std::string name = platform::MakeHttpNames().requestId;
    WireFaultPlayer::Reject(aSession, 503, std::string(HeaderValue(aRequest.headers, name)));
    aSession->PauseReading(kReadPause);
  }
}

void SoakUpstream::Handle(const std::shared_ptr<WireSession>& aSession, const HttpRequest& aRequest)
{
  mWire.OnRequest(aSession);
  const HttpNames names = platform::MakeHttpNames();
  const std::string id(HeaderValue(aRequest.headers, names.requestId));
  if (HeaderValue(aRequest.headers, names.expectInstance) != mInstance) {
    WireFaultPlayer::Reject(aSession, 421, id);
    return;
  }
  if (mRunning >= kSlots || (mFault == UpstreamFault::kSheds && Strikes()) || mWire.Rejects()) {
    WireFaultPlayer::Reject(aSession, 503, id);
    return;
  }
  SoakRunBegin run;
  run.id = id;
  run.instance = mInstance;
  run.node = mPlace.node;
  run.service = mPlace.service;
  run.failureDomain = mPlace.failureDomain;
  run.organisation = HeaderValue(aRequest.headers, names.organisation);
  run.callerService = HeaderValue(aRequest.headers, names.callerService);
  run.keySeen = FindHeader(aRequest.headers, names.key) != nullptr;
  run.bodyBytes = aRequest.body.size();
  mJudge.OnRun(run, mClock.Now());
  if (mFault == UpstreamFault::kGray && Strikes()) {
    aSession->Close(); // it ran, and nobody learns how it ended
    return;
  }
  if (mFault == UpstreamFault::kHangs && Strikes()) {
    return;
  }
  Work(aSession, id);
}

void SoakUpstream::Work(const std::shared_ptr<WireSession>& aSession, const std::string& aId)
{
  const double extra = std::exponential_distribution<>(1 / kMeanWorkMs)(mRandom);
  const Milliseconds time = kLeastWork + Milliseconds(static_cast<std::int64_t>(extra));
  ++mRunning;
  auto timer = std::make_shared<boost::asio::steady_timer>(mLoop, time);
  timer->async_wait([this, timer, aSession, aId, instance = mInstance](const auto&) {
    if (instance != mInstance || !mListener) {
      return; // it crashed meanwhile
    }
    --mRunning;
    mWire.End(aSession, aId, instance);
  });
}

void SoakUpstream::AnnounceLater()
{
  mBeat.expires_after(kBeatPeriod);
  mBeat.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Announce();
      AnnounceLater();
    }
  });
}

void SoakUpstream::Announce()
{
  if (!mListener) {
    return;
  }
  UpstreamAnnouncement announcement;
  announcement.instance = mInstance;
  announcement.service = mPlace.service;
  announcement.failureDomain = mPlace.failureDomain;
  announcement.address = mPlace.address;
  announcement.slots = kSlots;
  announcement.draining = mDraining;
  announcement.processStartMs = mBorn;
  announcement.sequence = ++mSequence;
  const auto cold = std::chrono::duration_cast<Milliseconds>(mColdUntil - mClock.Now());
  announcement.coldRemaining = std::max(cold, Milliseconds(0));
  auto channel = std::make_shared<HttpChannel>(mLoop);
  auto limit = std::make_shared<boost::asio::steady_timer>(mLoop, kAnnounceTimeout);
  limit->async_wait([channel](const boost::system::error_code&) { channel->Close(); });
  channel->Connect(
    mPlace.control, [this, channel, limit, announcement](const boost::system::error_code& aError) {
      if (aError) {
        return; // the node is down; the next announcement tries again
      }
      channel->Exchange(FormatRequest(AnnouncementRequest(announcement), "node"),
                        kMaxAnnouncementReply,
                        false,
                        nullptr,
                        [this, channel, limit, announcement](const HttpChannelResult& aResult) {
                          limit->cancel();
                          if (!aResult.error && aResult.answer.status == 200) {
                            OnAnnounced(announcement.instance, announcement.draining);
                          }
                        });
    });
}

void SoakUpstream::OnAnnounced(const std::string& aInstance, bool aDraining)
{
  if (!aDraining || aInstance != mInstance || std::exchange(mAcknowledged, true)) {
    return;
  }
  mJudge.OnLeaveAcknowledged(aInstance, mClock.Now());
  if (!mListener) {
    return; // it crashed meanwhile and comes back
  }
  mRestart.expires_after(kServesAfterLeave);
  mRestart.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      End(kReplacePause);
    }
  });
}

} // namespace mustardwinch::soak
