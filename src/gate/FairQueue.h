#pragma once

#include "gate/GateRequest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Start-time fair queue of the requests that wait for one upstream: organisations are served by the
 * slot time they have used, all with the same weight. Bounded; when it is full, the longest queue
 * of an organisation loses its newest entry, so that an organisation over its share has its own
 * requests refused first. Not thread safe.
 */
class FairQueue
{
public:
  struct Entry
  {
    std::uint64_t ticket = 0;
    GateRequest request;
    TimePoint queued{};
  };

  /**
   * Adds an entry.
   *
   * @return the entry that is evicted if there are aLimit entries already, possibly the new one
   */
  std::optional<Entry> Push(Entry aEntry, std::size_t aLimit);

  /** Removes and returns the next entry in fair order; nullopt if the queue is empty. */
  std::optional<Entry> Pop();

  /** Removes an entry by its ticket; false if it is not queued. */
  bool Remove(std::uint64_t aTicket);

  /** Removes and returns all entries that match, in order of organisation and arrival. */
  std::vector<Entry> TakeIf(const std::function<bool(const Entry&)>& aPredicate);

  /**
   * Corrects the cost of a popped request. Pop() charges 1, which stands for the typical slot time.
   *
   * @param aCost slot time used, as a multiple of the typical slot time
   */
  void Charge(const std::string& aOrganisation, double aCost);

  std::size_t size() const { return mSize; }
  bool empty() const { return mSize == 0; }

  /** Number of queued requests of each organisation that has any. */
  std::map<std::string, std::size_t> QueuedCounts() const;

  /** Number of organisations with an account, idle ones included. */
  std::size_t AccountCount() const { return mOrganisations.size(); }

private:
  struct Account
  {
    std::deque<Entry> entries;
    double virtualTime = 0; //!< slot times used, comparable with mVirtualTime
  };

  using AccountMap = std::map<std::string, Account>;

  AccountMap::iterator FindLongest();
  void EraseIdleAccounts();

  AccountMap mOrganisations;
  double mVirtualTime = 0; //!< virtual start time of the last popped entry
  std::size_t mSize = 0;
};

} // namespace mustardwinch
