#include "sidecar/Ingress.h"

#include "http/HttpText.h"
#include "sidecar/Exchange.h"
#include "sidecar/RequestDeadline.h"
#include "sidecar/RouteMatch.h"
#include "sidecar/TrafficSplit.h"

#include <utility>

namespace mustardwinch {
namespace {

constexpr const char* kRetryAfterSeconds = "0.4";

} // namespace

Ingress::Ingress(IngressServices aServices)
  : mServices(std::move(aServices))
  , mPlacement(mServices.failureDomain)
  , mRandom(std::random_device{}())
  , mOpen(std::make_shared<std::set<Exchange*>>())
{
}

void Ingress::Handle(const std::shared_ptr<HttpSession>& aSession, HttpRequest aRequest)
{
  std::make_shared<Exchange>(*this, aSession, std::move(aRequest))->Start();
}

std::optional<HttpAnswer> Ingress::CheckHead(const HttpRequest& aHead)
{
  const auto routing = mServices.routing();
  RouteMatch match = routing
                       ? MatchRequest(*routing, mServices.names, aHead, mServices.mayAcceptKeys())
                       : RouteMatch{ .refusal = 503, .why = "no-configuration" };
  if (match.refusal == 0 &&
      !MayTake(DeadlineOf(aHead, *match.route, mServices.names, mServices.clock.Now()))) {
    match.refusal = 503;
    match.why = "node-stopping";
  }
  if (match.refusal == 0) {
    return std::nullopt;
  }
  const unsigned status = match.refusal;
  ++mStatusCounts[status];
  HttpAnswer answer = MakeTextAnswer(status, match.why);
  const std::string_view id = HeaderValue(aHead.headers, mServices.names.requestId);
  if (!id.empty()) {
    answer.headers.push_back({ mServices.names.requestId, std::string(id) });
  }
  if (status == 503) {
    answer.headers.push_back({ mServices.names.retryAfter, kRetryAfterSeconds });
  }
  return answer;
}

bool Ingress::MayTake(TimePoint aDeadline) const
{
  return !mStop || mStop->MayTake(mServices.clock.Now(), aDeadline);
}

void Ingress::AnswerOpenRequests()
{
  const std::set<Exchange*> open = *mOpen;
  for (Exchange* it : open) {
    if (mOpen->count(it) != 0) { // answering one exchange may end others
      it->OnNodeExit();
    }
  }
}

const std::string& Ingress::ChooseTargetOf(const TrafficRoute& aRoute)
{
  auto it = mSplitPosition.find(aRoute.name);
  if (it == mSplitPosition.end()) {
    it = mSplitPosition.emplace(aRoute.name, InitialSplitPosition(mRandom())).first;
  }
  return ChooseTarget(aRoute, it->second);
}

std::size_t Ingress::ExpectedAnswerBytes(const std::string& aRoute) const
{
  const auto it = mAnswerBytes.find(aRoute);
  return it != mAnswerBytes.end() ? static_cast<std::size_t>(it->second) : 0;
}

void Ingress::RecordAnswerBytes(const std::string& aRoute, std::size_t aBytes)
{
  constexpr double kWeight = 0.1; // weight of the newest answer
  double& bytes = mAnswerBytes[aRoute];
  bytes += kWeight * (static_cast<double>(aBytes) - bytes);
}

std::string Ingress::MetricsText() const
{
  std::string text = mLatencies.Text();
  for (const auto& [status, n] : mStatusCounts) {
    text +=
      "mw_answers_total{status=\"" + std::to_string(status) + "\"} " + std::to_string(n) + "\n";
  }
  text += "mw_requests_open " + std::to_string(Open()) + "\n";
  return text;
}

} // namespace mustardwinch
