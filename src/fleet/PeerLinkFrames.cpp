#include "fleet/FleetCodec.h"
#include "fleet/PeerLink.h"
#include "mustardwinch/Event.h"

#include <utility>

namespace mustardwinch {
namespace {

/** Other frames, such as heartbeats, wait for no more than this on a link of 10 Mbit/s: 50 ms. */
constexpr std::size_t kBodyPartBytes = 64U << 10;

} // namespace

// What the peer tells: results of calls, its state, verdicts and shared state.

void PeerLink::OnFrame(const std::shared_ptr<FrameConnection>& aConnection, std::string_view aBody)
{
  if (aConnection == mConnection) {
    mLastHeard = mClock.Now();
    mView.pathSuspected = mView.pathSuspected && !mHeard;
  }
  const auto kind = static_cast<FleetMessage>(aBody.front());
  const std::string_view rest = aBody.substr(1);
  if (kind == FleetMessage::kCallResult) {
    if (auto result = DecodeFleetMessage<CallResultMessage>(rest)) {
      OnResult(std::move(*result));
    }
  } else if (kind == FleetMessage::kBodyWanted) {
    if (const auto wanted = DecodeFleetMessage<BodyWantedMessage>(rest)) {
      OnBodyWanted(*wanted);
    }
  } else if (kind == FleetMessage::kGateStatus) {
    if (const auto status = DecodeFleetMessage<GateStatusMessage>(rest)) {
      mHeard = mHeard || aConnection == mConnection;
      OnStatus(*status);
    }
  } else if (kind == FleetMessage::kAlive) {
    if (const auto alive = DecodeFleetMessage<AliveMessage>(rest)) {
      mView.running = alive->running;
      mView.queued = alive->queued;
      mView.latencyRatio = alive->latencyPercent / 100.0;
      mView.grayProbability = alive->grayPercent / 100.0;
    }
  } else if (kind == FleetMessage::kRateVerdict) {
    const auto verdict = DecodeFleetMessage<RateVerdictMessage>(rest);
    auto ask = verdict ? mAsks.extract(verdict->ask) : decltype(mAsks)::node_type();
    if (!ask.empty()) {
      ask.mapped()(
        { static_cast<RateVerdict::Kind>(verdict->kind), Milliseconds(verdict->waitMs), {} });
    }
  } else if (kind == FleetMessage::kCurrencyReply) {
    if (const auto reply = DecodeFleetMessage<CurrencyReplyMessage>(rest)) {
      OnCurrency(*reply);
    }
  } else if (kind == FleetMessage::kStatePush) {
    if (const auto state = DecodeFleetMessage<StatePushMessage>(rest)) {
      mSurroundings.onState(*state);
    }
  } else {
    LogEvent(LogLevel::kWarn, Event::kFrameRejected, { { "vm", mMember.vm } });
  }
}

void PeerLink::OnResult(CallResultMessage aResult)
{
  mView.running = aResult.running;
  mView.queued = aResult.queued;
  auto pending = mPending.extract(aResult.call);
  if (pending.empty()) {
    return; // it was cancelled
  }
  mView.outstanding -= mView.outstanding > 0 ? 1 : 0;
  pending.mapped().done(std::move(aResult));
}

void PeerLink::OnBodyWanted(const BodyWantedMessage& aWanted)
{
  const auto it = mPending.find(aWanted.call);
  if (it == mPending.end()) {
    return; // it was cancelled, and the gate has been told
  }
  it->second.bodyBegun = true;
  if (aWanted.inParts) {
    it->second.inParts = true;
    SendBodyParts(it->second.connection);
    return;
  }
  const CallBodyMessage body{ aWanted.call, it->second.body };
  it->second.body = {};
  it->second.connection->Send(EncodeFleetMessage(FleetMessage::kCallBody, body));
}

void PeerLink::SendBodyParts(const std::shared_ptr<FrameConnection>& aConnection)
{
  if (aConnection->IsSending()) {
    return; // it tells when it has room
  }
  for (auto& [id, pending] : mPending) {
    if (!pending.inParts || pending.body.empty() || pending.connection != aConnection) {
      continue;
    }
    CallBodyPartMessage part{ id, pending.body.Text().substr(pending.sent, kBodyPartBytes) };
    pending.sent += part.body.size();
    part.last = pending.sent == pending.body.size();
    if (part.last) {
      pending.body = {};
    }
    aConnection->Send(EncodeFleetMessage(FleetMessage::kCallBodyPart, part));
  }
}

/** The peer answered after the request was sent, so its age counts from then: how long the reply
 * was on its way is not known. */
void PeerLink::OnCurrency(const CurrencyReplyMessage& aReply)
{
  if (aReply.ask == 0 || aReply.ask != mCurrencyAsk) {
    return;
  }
  mCurrencyAsk = 0;
  if (aReply.confirmed) {
    mSurroundings.onCurrency(aReply.configVersion, mCurrencyAsked - Milliseconds(aReply.ageMs));
  }
}

/** The VM is gone and its address went to another, which has a link of its own. */
void PeerLink::OnOtherNode(const std::string& aVm)
{
  if (!mOtherNode) {
    LogEvent(LogLevel::kWarn, Event::kLinkOtherNode, { { "vm", mMember.vm }, { "found", aVm } });
  }
  mOtherNode = true;
  mConnection->Close(); // OnClosed() follows
}

void PeerLink::OnStatus(const GateStatusMessage& aStatus)
{
  if (aStatus.vm != mMember.vm) {
    OnOtherNode(aStatus.vm);
    return;
  }
  mOtherNode = false;
  mBegan = mClock.Now() - Milliseconds(aStatus.ageMs);
  mReachesStore = aStatus.reachesStore;
  if (mView.pathSuspected && mHeard) {
    mView.pathSuspected = false;
    mDownSince = {};
    LogEvent(LogLevel::kInfo, Event::kLinkUp, { { "vm", mMember.vm } });
  }
  mDownSince = {};
  mView.available = aStatus.available;
  mView.service = aStatus.service;
  mView.version = aStatus.version;
  mView.trust = static_cast<UpstreamTrust>(aStatus.trust);
  mView.running = aStatus.running;
  mView.queued = aStatus.queued;
  mView.slots = aStatus.slots;
  mView.latencyRatio = aStatus.latencyPercent / 100.0;
  mView.grayProbability = aStatus.grayPercent / 100.0;
  if (!aStatus.leaving.empty() || aStatus.available) { // a node that has just started knows nothing
    mLeaving = aStatus.leaving;
  }
  mSurroundings.onStatus(*this, aStatus);
}

} // namespace mustardwinch
