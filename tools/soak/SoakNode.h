#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "soak/ChildProcess.h"
#include "soak/PromiseJudge.h"
#include "soak/RelayProxy.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch::soak {

/** Where the programs and files of a run are. */
struct SoakPaths
{
  std::string program; //!< the node
  std::string folder;  //!< for settings and logs, created before
};

/** Addresses of a node; each has an IP number of 127.0.0.0/8 of its own, so that runs keep apart.
 */
struct NodePlace
{
  std::size_t number = 0;
  std::string failureDomain;
  std::string service;
  Address link;
  Address relay; //!< of its link, for its peers
  Address callers;
  Address readiness;
  Address control;
  Address metrics;
  Address store;
};

/** A real node process with a relay before its link, restarted when it ends. */
class SoakNode
{
public:
  SoakNode(boost::asio::io_context& aLoop,
           Clock& aClock,
           NodePlace aPlace,
           SoakPaths aPaths,
           PromiseJudge& aJudge);

  const NodePlace& Place() const { return mPlace; }
  RelayProxy& Relay() { return mRelay; }
  bool IsRelaying() const { return mRelay.IsListening(); }

  bool Start();
  void Stop();
  void Kill();
  void Pause(Milliseconds aLength);
  void Reload(bool aSignal);

  /** Sees the end of the process, wakes and restarts it. Called some times a second. */
  void Tick();

  /** Asks the process to end for good. */
  void BeginEnd();

  /** Waits for that; false if it does not end in time or ends badly. */
  bool AwaitEnd();

private:
  bool WriteSettings() const;
  void OnExit(int aCode);
  std::string FileOf(const std::string& aSuffix) const;

  Clock& mClock;
  const NodePlace mPlace;
  const SoakPaths mPaths;
  PromiseJudge& mJudge;
  RelayProxy mRelay;
  std::unique_ptr<ChildProcess> mProcess;
  std::optional<TimePoint> mStopAt; //!< when SIGTERM was sent
  std::optional<TimePoint> mWakeAt; //!< end of a pause
  std::optional<TimePoint> mRestartAt;
  bool mKilled = false;
  std::uint32_t mReloads = 0;
};

} // namespace mustardwinch::soak
