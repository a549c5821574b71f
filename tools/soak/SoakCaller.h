#pragma once

#include "http/HttpChannel.h"
#include "mustardwinch/Clock.h"
#include "soak/PromiseJudge.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace mustardwinch::soak {

/** How the calls of a time ended that a calm fleet owes an answer. */
struct CallCounts
{
  std::size_t sent = 0;
  std::size_t served = 0;
};

/** One caller at one node. It keeps its connection for as long as the node lets it. */
class SoakCaller : public std::enable_shared_from_this<SoakCaller>
{
public:
  /** What to send next: fields of aRequest but its node. Returns the target. */
  using ChooseFn = std::function<std::string(SoakRequest& aRequest)>;

  SoakCaller(boost::asio::io_context& aLoop,
             Clock& aClock,
             std::size_t aNode,
             const Address& aCallers,
             PromiseJudge& aJudge,
             CallCounts& aCounts,
             ChooseFn aChoose,
             std::uint64_t aSeed);

  /** Calls at random times, so often in the mean. */
  void Run(double aPerSecond);

private:
  void CallLater();
  void Call();
  void Send();
  void OnDone(const HttpChannelResult& aResult);

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const std::size_t mNode;
  const Address mCallers;
  PromiseJudge& mJudge;
  CallCounts& mCounts;
  const ChooseFn mChoose;
  std::mt19937_64 mRandom;
  boost::asio::steady_timer mPause;
  boost::asio::steady_timer mLimit;
  std::shared_ptr<HttpChannel> mChannel;
  SoakRequest mRequest;
  double mPerSecond = 0;
  bool mGaveUp = false;
};

} // namespace mustardwinch::soak
