#include "sidecar/CallCodec.h"

#include "sidecar/UpstreamRefusal.h"

#include <utility>

namespace mustardwinch {
namespace {

std::vector<HeaderMessage> ToMessages(const HttpHeaders& aHeaders)
{
  std::vector<HeaderMessage> messages;
  messages.reserve(aHeaders.size());
  for (const HttpHeader& it : aHeaders) {
    messages.push_back({ it.name, it.value });
  }
  return messages;
}

HttpHeaders FromMessages(std::vector<HeaderMessage> aMessages)
{
  HttpHeaders headers;
  headers.reserve(aMessages.size());
  for (HeaderMessage& it : aMessages) {
    headers.push_back({ std::move(it.name), std::move(it.value) });
  }
  return headers;
}

bool IsKnownOutcome(std::uint8_t aNumber)
{
  return aNumber <= static_cast<std::uint8_t>(CallOutcome::kTimedOut);
}

/** A missing outcome reads as that of an answer, but has no final status. */
bool IsWithoutAnswer(const CallResultMessage& aMessage)
{
  constexpr unsigned kFirstFinalStatus = 200;
  return static_cast<CallOutcome>(aMessage.outcome) == CallOutcome::kAnswered &&
         aMessage.status < kFirstFinalStatus;
}

/** A gate of an older version passes on statuses that callers would take for the fleet's refusal.
 */
bool IsUnprovenRefusal(const CallResultMessage& aMessage)
{
  return static_cast<CallOutcome>(aMessage.outcome) == CallOutcome::kAnswered &&
         IsRefusalStatus(aMessage.status);
}

} // namespace

CallMessage ToMessage(const GateCall& aCall)
{
  CallMessage message;
  message.requestId = aCall.requestId;
  message.service = aCall.service;
  message.method = aCall.request.method;
  message.target = aCall.request.target;
  message.headers = ToMessages(aCall.request.headers);
  message.bodyBytes = aCall.request.body.size();
  message.remainingMs = static_cast<std::uint32_t>(aCall.remaining.count());
  message.latencyTargetMs = static_cast<std::uint32_t>(aCall.latencyTarget.count());
  message.priority = aCall.priority;
  message.organisation = aCall.organisation;
  message.idempotent = aCall.idempotent;
  message.mayWait = aCall.mayWait;
  message.lastResort = aCall.lastResort;
  message.repeat = aCall.isRetry;
  message.bodyFollows = aCall.bodyFollows;
  message.route = aCall.route;
  message.version = aCall.version;
  return message;
}

GateCall FromMessage(CallMessage aMessage)
{
  GateCall call;
  call.requestId = std::move(aMessage.requestId);
  call.service = std::move(aMessage.service);
  call.request.method = std::move(aMessage.method);
  call.request.target = std::move(aMessage.target);
  call.request.headers = FromMessages(std::move(aMessage.headers));
  call.request.body = std::move(aMessage.body);
  call.remaining = Milliseconds(aMessage.remainingMs);
  call.latencyTarget = Milliseconds(aMessage.latencyTargetMs);
  call.priority = aMessage.priority;
  call.organisation = std::move(aMessage.organisation);
  call.idempotent = aMessage.idempotent;
  call.mayWait = aMessage.mayWait;
  call.lastResort = aMessage.lastResort;
  call.isRetry = aMessage.repeat;
  call.bodyFollows = aMessage.bodyFollows;
  call.route = std::move(aMessage.route);
  call.version = std::move(aMessage.version);
  call.bodyBytes = aMessage.bodyBytes;
  return call;
}

CallResultMessage ToMessage(GateCallResult aResult)
{
  CallResultMessage message;
  message.outcome = static_cast<std::uint8_t>(aResult.outcome);
  message.reason = aResult.reason ? static_cast<std::uint32_t>(*aResult.reason) : 0;
  message.waitMs = static_cast<std::uint32_t>(aResult.wait.count());
  message.status = aResult.answer.status;
  message.headers = ToMessages(aResult.answer.headers);
  message.body = std::move(aResult.answer.body);
  message.running = aResult.running;
  message.queued = aResult.queued;
  message.reached = aResult.reached;
  return message;
}

GateCallResult FromMessage(CallResultMessage aMessage)
{
  GateCallResult result;
  if (!IsKnownOutcome(aMessage.outcome) || IsWithoutAnswer(aMessage) ||
      IsUnprovenRefusal(aMessage)) {
    result.outcome = CallOutcome::kFailed;
    result.reason = ResultCode::kUpstreamFailed;
    result.reached = true;
    result.running = aMessage.running;
    result.queued = aMessage.queued;
    return result;
  }
  result.outcome = static_cast<CallOutcome>(aMessage.outcome);
  if (aMessage.reason != 0) {
    result.reason = ResultCodeFromNumber(aMessage.reason);
  }
  result.wait = Milliseconds(aMessage.waitMs);
  result.answer.status = aMessage.status;
  result.answer.headers = FromMessages(std::move(aMessage.headers));
  result.answer.body = std::move(aMessage.body);
  result.running = aMessage.running;
  result.queued = aMessage.queued;
  result.reached = aMessage.reached;
  return result;
}

} // namespace mustardwinch
