#pragma once

#include "http/HttpChannel.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "sidecar/HttpNames.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

/**
 * Asks the upstream beside the gate by its health path whether it is cold, one request at a time on
 * a connection of its own. Runs on one event loop.
 */
class WarmthProbe
{
public:
  struct Reply
  {
    TimePoint asked{}; //!< when the request was sent
    std::string instance;
    Milliseconds coldRemaining{ 0 }; //!< 0: it was warm at some moment since asked
  };

  /** Called for complete answers only. */
  using ReplyFn = std::function<void(const Reply&)>;

  WarmthProbe(boost::asio::io_context& aLoop,
              Clock& aClock,
              const HttpNames& aNames,
              ReplyFn aOnReply);

  /** Sends a request, unless one is under way or was sent a moment ago. */
  void Ask(const Address& aUpstream, const std::string& aPath);

  /** Number of requests sent. */
  std::uint64_t Count() const { return mCount; }

private:
  void Send(const std::string& aPath);
  void OnResult(const HttpChannelResult& aResult);

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const HttpNames& mNames;
  const ReplyFn mOnReply;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<HttpChannel> mChannel;
  Address mAddress{};
  TimePoint mAsked{};
  std::uint64_t mCount = 0;
  bool mPending = false;
};

} // namespace mustardwinch
