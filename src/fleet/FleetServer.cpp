#include "fleet/FleetServer.h"

#include "fleet/FleetCodec.h"
#include "http/OpenAcceptor.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {

using boost::asio::ip::tcp;

namespace {

constexpr int kBacklog = 512; //!< all nodes may dial in the same second

/** Whether a peer need not be told more than the load, which an AliveMessage holds. */
bool SameState(const GateStatusMessage& aOne, const GateStatusMessage& aTwo)
{
  return aOne.available == aTwo.available && aOne.trust == aTwo.trust && aOne.slots == aTwo.slots &&
         aOne.configVersion == aTwo.configVersion &&
         aOne.evacuationsRevision == aTwo.evacuationsRevision &&
         aOne.evacuationsEpoch == aTwo.evacuationsEpoch && aOne.storeEpoch == aTwo.storeEpoch &&
         aOne.leaving == aTwo.leaving && aOne.service == aTwo.service &&
         aOne.reachesStore == aTwo.reachesStore && aOne.version == aTwo.version &&
         aOne.rolloutsRevision == aTwo.rolloutsRevision && aOne.rolloutsEpoch == aTwo.rolloutsEpoch;
}

} // namespace

FleetServer::FleetServer(boost::asio::io_context& aLoop, Handlers aHandlers)
  : mHandlers(std::move(aHandlers))
  , mAcceptor(aLoop)
{
}

bool FleetServer::Listen(const Address& aAddress)
{
  if (!OpenAcceptor(mAcceptor, aAddress, kBacklog)) {
    return false;
  }
  Accept();
  return true;
}

void FleetServer::Accept()
{
  mAcceptor.async_accept([this](const boost::system::error_code& aError, tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      Adopt(std::move(aSocket));
    } else {
      LogEvent(LogLevel::kWarn, Event::kAcceptFailed, { { "error", aError.message() } });
    }
    Accept();
  });
}

void FleetServer::Adopt(tcp::socket aSocket)
{
  auto peer = std::make_shared<Peer>();
  peer->connection = std::make_shared<FrameConnection>(std::move(aSocket));
  mPeers.emplace(peer.get(), peer);
  std::weak_ptr<Peer> weak = peer;
  peer->connection->Start(
    [this, weak](std::string_view aBody) {
      if (const PeerPtr it = weak.lock()) {
        OnFrame(it, aBody);
      }
    },
    [this, weak] {
      if (const PeerPtr it = weak.lock()) {
        OnClosed(it);
      }
    });
}

void FleetServer::OnFrame(const PeerPtr& aPeer, std::string_view aBody)
{
  const auto kind = static_cast<FleetMessage>(aBody.front());
  const std::string_view rest = aBody.substr(1);
  if (kind == FleetMessage::kCall) {
    if (auto call = DecodeFleetMessage<CallMessage>(rest)) {
      OnCall(aPeer, std::move(*call));
    }
  } else if (kind == FleetMessage::kCallBody) {
    if (auto body = DecodeFleetMessage<CallBodyMessage>(rest)) {
      OnCallBody(aPeer, std::move(*body));
    }
  } else if (kind == FleetMessage::kCallBodyPart) {
    if (const auto part = DecodeFleetMessage<CallBodyPartMessage>(rest)) {
      OnCallBodyPart(aPeer, *part);
    }
  } else if (kind == FleetMessage::kHeartbeat) {
    if (const auto heartbeat = DecodeFleetMessage<HeartbeatMessage>(rest)) {
      aPeer->heartbeat = *heartbeat;
      SendStatus(aPeer);
      mHandlers.onHeartbeat(aPeer->vm, *heartbeat);
    }
  } else if (kind == FleetMessage::kProbe) {
    SendStatus(aPeer);
    mHandlers.onHeartbeat(aPeer->vm, aPeer->heartbeat);
  } else if (kind == FleetMessage::kCancel) {
    const auto cancel = DecodeFleetMessage<CancelMessage>(rest);
    const auto call = cancel ? aPeer->calls.find(cancel->call) : aPeer->calls.end();
    if (call != aPeer->calls.end()) {
      const Ticket ticket = call->second;
      aPeer->bodies.erase(call->first);
      aPeer->calls.erase(call);
      mHandlers.cancel(ticket);
    }
  } else if (kind == FleetMessage::kRateAsk) {
    if (const auto ask = DecodeFleetMessage<RateAskMessage>(rest)) {
      std::weak_ptr<Peer> weak = aPeer;
      mHandlers.takeRate(*ask, [weak, id = ask->ask](const RateVerdict& aVerdict) {
        if (const PeerPtr peer = weak.lock()) {
          const RateVerdictMessage message{ id,
                                            static_cast<std::uint8_t>(aVerdict.kind),
                                            static_cast<std::uint32_t>(aVerdict.wait.count()) };
          peer->connection->Send(EncodeFleetMessage(FleetMessage::kRateVerdict, message));
        }
      });
    }
  } else if (kind == FleetMessage::kHello) {
    if (const auto hello = DecodeFleetMessage<HelloMessage>(rest)) {
      aPeer->vm = hello->vm;
      aPeer->failureDomain = hello->failureDomain;
      mHandlers.onHello(*hello);
    }
  } else if (kind == FleetMessage::kStatePull) {
    if (const auto pull = DecodeFleetMessage<StatePullMessage>(rest)) {
      const StatePushMessage push = mHandlers.state(static_cast<SharedState>(pull->state));
      aPeer->connection->Send(EncodeFleetMessage(FleetMessage::kStatePush, push));
    }
  } else if (kind == FleetMessage::kCurrencyAsk) {
    if (const auto ask = DecodeFleetMessage<CurrencyAskMessage>(rest)) {
      CurrencyReplyMessage reply = mHandlers.currency();
      reply.ask = ask->ask;
      aPeer->connection->Send(EncodeFleetMessage(FleetMessage::kCurrencyReply, reply));
    }
  } else if (kind == FleetMessage::kRolloutStep) {
    if (const auto step = DecodeFleetMessage<RolloutStepMessage>(rest)) {
      mHandlers.onRolloutStep(*step);
    }
  } else if (kind == FleetMessage::kRolloutReport) {
    if (const auto report = DecodeFleetMessage<RolloutReportMessage>(rest)) {
      mHandlers.onRolloutReport(*report);
    }
  } else {
    LogEvent(LogLevel::kWarn, Event::kFrameRejected, { { "vm", aPeer->vm } });
    aPeer->connection->Close();
  }
}

void FleetServer::OnCall(const PeerPtr& aPeer, CallMessage aCall)
{
  const std::uint64_t id = aCall.call;
  std::weak_ptr<Peer> weak = aPeer;
  auto ended = std::make_shared<bool>(false);
  const auto onResult = [weak, id, ended](CallResultMessage aResult) {
    *ended = true;
    if (const PeerPtr peer = weak.lock()) {
      aResult.call = id;
      peer->calls.erase(id);
      peer->bodies.erase(id);
      peer->connection->Send(EncodeFleetMessage(FleetMessage::kCallResult, aResult));
    }
  };
  const auto wantBody = [weak, id] {
    if (const PeerPtr peer = weak.lock()) {
      const BodyWantedMessage wanted{ id, true };
      peer->connection->Send(EncodeFleetMessage(FleetMessage::kBodyWanted, wanted));
    }
  };
  const Ticket ticket = mHandlers.submit(std::move(aCall), onResult, wantBody);
  if (!*ended) {
    aPeer->calls.emplace(id, ticket);
  }
}

void FleetServer::OnCallBody(const PeerPtr& aPeer, CallBodyMessage aBody)
{
  const auto call = aPeer->calls.find(aBody.call);
  if (call != aPeer->calls.end()) {
    mHandlers.giveBody(call->second, std::move(aBody.body));
  }
}

void FleetServer::OnCallBodyPart(const PeerPtr& aPeer, const CallBodyPartMessage& aPart)
{
  const auto call = aPeer->calls.find(aPart.call);
  if (call == aPeer->calls.end()) {
    return;
  }
  std::string& body = aPeer->bodies[aPart.call];
  body += aPart.body;
  if (!aPart.last) {
    mHandlers.onBodyPart(call->second);
    return;
  }
  std::string whole = std::move(body);
  aPeer->bodies.erase(aPart.call);
  mHandlers.giveBody(call->second, std::move(whole));
}

void FleetServer::OnClosed(const PeerPtr& aPeer)
{
  mPeers.erase(aPeer.get());
  const auto calls = std::move(aPeer->calls);
  aPeer->calls.clear();
  aPeer->bodies.clear();
  for (const auto& [id, ticket] : calls) {
    mHandlers.cancel(ticket);
  }
}

void FleetServer::SendStatus(const PeerPtr& aPeer)
{
  const GateStatusMessage status = mHandlers.status();
  if (SameState(status, aPeer->told)) {
    const AliveMessage alive{
      status.running, status.grayPercent, status.queued, status.latencyPercent
    };
    aPeer->connection->Send(EncodeFleetMessage(FleetMessage::kAlive, alive));
    return;
  }
  aPeer->told = status;
  aPeer->connection->Send(EncodeFleetMessage(FleetMessage::kGateStatus, status));
}

void FleetServer::Broadcast(const std::string& aDomain)
{
  const GateStatusMessage status = mHandlers.status();
  const std::string frame = EncodeFleetMessage(FleetMessage::kGateStatus, status);
  for (const auto& [raw, peer] : mPeers) {
    if (aDomain.empty() || peer->failureDomain == aDomain) {
      peer->told = status;
      peer->connection->Send(frame);
    }
  }
}

std::size_t FleetServer::Sending() const
{
  return static_cast<std::size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aEntry) {
      return aEntry.second->connection->IsSending();
    }));
}

std::size_t FleetServer::Open() const
{
  std::size_t n = 0;
  for (const auto& [raw, peer] : mPeers) {
    n += peer->calls.size();
  }
  return n;
}

} // namespace mustardwinch
