#include "sidecar/Gate.h"

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

/** A part of a body takes 50 ms on a link of 10 Mbit/s; after this time without one the ingress or
 * the network path has failed. */
constexpr Milliseconds kBodyTimeout{ 1'000 };

} // namespace

// Calls that have a slot and wait for a body that another node sends.

void Gate::OnBodyPart(Ticket aTicket)
{
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end() || !it->second->call.bodyFollows) {
    return;
  }
  const ActivePtr active = it->second;
  if (!RefuseIfRestricted(aTicket, active)) {
    AwaitBody(aTicket, active);
  }
}

void Gate::AwaitBody(Ticket aTicket, const ActivePtr& aActive)
{
  aActive->timer->expires_after(std::min<Duration>(aActive->deadline - mClock.Now(), kBodyTimeout));
  aActive->timer->async_wait([this, aTicket, aActive](const boost::system::error_code& aError) {
    if (aError || !aActive->call.bodyFollows || mRunning.count(aTicket) == 0) {
      return; // the body arrived, or the call ended
    }
    RefuseBeforeBody(aTicket, aActive, ResultCode::kLinkTimeout);
  });
}

/**
 * Load pattern: uploads over slow links are on their way for seconds, in which upstreams leave, are
 * evacuated, or lose their address to one of another service.
 */
bool Gate::RefuseIfRestricted(Ticket aTicket, const ActivePtr& aActive)
{
  const auto reason = RestrictionOn(aActive->call);
  if (reason) {
    RefuseBeforeBody(aTicket, aActive, *reason);
  }
  return reason.has_value();
}

void Gate::RefuseBeforeBody(Ticket aTicket, const ActivePtr& aActive, ResultCode aReason)
{
  GateCallResult result;
  result.outcome = CallOutcome::kRefused;
  result.reason = aReason;
  Finish(aTicket, aActive, std::move(result));
}

void Gate::ProvideBody(Ticket aTicket, std::string aBody)
{
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end() || !it->second->call.bodyFollows) {
    return;
  }
  const ActivePtr active = it->second;
  if (RefuseIfRestricted(aTicket, active)) {
    return;
  }
  active->call.request.body = std::move(aBody);
  active->call.bodyFollows = false;
  const TimePoint now = mClock.Now();
  mStarts.OnDelayedStart(active->begin, now);
  active->begin = now;
  Send(aTicket, active);
}

} // namespace mustardwinch
