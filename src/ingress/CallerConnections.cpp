#include "ingress/CallerConnections.h"

#include "ingress/CallerExchange.h"
#include "ingress/SocketTable.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace mustardwinch {
namespace {

/** One thread in this many is kept free of idle connections. */
constexpr std::size_t kReserveShare = 4;

/** An idle connection is not closed before this. */
constexpr Milliseconds kMinimumIdle{ 200 };

/** Requests that run longer than this are watched for callers that go away. */
constexpr Milliseconds kWatchAfter{ 100 };

} // namespace

CallerConnections::CallerConnections(Clock& aClock,
                                     std::set<std::uint16_t> aLocalPorts,
                                     std::size_t aThreads)
  : mClock(aClock)
  , mLocalPorts(std::move(aLocalPorts))
  , mThreads(aThreads)
{
}

void CallerConnections::Add(const mg_connection* aConnection)
{
  std::lock_guard lock(mMutex);
  mConnections[aConnection] = { std::nullopt, mClock.Now(), nullptr };
}

void CallerConnections::Remove(const mg_connection* aConnection)
{
  std::lock_guard lock(mMutex);
  mConnections.erase(aConnection);
}

void CallerConnections::Begin(const mg_connection* aConnection,
                              const Address& aCaller,
                              CallerExchange* aExchange)
{
  std::lock_guard lock(mMutex);
  Connection& it = mConnections[aConnection];
  it.caller = aCaller;
  it.exchange = aExchange;
  it.since = mClock.Now();
}

void CallerConnections::End(const mg_connection* aConnection)
{
  std::lock_guard lock(mMutex);
  Connection& it = mConnections[aConnection];
  it.exchange = nullptr;
  it.since = mClock.Now();
}

bool CallerConnections::IsShortLocked() const
{
  return mConnections.size() + mThreads / kReserveShare >= mThreads;
}

bool CallerConnections::IsShort() const
{
  std::lock_guard lock(mMutex);
  return IsShortLocked();
}

std::size_t CallerConnections::Running() const
{
  std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(
    std::count_if(mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second.exchange != nullptr;
    }));
}

void CallerConnections::Sweep()
{
  std::lock_guard lock(mMutex);
  const TimePoint now = mClock.Now();
  std::vector<Connection*> watched;
  for (auto& [connection, it] : mConnections) {
    if (it.exchange != nullptr && now - it.since > kWatchAfter) {
      watched.push_back(&it);
    }
  }
  const bool isShort = IsShortLocked();
  if (watched.empty() && !isShort) {
    return;
  }
  const std::map<Address, int> sockets = ScanSockets(mLocalPorts);
  for (Connection* it : watched) {
    const auto socket = sockets.find(*it->caller);
    if (socket == sockets.end() || HasPeerClosed(socket->second)) {
      it->exchange->SetCallerGone();
    }
  }
  if (isShort) {
    EvictIdleLocked(sockets);
    EvictSilentLocked(sockets);
  }
}

void CallerConnections::EvictIdleLocked(const std::map<Address, int>& aSockets)
{
  const TimePoint now = mClock.Now();
  for (const auto& [connection, it] : mConnections) {
    if (!it.caller || it.exchange != nullptr || now - it.since < kMinimumIdle) {
      continue;
    }
    const auto socket = aSockets.find(*it.caller);
    if (socket != aSockets.end() && !HasPendingBytes(socket->second)) {
      ShutDownSocket(socket->second);
    }
  }
}

void CallerConnections::EvictSilentLocked(const std::map<Address, int>& aSockets)
{
  std::set<Address> known;
  for (const auto& [connection, it] : mConnections) {
    if (it.caller) {
      known.insert(*it.caller);
    }
  }
  const TimePoint now = mClock.Now();
  std::map<Address, TimePoint> silent;
  for (const auto& [caller, socket] : aSockets) {
    if (known.contains(caller)) {
      continue;
    }
    const auto seen = mSilent.find(caller);
    const TimePoint since = seen == mSilent.end() ? now : seen->second;
    silent[caller] = since;
    if (now - since >= kMinimumIdle && !HasPendingBytes(socket)) {
      ShutDownSocket(socket);
    }
  }
  mSilent = std::move(silent);
}

void CallerConnections::CloseIdle()
{
  std::lock_guard lock(mMutex);
  const std::map<Address, int> sockets = ScanSockets(mLocalPorts);
  EvictIdleLocked(sockets);
  EvictSilentLocked(sockets);
}

} // namespace mustardwinch
