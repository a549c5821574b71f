#pragma once

#include "fleet/FleetMessage.h"
#include "fleet/FrameConnection.h"
#include "fleet/RolloutMessage.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "quota/RateVerdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mustardwinch {

/** Accepts the links of other nodes and serves their calls. Runs on one event loop. */
class FleetServer
{
public:
  using Ticket = std::uint64_t;
  using ResultFn = std::function<void(CallResultMessage)>;

  struct Handlers
  {
    /** The second function asks the ingress for a body that follows. */
    std::function<Ticket(CallMessage, ResultFn, std::function<void()>)> submit;
    std::function<void(Ticket, std::string aBody)> giveBody;
    std::function<void(Ticket)> onBodyPart; //!< a part of a body came, and it is not whole
    std::function<void(Ticket)> cancel;
    std::function<void(const HelloMessage&)> onHello;
    std::function<void(const std::string& aVm, const HeartbeatMessage&)> onHeartbeat;
    /** A node asks for a token; the verdict may come later. */
    std::function<void(const RateAskMessage&, std::function<void(RateVerdict)>)> takeRate;
    std::function<StatePushMessage(SharedState)> state;
    std::function<GateStatusMessage()> status;
    /** How current this node's configuration is. */
    std::function<CurrencyReplyMessage()> currency;
    std::function<void(const RolloutStepMessage&)> onRolloutStep;
    std::function<void(const RolloutReportMessage&)> onRolloutReport;
  };

  FleetServer(boost::asio::io_context& aLoop, Handlers aHandlers);

  /** False if the address cannot be had; the reason is logged. */
  bool Listen(const Address& aAddress);

  /** Tells all nodes that are linked the state of the gate. @param aDomain empty: all domains */
  void Broadcast(const std::string& aDomain);

  /** Calls that have no result yet. */
  std::size_t Open() const;

  /** Links on which a frame, such as a result, is not sent whole. */
  std::size_t Sending() const;

private:
  struct Peer
  {
    std::shared_ptr<FrameConnection> connection;
    std::string vm;
    std::string failureDomain;
    GateStatusMessage told; //!< the gate's state as last sent
    HeartbeatMessage heartbeat;
    std::map<std::uint64_t, Ticket> calls;
    std::map<std::uint64_t, std::string> bodies; //!< received in part
  };

  using PeerPtr = std::shared_ptr<Peer>;

  void Accept();
  void Adopt(boost::asio::ip::tcp::socket aSocket);
  void OnFrame(const PeerPtr& aPeer, std::string_view aBody);
  void OnCall(const PeerPtr& aPeer, CallMessage aCall);
  void OnCallBodyPart(const PeerPtr& aPeer, const CallBodyPartMessage& aPart);
  void OnCallBody(const PeerPtr& aPeer, CallBodyMessage aBody);
  void OnClosed(const PeerPtr& aPeer);
  void SendStatus(const PeerPtr& aPeer);

  const Handlers mHandlers;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::map<Peer*, PeerPtr> mPeers;
};

} // namespace mustardwinch
