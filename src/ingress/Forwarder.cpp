#include "ingress/Forwarder.h"

#include "gate/GateCodec.h"
#include "ingress/AnswerPump.h"
#include "ingress/ApiKey.h"
#include "ingress/ForwardHeaders.h"
#include "link/PeerStream.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;

bool IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 6> kMethods{ "GET", "HEAD",   "OPTIONS",
                                                      "PUT", "DELETE", "TRACE" };
  return std::find(kMethods.begin(), kMethods.end(), aMethod) != kMethods.end();
}

/** The result of several attempts: one that may have run outweighs later ones that did not. */
ResultCode CombineResults(ResultCode aEarlier, ResultCode aLast)
{
  const bool lastNotRun = OutcomeOf(aLast) == Outcome::kNotRun;
  return lastNotRun && OutcomeOf(aEarlier) != Outcome::kNotRun ? aEarlier : aLast;
}

std::string MakeIdPrefix(const std::string& aVmName)
{
  std::random_device device;
  return aVmName + "-" + std::to_string(device()) + "-";
}

} // namespace

/** What is known of a request once it is let in. */
struct Forwarder::Request
{
  std::shared_ptr<const ConfigSnapshot> config;
  const Route* route = nullptr;
  const Organisation* organisation = nullptr; //!< null on routes open to all
  TimePoint deadline;
  GateRequestHead head;
  AnswerPump::Body body;
  std::string detail;
};

Forwarder::Forwarder(Parts aParts)
  : mParts(std::move(aParts))
  , mIdPrefix(MakeIdPrefix(mParts.vmName))
{
}

std::string Forwarder::NextRequestId()
{
  return mIdPrefix + std::to_string(++mRequests);
}

void Forwarder::Serve(CallerExchange& aExchange)
{
  Request request;
  const ResultCode code = Prepare(aExchange, request);
  if (code != ResultCode::kOk) {
    LogEvent(LogLevel::kDebug,
             Event::kRequestRefused,
             { { "code", std::to_string(static_cast<int>(code)) } });
    aExchange.Refuse(code, request.detail);
    return;
  }
  RunAttempts(aExchange, request);
}

ResultCode Forwarder::Prepare(CallerExchange& aExchange, Request& aRequest) const
{
  if (mStopping) {
    aExchange.CloseAfterwards();
    return ResultCode::kNodeStopping;
  }
  if (mParts.freshness() == Freshness::kIsolated) {
    return ResultCode::kNodeIsolated;
  }
  if (!IsPlainTarget(aExchange.Target())) {
    aRequest.detail = "the path has empty, dot or encoded segments";
    return ResultCode::kBadRequest;
  }
  aRequest.config = mParts.config.Current();
  aRequest.route = aRequest.config->FindRoute(aExchange.Method(), aExchange.Path());
  if (aRequest.route == nullptr) {
    return ResultCode::kNoRoute;
  }
  aRequest.deadline = mParts.clock.Now() + Milliseconds(aRequest.route->deadlineMs);
  if (const HttpHeader* it = FindHeader(aExchange.Headers(), "X-Deadline-Ms")) {
    std::uint32_t ms = 0;
    const char* end = it->value.data() + it->value.size();
    const auto [rest, ec] = std::from_chars(it->value.data(), end, ms);
    if (ec != std::errc() || rest != end) {
      aRequest.detail = "X-Deadline-Ms is not a number of milliseconds";
      return ResultCode::kBadRequest;
    }
    aRequest.deadline = std::min(aRequest.deadline, mParts.clock.Now() + Milliseconds(ms));
  }
  return Authorise(aExchange, aRequest);
}

ResultCode Forwarder::Authorise(const CallerExchange& aExchange, Request& aRequest) const
{
  const std::string key = FindApiKey(aExchange.Headers()).value_or("");
  if (!key.empty() && aExchange.Target().find(key) != std::string::npos) {
    aRequest.detail = "the key stands in the path or query";
    return ResultCode::kBadRequest;
  }
  aRequest.head.headers = ForwardHeaders(aExchange.Headers(), key);
  if (aRequest.route->open) {
    return ResultCode::kOk;
  }
  if (key.empty()) {
    return ResultCode::kKeyMissing;
  }
  aRequest.organisation = aRequest.config->FindOrganisationByKeyHash(HashApiKey(key));
  if (aRequest.organisation == nullptr) {
    return ResultCode::kKeyUnknown;
  }
  return mParts.limiter.Admit(*aRequest.organisation, aRequest.deadline).code;
}

void Forwarder::RunAttempts(CallerExchange& aExchange, Request& aRequest)
{
  const HttpHeader* id = FindHeader(aExchange.Headers(), "X-Request-Id");
  const bool usable = id != nullptr && !id->value.empty() && id->value.size() <= kMaxRequestIdBytes;
  GateRequestHead& head = aRequest.head;
  head.requestId = usable ? id->value : NextRequestId();
  head.service = aRequest.route->service;
  head.organisation = aRequest.organisation != nullptr ? aRequest.organisation->name : "";
  head.method = aExchange.Method();
  head.target = aExchange.Target();
  head.idempotent = aRequest.route->idempotent || IsIdempotentMethod(head.method);
  head.hasBody = aExchange.HasBody();
  head.bodyLength = aExchange.BodyLength();

  std::vector<Address> tried;
  ResultCode code = ResultCode::kNoUpstream;
  mParts.retries.OnRequest(head.service);
  for (int attempts = 1;; ++attempts) {
    const auto upstream =
      mParts.picker.Pick(head.service, *aRequest.config, tried, head.idempotent);
    if (!upstream) {
      break;
    }
    tried.push_back(upstream->upstream);
    const AttemptResult result = RunAttempt(aExchange, aRequest, *upstream);
    mParts.picker.Report(*upstream, result);
    code = attempts == 1 ? result.code : CombineResults(code, result.code);
    if (result.code == ResultCode::kOk) {
      mParts.retries.OnAnswer(head.service, result.total);
      return;
    }
    if (!MayRetry(aExchange, aRequest, result, attempts)) {
      break;
    }
    LogEvent(LogLevel::kDebug,
             Event::kRequestRetried,
             { { "upstream", upstream->upstream.ToString() },
               { "code", std::to_string(static_cast<int>(result.code)) } });
  }
  if (aExchange.HeadWritten()) {
    LogEvent(LogLevel::kWarn, Event::kAnswerCutVisible, { { "request", head.requestId } });
    aExchange.Abort();
    return;
  }
  aExchange.Refuse(code);
}

AttemptResult Forwarder::RunAttempt(CallerExchange& aExchange,
                                    Request& aRequest,
                                    const UpstreamRecord& aUpstream)
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aRequest.deadline - mParts.clock.Now()).count();
  GateRequestHead& head = aRequest.head;
  head.upstream = aUpstream.upstream;
  head.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
  auto stream = mParts.links.OpenStream(aUpstream.gate, EncodeRequestHead(head));
  AnswerPump pump(aExchange, aRequest.body, std::move(stream), aRequest.deadline);
  return pump.Run();
}

bool Forwarder::MayRetry(const CallerExchange& aExchange,
                         const Request& aRequest,
                         const AttemptResult& aResult,
                         int aAttempts)
{
  if (aResult.code == ResultCode::kOk || aResult.code == ResultCode::kCallerGone) {
    return false;
  }
  if (aExchange.HeadWritten() || aRequest.body.streamed) {
    return false;
  }
  return mParts.retries.MayRetry(aRequest.head.service,
                                 OutcomeOf(aResult.code),
                                 aRequest.head.idempotent,
                                 aRequest.deadline,
                                 aAttempts);
}

} // namespace mustardwinch
