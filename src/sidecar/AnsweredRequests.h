#pragma once

#include "mustardwinch/Clock.h"

#include <map>
#include <string>

namespace mustardwinch {

/**
 * Requests that were answered on one connection and may be sent again.
 *
 * Load pattern: an upstream sends a late copy of an answer where the next answer is expected. The
 * id of the request tells it from the answers to other requests, but not from the answer to a
 * repeat of the same request. A repeat therefore never uses the same connection.
 */
class AnsweredRequests
{
public:
  /** @param aUntil the request is not repeated later. @return false if there are too many */
  bool Add(TimePoint aNow, const std::string& aId, TimePoint aUntil);

  bool Contains(TimePoint aNow, const std::string& aId) const;

private:
  std::map<std::string, TimePoint> mUntil; //!< by request id
};

} // namespace mustardwinch
