#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>

struct mg_connection;

namespace mustardwinch {

class CallerExchange;

/**
 * The callers' connections that hold a thread of the HTTP server. Frees threads of idle connections
 * when few threads are left, and tells running requests that their caller has gone.
 * Lock order: mMutex is a leaf. It is held while a socket is shut down, and taken before the server
 * closes one, so that a socket number is never used after its connection.
 */
class CallerConnections
{
public:
  /**
   * @param aLocalPorts ports on which the server listens
   * @param aThreads threads of the server, each of which holds one connection
   */
  CallerConnections(Clock& aClock, std::set<std::uint16_t> aLocalPorts, std::size_t aThreads);

  /** A thread takes a connection. Its caller's address is not known before the first request. */
  void Add(const mg_connection* aConnection);
  void Remove(const mg_connection* aConnection);

  /** A request begins on a connection; aExchange lives until End(). */
  void Begin(const mg_connection* aConnection, const Address& aCaller, CallerExchange* aExchange);
  void End(const mg_connection* aConnection);

  /** Looks after callers that have gone and, when threads are short, idle connections. */
  void Sweep();

  /** Closes connections on which no request runs. */
  void CloseIdle();

  /** Requests under way. */
  std::size_t Running() const;

  /** True if few threads are left, so that connections should close after their answer. */
  bool IsShort() const;

private:
  struct Connection
  {
    std::optional<Address> caller; //!< nothing before the first request
    TimePoint since;               //!< begin of the request, or of the idleness
    CallerExchange* exchange = nullptr;
  };

  bool IsShortLocked() const;
  void EvictIdleLocked(const std::map<Address, int>& aSockets);
  void EvictSilentLocked(const std::map<Address, int>& aSockets);

  Clock& mClock;
  const std::set<std::uint16_t> mLocalPorts;
  const std::size_t mThreads;
  mutable std::mutex mMutex;
  std::map<const mg_connection*, Connection> mConnections;
  std::map<Address, TimePoint>
    mSilent; //!< callers that sent no request yet, by when they were seen
};

} // namespace mustardwinch
