#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/** A request that waits for a slot of the upstream. */
struct WaitingRequest
{
  std::uint64_t id = 0;
  int priority = 0; //!< 0 is the most urgent
  std::string organisation;
  TimePoint since{};
  TimePoint latestStart{}; //!< a later start would miss the deadline

  bool operator==(const WaitingRequest&) const = default;
};

/**
 * The requests that wait for a slot of one upstream, ordered by priority, then by the time since a
 * request of their organisation was last started (longest first), then by arrival.
 *
 * Load pattern: a short burst exceeds the slots of a service while one organisation sends many
 * times its usual load. A more urgent priority class is never served less than another one, and
 * other organisations do not wait behind the backlog of that organisation.
 */
class WaitingQueue
{
public:
  void Add(WaitingRequest aRequest);

  /** Removes and returns the request to start next; none if the queue is empty. */
  std::optional<WaitingRequest> TakeNext(TimePoint aNow);

  /** Removes and returns the requests that can no longer meet their deadlines. */
  std::vector<WaitingRequest> TakeExpired(TimePoint aNow);

  /** Removes one request. False if it is not in the queue. */
  bool Remove(std::uint64_t aId);

  std::vector<WaitingRequest> TakeAll();

  std::size_t Size() const { return mWaiting.size(); }

  /** Number of queued requests with this priority or a more urgent one. */
  std::size_t CountAhead(int aPriority) const;

private:
  TimePoint LastStart(const std::string& aOrganisation) const;

  std::vector<WaitingRequest> mWaiting; //!< in order of arrival; at most a few dozen
  std::vector<std::pair<std::string, TimePoint>> mLastStarts;
};

} // namespace mustardwinch
