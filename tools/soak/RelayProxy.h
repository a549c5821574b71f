#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace mustardwinch::soak {

class Relay;

/** Faults of a relay that hold while they are set. */
struct RelayFaults
{
  bool holdsThere = false; //!< bytes towards the target wait
  bool holdsBack = false;  //!< bytes from the target wait
  Milliseconds delay{ 0 };
};

/** Relays TCP connections on loopback to a target, and harms them. Runs on one event loop. */
class RelayProxy
{
public:
  RelayProxy(boost::asio::io_context& aLoop, const Address& aListen, const Address& aTarget);
  ~RelayProxy();
  RelayProxy(const RelayProxy&) = delete;
  RelayProxy& operator=(const RelayProxy&) = delete;

  bool IsListening() const { return mListening; }
  void SetFaults(const RelayFaults& aFaults) { *mFaults = aFaults; }

  /** The connections that are open now carry nothing any more and are not closed. */
  void Silence();

  /** Resets the connections that are open now. */
  void Reset();

private:
  void Accept();

  boost::asio::io_context& mLoop;
  const Address mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  const bool mListening;
  const std::shared_ptr<RelayFaults> mFaults = std::make_shared<RelayFaults>();
  std::list<std::weak_ptr<Relay>> mRelays;
  std::list<std::shared_ptr<Relay>> mSilenced; //!< kept open
};

} // namespace mustardwinch::soak
