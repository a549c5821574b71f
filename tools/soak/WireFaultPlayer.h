#pragma once

#include "soak/WireFaultPlan.h"
#include "soak/WireSession.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace mustardwinch::soak {

/** Writes the answers of an upstream, with the wire fault that is set. Runs on one event loop. */
class WireFaultPlayer
{
public:
  WireFaultPlayer(boost::asio::io_context& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  void SetFault(WireFault aFault) { mFault = aFault; }

  /** A request is in: a second copy of the last answer on its connection may come now. */
  void OnRequest(const std::shared_ptr<WireSession>& aSession);

  /** Whether a request that is in is refused unrun. */
  bool Rejects() { return mFault == WireFault::kLateRejection && Strikes(); }

  /** Whether a request is refused unrun before its body is in. */
  bool RejectsEarly() { return mFault == WireFault::kRejectsEarly && Strikes(); }

  /** Refuses a request that has not run and never will. */
  static void Reject(const std::shared_ptr<WireSession>& aSession,
                     unsigned aStatus,
                     const std::string& aId);

  /** Ends a request that has run. */
  void End(const std::shared_ptr<WireSession>& aSession,
           const std::string& aId,
           const std::string& aInstance);

private:
  bool Strikes();
  std::size_t Below(std::size_t aEnd);

  boost::asio::io_context& mLoop;
  std::mt19937_64 mRandom;
  WireFault mFault = WireFault::kNone;
};

} // namespace mustardwinch::soak
