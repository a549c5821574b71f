#pragma once

#include "http/HttpLimits.h"
#include "http/HttpSession.h"
#include "http/ListenerLimits.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mustardwinch {

/** Accepts connections at one address and keeps their sessions. Runs on one event loop. */
class HttpListener
{
public:
  /** Refuses a request by its head, before its body is read. Nothing: the body may be read. */
  using HeadCheck = std::function<std::optional<HttpAnswer>(const HttpRequest& aHead)>;

  HttpListener(boost::asio::io_context& aLoop,
               Clock& aClock,
               HttpSession::Handler aHandler,
               ListenerLimits aShared = {},
               HeadCheck aHeadCheck = nullptr);
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

  /** Counters for operators. @param aName of the listener */
  std::string MetricsText(const std::string& aName) const;

private:
  friend class HttpSession;

  void Accept();
  void Adopt(boost::asio::ip::tcp::socket aSocket);
  void Sweep();

  /** The limits of one request, by the configuration and by what this listener accepts. */
  HttpLimits EffectiveLimits() const;

  /** Closes a connection for a new one. False if all are in use. */
  bool GiveUpConnection();

  /** Ends connections that have stalled, so that aFor can hold aBytes. @return whether any was */
  bool MakeRoom(const HttpSession& aFor, std::size_t aBytes);

  /** Ends the slowest readers while more is held than the budget allows. */
  void RelieveMemory();
  void NoteRefusal(const char* aWhy);

  Clock& mClock;
  const HttpSession::Handler mHandler;
  const ListenerLimits mShared;
  const HeadCheck mHeadCheck;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimer;
  HttpLimits mLimits;
  std::set<HttpSession*> mSessions;
  std::map<std::string, std::uint64_t> mRefusals; //!< by cause
  TimePoint mNextRefusalLog{};
  bool mRelieving = false;
  bool mStopping = false;
  /** Gone with the listener; handlers that are still queued look at it first. */
  const std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace mustardwinch
