#pragma once

#include "http/HttpLimits.h"
#include "http/HttpSession.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <set>

namespace mustardwinch {

/** Accepts connections at one address and keeps their sessions. Runs on one event loop. */
class HttpListener
{
public:
  HttpListener(boost::asio::io_context& aLoop, Clock& aClock, HttpSession::Handler aHandler);
  ~HttpListener();

  /** False if the address cannot be had; the reason is logged. */
  bool Listen(const Address& aAddress);

  void SetLimits(const HttpLimits& aLimits) { mLimits = aLimits; }

  /** From now on every answer ends its connection. */
  void AnnounceStop() { mStopping = true; }

  /** Requests that are handled now. */
  std::size_t Busy() const;

  /** Sessions with a request that is not read whole. */
  std::size_t Receiving() const;

  /** Sessions with an answer that is not sent whole. */
  std::size_t Sending() const;
  std::size_t Count() const { return mSessions.size(); }

private:
  friend class HttpSession;

  void Accept();
  void Sweep();

  Clock& mClock;
  const HttpSession::Handler mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimer;
  HttpLimits mLimits;
  std::set<HttpSession*> mSessions;
  bool mStopping = false;
  /** Gone with the listener; handlers that are still queued look at it first. */
  const std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace mustardwinch
