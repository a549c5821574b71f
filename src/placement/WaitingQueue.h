#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/** A request that waits for a slot. */
struct WaitingRequest
{
  std::uint64_t id = 0;
  int priority = 0; //!< 0 is the most urgent
  std::string organisation;
  TimePoint since{};
  TimePoint latestStart{}; //!< started later it cannot be answered in time

  bool operator==(const WaitingRequest&) const = default;
};

/**
 * Requests that wait for a slot of one upstream: the most urgent first; among equals the
 * organisation that was started longest ago, then in order of arrival.
 *
 * Load pattern: a short burst above the slots of a service, with one organisation that sends many
 * times its usual load. A class that is more urgent is not served less than another, and the
 * organisation's neighbours do not wait behind its backlog.
 */
class WaitingQueue
{
public:
  void Add(WaitingRequest aRequest);

  /** Takes the request that is started next; none if the queue is empty. */
  std::optional<WaitingRequest> TakeNext(TimePoint aNow);

  /** Takes out the requests that can no longer be answered in time. */
  std::vector<WaitingRequest> TakeExpired(TimePoint aNow);

  /** Takes one request out. False if it does not wait. */
  bool Remove(std::uint64_t aId);

  std::vector<WaitingRequest> TakeAll();

  std::size_t Size() const { return mWaiting.size(); }

  /** How many requests with this priority or a more urgent one wait. */
  std::size_t CountAhead(int aPriority) const;

private:
  TimePoint LastStart(const std::string& aOrganisation) const;

  std::vector<WaitingRequest> mWaiting; //!< in order of arrival; a few dozen at most
  std::vector<std::pair<std::string, TimePoint>> mStarts;
};

} // namespace mustardwinch
