#pragma once

#include "base/SharedText.h"
#include "fleet/FleetMessage.h"
#include "fleet/FrameConnection.h"
#include "fleet/MemberInfo.h"
#include "mustardwinch/Clock.h"
#include "placement/GateView.h"
#include "quota/RateVerdict.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardwinch {

/**
 * This node's link to the gate of another node: carries requests there and brings results and load
 * back. A connection that went silent is replaced by a new one; requests on the old one keep their
 * chance until it fails. Runs on one event loop.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** The link was lost before the gate's word came. */
  struct LostCall
  {
    bool mayHaveRun = true; //!< not if its body was never sent
  };

  using CallEnd = std::variant<CallResultMessage, LostCall>;
  using ResultFn = std::function<void(CallEnd)>;
  using VerdictFn = std::function<void(RateVerdict)>;

  struct Surroundings
  {
    std::function<HelloMessage(const std::string& aVm)> hello;
    std::function<HeartbeatMessage()> heartbeat;
    /** The peer has told which configuration it has. */
    std::function<void(PeerLink&, const GateStatusMessage&)> onStatus;
    std::function<void(const StatePushMessage&)> onState;
    /** The peer's configuration was the newest one at aAsOf. */
    std::function<void(std::uint64_t aVersion, TimePoint aAsOf)> onCurrency;
  };

  PeerLink(boost::asio::io_context& aLoop,
           Clock& aClock,
           const MemberInfo& aMember,
           Milliseconds aHeartbeatPeriod,
           Surroundings aSurroundings);

  /** Dials, sends heartbeats and judges silence. Called several times a second. */
  void Tick();

  /**
   * Sends a call, a large body only when the gate has a place for it. False if there is no
   * connection; aDone is then never called.
   */
  bool Call(CallMessage aCall, SharedText aBody, ResultFn aDone, std::uint64_t& aId);
  void Cancel(std::uint64_t aId);

  /** Asks for a token; false if there is no connection that is trusted. */
  bool AskRate(RateAskMessage aAsk, VerdictFn aDone);

  /** Asks how current the peer's configuration is; the latest request counts. */
  void AskCurrency();

  void Pull(SharedState aState);

  /** Sends a frame that is not answered. Dropped if there is no connection. */
  void Tell(const std::string& aFrame);

  /** Sends a heartbeat now, for example because the configuration has changed. */
  void Announce();

  /** The peer has dialled this node, so it runs: a dial that it may have missed is not waited for.
   */
  void OnPeerCame(const Address& aLink);

  /** The address or the failure domain of the peer changed. */
  void SetMember(const MemberInfo& aMember);
  void SetHeartbeatPeriod(Milliseconds aPeriod) { mPeriod = aPeriod; }
  void Close();

  const MemberInfo& Member() const { return mMember; }
  const GateView& View() const { return mView; }
  GateView& View() { return mView; }
  bool IsUp() const { return mConnection && mConnection->IsOpen(); }

  /** The peer has been heard lately. */
  bool IsLive() const { return IsUp() && mHeard && !mView.pathSuspected; }

  /** When the peer was last heard; the epoch if it never was. */
  TimePoint LastHeard() const { return mLastHeard; }

  /** A peer that is silent for longer is not live. @param aPeriod of its heartbeats */
  static Duration SuspicionTime(Milliseconds aPeriod);

  /** Since when no connection could be made; the epoch if there is one. */
  TimePoint DownSince() const { return mDownSince; }
  const std::string& LeavingInstance() const { return mLeaving; }

  /** The peer's calls to the store are answered, as it last told. */
  bool ReachesStore() const { return mReachesStore; }

  /** When the peer's process started, as it last told. */
  TimePoint Began() const { return mBegan; }

private:
  struct Pending
  {
    ResultFn done;
    std::shared_ptr<FrameConnection> connection;
    SharedText body;        //!< not sent whole yet
    std::size_t sent = 0;   //!< bytes of the body
    bool inParts = false;   //!< the gate wants the body in parts
    bool bodyBegun = false; //!< the gate has asked for the body, and may start the request
  };

  void Dial();
  void OnDialled(std::shared_ptr<FrameConnection> aConnection);
  void OnFrame(const std::shared_ptr<FrameConnection>& aConnection, std::string_view aBody);
  void OnResult(CallResultMessage aResult);
  void OnBodyWanted(const BodyWantedMessage& aWanted);

  /** Sends the next part of each body on a connection that has room. */
  void SendBodyParts(const std::shared_ptr<FrameConnection>& aConnection);
  void OnStatus(const GateStatusMessage& aStatus);
  void OnCurrency(const CurrencyReplyMessage& aReply);
  void OnOtherNode(const std::string& aVm);
  void OnClosed(const std::shared_ptr<FrameConnection>& aConnection);
  void Suspect();
  void JudgeSilence(TimePoint aNow);

  boost::asio::io_context& mLoop;
  Clock& mClock;
  MemberInfo mMember;
  Milliseconds mPeriod;
  const Surroundings mSurroundings;
  GateView mView;
  std::shared_ptr<FrameConnection> mConnection;
  std::map<std::uint64_t, Pending> mPending;
  std::map<std::uint64_t, VerdictFn> mAsks;
  std::string mLeaving;
  std::string mLastHeartbeat; //!< as sent on the present connection
  TimePoint mLastHeard{};
  TimePoint mLastSent{};
  TimePoint mNextDial{};
  TimePoint mDialled{}; //!< when the latest dial began
  TimePoint mDownSince{};
  TimePoint mBegan{};
  TimePoint mCurrencyAsked{};     //!< when the latest request was sent
  std::uint64_t mCurrencyAsk = 0; //!< number of that request; 0 once it is answered
  std::uint64_t mNext = 1;
  std::uint64_t mDial = 0; //!< number of the latest dial
  bool mDialling = false;
  bool mHeard = false; //!< a status came on the present connection
  bool mReachesStore = true;
  bool mOtherNode = false; //!< the address answers for another VM
  bool mClosed = false;
};

} // namespace mustardwinch
