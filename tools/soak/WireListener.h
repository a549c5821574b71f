#pragma once

#include "mustardwinch/Address.h"
#include "soak/WireSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace mustardwinch::soak {

/** Accepts connections to an upstream; they end with it. Runs on one event loop. */
class WireListener
{
public:
  WireListener(boost::asio::io_context& aLoop,
               const Address& aAddress,
               WireSession::Handlers aHandlers);
  ~WireListener();
  WireListener(const WireListener&) = delete;
  WireListener& operator=(const WireListener&) = delete;

  bool IsListening() const { return mListening; }

private:
  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  const WireSession::Handlers mHandlers;
  const bool mListening;
  std::list<std::weak_ptr<WireSession>> mSessions;
  /** Gone with the listener; handlers that are still queued look at it first. */
  const std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace mustardwinch::soak
