#include "fleet/PeerLink.h"

#include "fleet/FleetCodec.h"
#include "mustardwinch/Event.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds kDialTimeout{ 800 };
constexpr Milliseconds kRedialPause{ 300 };

/** Some round trips between failure domains: a dial that takes longer has most likely been lost. */
constexpr Milliseconds kUsualDialTime{ 20 };

/** Bodies from this size on are sent only to a gate that has a place for the request: a refusal
 *  would cost the links more than a round trip costs the caller. */
constexpr std::size_t kLargeBody = 8U << 10;

/** Addresses of VMs that are gone go to others; it is seldom that one comes back. */
constexpr Milliseconds kOtherNodePause{ 5'000 };

/** Heartbeats that may be lost or late before the path is suspected. */
constexpr int kMissedHeartbeats = 3;
constexpr Milliseconds kHeartbeatSlack{ 150 };

/** A tick of the loop, a busy peer and the round trip. */
constexpr Milliseconds kAnswerSlack{ 300 };

} // namespace

PeerLink::PeerLink(boost::asio::io_context& aLoop,
                   Clock& aClock,
                   const MemberInfo& aMember,
                   Milliseconds aHeartbeatPeriod,
                   Surroundings aSurroundings)
  : mLoop(aLoop)
  , mClock(aClock)
  , mPeriod(aHeartbeatPeriod)
  , mSurroundings(std::move(aSurroundings))
  , mDownSince(aClock.Now())
{
  SetMember(aMember);
}

void PeerLink::SetMember(const MemberInfo& aMember)
{
  const bool moved = aMember.link != mMember.link;
  mMember = aMember;
  mView.vm = aMember.vm;
  if (!mHeard) { // the gate itself knows better
    mView.service = aMember.service;
  }
  mView.failureDomain = aMember.failureDomain;
  if (moved) {
    mOtherNode = false;
    mNextDial = {};
  }
  if (moved && mConnection) {
    mConnection->Close();
  }
}

void PeerLink::Tick()
{
  const TimePoint now = mClock.Now();
  if (!IsUp()) {
    if (!mDialling && now >= mNextDial) {
      Dial();
    }
    return;
  }
  JudgeSilence(now);
  if (now - mLastSent >= mPeriod) {
    Announce();
  }
}

Duration PeerLink::SuspicionTime(Milliseconds aPeriod)
{
  return aPeriod + kAnswerSlack;
}

/**
 * A link that is silent for longer than a heartbeat takes gets no requests while there are others;
 * one that stays silent is replaced.
 */
void PeerLink::JudgeSilence(TimePoint aNow)
{
  const Duration silent = aNow - mLastHeard;
  if (silent > kMissedHeartbeats * mPeriod + kHeartbeatSlack) {
    Suspect();
  } else if (silent > SuspicionTime(mPeriod)) {
    mView.pathSuspected = true;
  }
}

/** The present connection is left to its pending calls, and a new one is tried. */
void PeerLink::Suspect()
{
  LogEvent(LogLevel::kWarn, Event::kLinkSuspected, { { "vm", mMember.vm } });
  mView.pathSuspected = true;
  mHeard = false;
  const std::shared_ptr<FrameConnection> old = std::move(mConnection);
  mConnection = nullptr;
  mDownSince = mClock.Now();
  const bool used = std::any_of(mPending.begin(), mPending.end(), [&](const auto& aEntry) {
    return aEntry.second.connection == old;
  });
  if (!used) {
    old->Close();
  }
  Dial();
}

void PeerLink::Dial()
{
  if (mClosed) {
    return;
  }
  mDialling = true;
  mDialled = mClock.Now();
  const std::uint64_t dial = ++mDial;
  auto socket = std::make_shared<tcp::socket>(mLoop);
  auto limit = std::make_shared<boost::asio::steady_timer>(mLoop, kDialTimeout);
  limit->async_wait([socket](const boost::system::error_code& aError) {
    if (!aError) {
      boost::system::error_code ec;
      socket->close(ec); // the dial below ends with the error
    }
  });
  const tcp::endpoint endpoint(boost::asio::ip::address_v4(mMember.link.ip), mMember.link.port);
  socket->async_connect(
    endpoint,
    [self = shared_from_this(), socket, limit, dial](const boost::system::error_code& aError) {
      limit->cancel();
      if (dial != self->mDial) {
        return; // a later one took its place
      }
      self->mDialling = false;
      if (aError || self->mClosed) {
        self->mNextDial = self->mClock.Now() + kRedialPause;
        return;
      }
      self->OnDialled(std::make_shared<FrameConnection>(std::move(*socket)));
    });
}

void PeerLink::OnPeerCame(const Address& aLink)
{
  const bool underWay = mDialling && mClock.Now() - mDialled < kUsualDialTime;
  if (!IsUp() && !underWay && aLink == mMember.link) {
    mOtherNode = false;
    Dial();
  }
}

void PeerLink::OnDialled(std::shared_ptr<FrameConnection> aConnection)
{
  mConnection = std::move(aConnection);
  mLastHeard = mClock.Now();
  mHeard = false;
  mLastHeartbeat.clear();
  std::weak_ptr<FrameConnection> weak = mConnection;
  mConnection->Start(
    [self = shared_from_this(), weak](std::string_view aBody) {
      if (const auto connection = weak.lock()) {
        self->OnFrame(connection, aBody);
      }
    },
    [self = shared_from_this(), weak] { self->OnClosed(weak.lock()); });
  mConnection->OnDrained([link = weak_from_this(), weak] {
    const auto self = link.lock();
    const auto connection = weak.lock();
    if (self && connection) {
      self->SendBodyParts(connection);
    }
  });
  mConnection->Send(EncodeFleetMessage(FleetMessage::kHello, mSurroundings.hello(mMember.vm)));
  Announce();
}

void PeerLink::Announce()
{
  if (!IsUp()) {
    return;
  }
  mLastSent = mClock.Now();
  std::string heartbeat = EncodeFleetMessage(FleetMessage::kHeartbeat, mSurroundings.heartbeat());
  if (heartbeat == mLastHeartbeat) {
    mConnection->Send(std::string(1, static_cast<char>(FleetMessage::kProbe)));
    return;
  }
  mConnection->Send(heartbeat);
  mLastHeartbeat = std::move(heartbeat);
}

bool PeerLink::Call(CallMessage aCall, SharedText aBody, ResultFn aDone, std::uint64_t& aId)
{
  if (!IsUp()) {
    return false;
  }
  aId = mNext++;
  aCall.call = aId;
  Pending pending{ std::move(aDone), mConnection, {} };
  if (aBody.size() >= kLargeBody) {
    pending.body = std::move(aBody);
    aCall.bodyFollows = true;
  } else {
    aCall.body = aBody.Text();
  }
  mPending.emplace(aId, std::move(pending));
  ++mView.outstanding;
  mConnection->Send(EncodeFleetMessage(FleetMessage::kCall, aCall));
  return true;
}

void PeerLink::Cancel(std::uint64_t aId)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return;
  }
  it->second.connection->Send(EncodeFleetMessage(FleetMessage::kCancel, CancelMessage{ aId }));
  mPending.erase(it);
  mView.outstanding -= mView.outstanding > 0 ? 1 : 0;
}

bool PeerLink::AskRate(RateAskMessage aAsk, VerdictFn aDone)
{
  if (!IsLive()) {
    return false;
  }
  aAsk.ask = mNext++;
  mAsks.emplace(aAsk.ask, std::move(aDone));
  mConnection->Send(EncodeFleetMessage(FleetMessage::kRateAsk, aAsk));
  return true;
}

void PeerLink::AskCurrency()
{
  if (!IsUp()) {
    return;
  }
  mCurrencyAsk = mNext++;
  mCurrencyAsked = mClock.Now();
  const CurrencyAskMessage ask{ mCurrencyAsk };
  mConnection->Send(EncodeFleetMessage(FleetMessage::kCurrencyAsk, ask));
}

void PeerLink::Pull(SharedState aState)
{
  if (IsUp()) {
    const StatePullMessage pull{ static_cast<std::uint8_t>(aState) };
    mConnection->Send(EncodeFleetMessage(FleetMessage::kStatePull, pull));
  }
}

void PeerLink::Tell(const std::string& aFrame)
{
  if (IsUp()) {
    mConnection->Send(aFrame);
  }
}

void PeerLink::OnClosed(const std::shared_ptr<FrameConnection>& aConnection)
{
  if (aConnection == mConnection) {
    LogEvent(LogLevel::kInfo, Event::kLinkLost, { { "vm", mMember.vm } });
    mConnection = nullptr;
    mView.available = false;
    mHeard = false;
    mDownSince = mDownSince == TimePoint{} ? mClock.Now() : mDownSince;
    mNextDial = mOtherNode ? mClock.Now() + kOtherNodePause : mClock.Now();
    mAsks.clear();
  }
  std::vector<Pending> lost;
  std::erase_if(mPending, [&](auto& aEntry) {
    const bool gone = !aEntry.second.connection->IsOpen();
    if (gone) {
      lost.push_back(std::move(aEntry.second));
    }
    return gone;
  });
  mView.outstanding -=
    std::min<std::uint32_t>(mView.outstanding, static_cast<std::uint32_t>(lost.size()));
  for (const Pending& it : lost) {
    it.done(LostCall{ it.body.empty() || it.bodyBegun });
  }
}

void PeerLink::Close()
{
  mClosed = true;
  if (mConnection) {
    mConnection->Close();
  }
}

} // namespace mustardwinch
