#pragma once

#include "http/HttpChannel.h"
#include "mustardwinch/Clock.h"
#include "soak/PromiseJudge.h"
#include "soak/WireFaultPlayer.h"
#include "soak/WireListener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace mustardwinch::soak {

/** Where an upstream runs and what it tells of itself. */
struct UpstreamPlace
{
  std::size_t node = 0;
  std::string service;
  std::string failureDomain;
  Address address;
  Address control; //!< of the node beside it
};

/** What an upstream does wrong now, each for most of its requests. */
enum class UpstreamFault : std::uint8_t
{
  kNone,
  kGray,
  kHangs,
  kSheds,
};

/** An upstream beside a node, as the platform's pages describe it, announcing itself. */
class SoakUpstream
{
public:
  SoakUpstream(boost::asio::io_context& aLoop,
               Clock& aClock,
               UpstreamPlace aPlace,
               PromiseJudge& aJudge,
               std::uint64_t aSeed);

  void SetFault(UpstreamFault aFault) { mFault = aFault; }
  void SetWireFault(WireFault aFault) { mWire.SetFault(aFault); }

  /** Ends at once; comes back cold as another instance after the pause. */
  void Crash(Milliseconds aPause);

  /** Announces that it leaves, ends some time after the acknowledgement, and is replaced. */
  void Drain();

private:
  void Begin();
  void End(Milliseconds aPause);
  void OnHead(const std::shared_ptr<WireSession>& aSession, const HttpRequest& aRequest);
  void Handle(const std::shared_ptr<WireSession>& aSession, const HttpRequest& aRequest);
  void Work(const std::shared_ptr<WireSession>& aSession, const std::string& aId);
  void AnnounceLater();
  void Announce();
  void OnAnnounced(const std::string& aInstance, bool aDraining);
  bool Strikes();

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const UpstreamPlace mPlace;
  PromiseJudge& mJudge;
  std::mt19937_64 mRandom;
  WireFaultPlayer mWire;
  std::unique_ptr<WireListener> mListener; //!< null while it is down
  boost::asio::steady_timer mBeat;
  boost::asio::steady_timer mRestart;
  UpstreamFault mFault = UpstreamFault::kNone;
  std::string mInstance;
  std::uint64_t mStarts = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mBorn = 0;
  TimePoint mColdUntil{};
  std::size_t mRunning = 0;
  bool mDraining = false;
  bool mAcknowledged = false;
};

} // namespace mustardwinch::soak
