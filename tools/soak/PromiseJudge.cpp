#include "soak/PromiseJudge.h"

#include "http/HttpText.h"
#include "platform/PlatformNames.h"

#include <algorithm>
#include <csignal>

namespace mustardwinch::soak {
namespace {

/** A calm node may close so many kept connections under a request, over a whole run. */
constexpr std::uint32_t kToleratedCuts = 3;

/** In the last sixth of the grace a stopping node may cut what its upstream still works on. */
constexpr double kCutFreeShare = 5.0 / 6;

constexpr std::size_t kBodyBytes = 3'000; //!< more than one read

/** A program that is still being loaded cannot catch a signal, and has taken no request. */
constexpr Milliseconds kLoadTime{ 100 };
constexpr int kEndedByStopSignal = 128 + SIGTERM;

bool IsNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool IsDenial(unsigned aStatus)
{
  return aStatus == 401 || aStatus == 403 || aStatus == 404;
}

/** Counts the times of the last window. */
std::size_t CountWindow(std::deque<TimePoint>& aTimes, TimePoint aNow, Duration aWindow)
{
  aTimes.push_back(aNow);
  while (aNow - aTimes.front() >= aWindow) {
    aTimes.pop_front();
  }
  return aTimes.size();
}

} // namespace

std::string BodyFor(const std::string& aId)
{
  std::string body = "answer to " + aId;
  body.resize(kBodyBytes, '.');
  return body;
}

std::string SignatureFor(const std::string& aId, const std::string& aInstance)
{
  return aInstance + "/" + aId;
}

void PromiseJudge::Break(const std::string& aPromise, const std::string& aDetail, TimePoint aNow)
{
  const auto ms = std::chrono::duration_cast<Milliseconds>(aNow.time_since_epoch()).count();
  mViolations.push_back(aPromise + " at " + std::to_string(ms) + " ms: " + aDetail);
}

bool PromiseJudge::IsCalm(std::size_t aNode, TimePoint aNow) const
{
  const auto it = mNodeFaultUntil.find(aNode);
  return it == mNodeFaultUntil.end() || aNow > it->second + mBounds.contact;
}

bool PromiseJudge::IsStoreCalm(TimePoint aNow) const
{
  return aNow > mStoreFaultUntil + mBounds.contact;
}

void PromiseJudge::OnNodeFault(std::size_t aNode, TimePoint aUntil)
{
  mNodeFaultUntil[aNode] = std::max(mNodeFaultUntil[aNode], aUntil);
}

void PromiseJudge::OnStoreFault(TimePoint aUntil)
{
  mStoreFaultUntil = std::max(mStoreFaultUntil, aUntil);
}

void PromiseJudge::OnStopSignal(std::size_t aNode, TimePoint aNow)
{
  mStopSignal[aNode] = aNow;
}

void PromiseJudge::OnNodeStart(std::size_t aNode, TimePoint aNow)
{
  ++mIncarnation[aNode];
  mStarted[aNode] = aNow;
  mStopSignal.erase(aNode);
  OnNodeFault(aNode, aNow);
}

void PromiseJudge::OnExit(std::size_t aNode, int aCode, TimePoint aNow)
{
  const auto stop = mStopSignal.find(aNode);
  const bool stopped = stop != mStopSignal.end();
  const bool loading = stopped && stop->second - mStarted[aNode] < kLoadTime;
  if (stopped && (aCode == 0 || (aCode == kEndedByStopSignal && loading))) {
    return;
  }
  Break("own end", "node " + std::to_string(aNode) + " ended with " + std::to_string(aCode), aNow);
}

void PromiseJudge::OnRate(const std::string& aOrganisation, double aPerSecond, double aBurst)
{
  mRates[aOrganisation] = { aPerSecond, aBurst, {} };
}

void PromiseJudge::OnKeyWithdrawn(const std::string& aKey, TimePoint aNow)
{
  mWithdrawn[aKey] = aNow;
}

void PromiseJudge::OnKeyAdded(const std::string& aKey, TimePoint aNow)
{
  mKeyAdded[aKey] = aNow;
}

void PromiseJudge::OnRouteAdded(const std::string& aRoute, TimePoint aNow)
{
  mRouteAdded[aRoute] = aNow;
}

void PromiseJudge::OnEvacuated(const std::string& aFailureDomain, bool aOut, TimePoint aNow)
{
  if (aOut) {
    mEvacuated[aFailureDomain] = aNow;
  } else {
    mEvacuated.erase(aFailureDomain);
  }
}

void PromiseJudge::OnLeaveAcknowledged(const std::string& aInstance, TimePoint aNow)
{
  mLeaving.try_emplace(aInstance, aNow);
}

void PromiseJudge::OnColdStart(const std::string& aInstance,
                               TimePoint aColdUntil,
                               double aPerSecond)
{
  mCold[aInstance] = { aColdUntil, aPerSecond, {} };
}

void PromiseJudge::OnSent(const SoakRequest& aRequest, TimePoint aNow)
{
  Request& request = mRequests[aRequest.id];
  request.sent = aRequest;
  request.at = aNow;
}

void PromiseJudge::OnRun(const SoakRunBegin& aRun, TimePoint aNow)
{
  const auto it = mRequests.find(aRun.id);
  if (it == mRequests.end()) {
    Break("unasked", aRun.id + " ran and nobody sent it", aNow);
    return;
  }
  Request& request = it->second;
  ++mRuns;
  ++request.runs;
  request.instances.insert(aRun.instance);
  CheckAtMostOnce(request, aNow);
  CheckHeaders(request, aRun, aNow);
  CheckPlace(request, aRun, aNow);
  CheckKey(request, aNow);
  CheckRate(request.sent.organisation, aNow);
  CheckCold(aRun.instance, aNow);
}

void PromiseJudge::CheckAtMostOnce(const Request& aRequest, TimePoint aNow)
{
  if (aRequest.sent.idempotent) {
    return;
  }
  if (aRequest.runs > 1) {
    Break("at most once", aRequest.sent.id + " ran again", aNow);
  }
  if (aRequest.refused) {
    Break("not run", aRequest.sent.id + " ran after it was refused as not run", aNow);
  }
}

void PromiseJudge::CheckHeaders(const Request& aRequest, const SoakRunBegin& aRun, TimePoint aNow)
{
  if (aRun.keySeen) {
    Break("key kept", aRun.id + " brought a key to " + aRun.instance, aNow);
  }
  if (aRun.organisation != aRequest.sent.organisation) {
    Break("own organisation", aRun.id + " ran for '" + aRun.organisation + "'", aNow);
  }
  if (aRun.service != aRequest.sent.service) {
    Break("route", aRun.id + " ran at " + aRun.service, aNow);
  }
  if (aRun.bodyBytes != aRequest.sent.bodyBytes) {
    Break(
      "whole request", aRun.id + " ran with " + std::to_string(aRun.bodyBytes) + " bytes", aNow);
  }
}

void PromiseJudge::CheckPlace(const Request& aRequest, const SoakRunBegin& aRun, TimePoint aNow)
{
  if (!IsCalm(aRun.node, aNow) || !IsCalm(aRequest.sent.node, aNow)) {
    return;
  }
  const auto leaving = mLeaving.find(aRun.instance);
  if (leaving != mLeaving.end() && aNow > leaving->second + mBounds.drain) {
    Break("leaving upstream", aRun.id + " reached " + aRun.instance, aNow);
  }
  const auto out = mEvacuated.find(aRun.failureDomain);
  if (out != mEvacuated.end() && IsStoreCalm(aNow) && aNow > out->second + mBounds.evacuate) {
    Break("failure domain out", aRun.id + " reached " + aRun.instance, aNow);
  }
}

void PromiseJudge::CheckKey(const Request& aRequest, TimePoint aNow)
{
  const SoakRequest& sent = aRequest.sent;
  const auto refused = mKeyRefused.find({ sent.node, sent.key });
  if (refused != mKeyRefused.end() && refused->second.first == mIncarnation[sent.node] &&
      aRequest.at > refused->second.second) {
    Break("no way back", sent.id + " ran with a key that the same process had refused", aNow);
  }
  const auto withdrawn = mWithdrawn.find(sent.key);
  const bool calm = IsCalm(sent.node, aNow) && IsStoreCalm(aNow);
  if (withdrawn != mWithdrawn.end() && calm &&
      aRequest.at > withdrawn->second + mBounds.configApply) {
    Break("withdrawn key", sent.id + " ran with it", aNow);
  }
}

void PromiseJudge::CheckRate(const std::string& aOrganisation, TimePoint aNow)
{
  const auto it = mRates.find(aOrganisation);
  if (it == mRates.end()) {
    return;
  }
  Rate& rate = it->second;
  const double seconds = std::chrono::duration<double>(mBounds.rateWindow).count();
  const double allowed =
    (rate.perSecond * seconds + rate.burst) * (1 + mBounds.rateOver) + mBounds.rateSlack;
  const std::size_t n = CountWindow(rate.runs, aNow, mBounds.rateWindow);
  if (static_cast<double>(n) > allowed) {
    Break("rate and burst", aOrganisation + ": " + std::to_string(n) + " runs", aNow);
    rate.runs.clear(); // one line for one excess
  }
}

void PromiseJudge::CheckCold(const std::string& aInstance, TimePoint aNow)
{
  const auto it = mCold.find(aInstance);
  if (it == mCold.end() || aNow > it->second.until) {
    return;
  }
  const std::size_t n = CountWindow(it->second.starts, aNow, Seconds(1));
  if (static_cast<double>(n) > it->second.perSecond * mBounds.coldOver + mBounds.coldSlack) {
    Break("cold upstream", aInstance + ": " + std::to_string(n) + " starts in a second", aNow);
    it->second.starts.clear();
  }
}

void PromiseJudge::OnAnswer(const std::string& aId, const HttpAnswer& aAnswer, TimePoint aNow)
{
  Request& request = mRequests[aId];
  if (std::exchange(request.ended, true)) {
    Break("own answer", aId + " was answered twice", aNow);
  }
  const HttpNames names = platform::MakeHttpNames();
  const std::string_view echoed = HeaderValue(aAnswer.headers, names.requestId);
  if (!echoed.empty() && echoed != aId) {
    Break("own answer", aId + " got the answer to " + std::string(echoed), aNow);
  }
  const SoakRequest& sent = request.sent;
  if (aAnswer.status >= 200 && aAnswer.status < 300) {
    CheckSuccess(request, aAnswer, aNow);
  }
  if (IsNotRun(aAnswer.status)) {
    request.refused = true;
    if (!sent.idempotent && request.runs > 0) {
      Break("not run", aId + " got " + std::to_string(aAnswer.status) + " and had run", aNow);
    }
  }
  if (!sent.addedRoute.empty()) {
    CheckAddedRoute(request, aAnswer.status, aNow);
  } else if (IsDenial(aAnswer.status)) {
    CheckDenial(request, aAnswer.status, aNow);
  }
}

/** An older configuration, without what was added, may still be in force. */
bool PromiseJudge::IsAddedLately(const std::map<std::string, TimePoint>& aAdded,
                                 const std::string& aName,
                                 const Request& aRequest,
                                 TimePoint aNow) const
{
  const auto added = aAdded.find(aName);
  if (added == aAdded.end()) {
    return false;
  }
  const bool calm = IsCalm(aRequest.sent.node, aNow) && IsStoreCalm(aRequest.at);
  return !calm || aRequest.at <= added->second + mBounds.configApply;
}

void PromiseJudge::CheckDenial(const Request& aRequest, unsigned aStatus, TimePoint aNow)
{
  const SoakRequest& sent = aRequest.sent;
  if (IsAddedLately(mKeyAdded, sent.key, aRequest, aNow)) {
    return;
  }
  mKeyRefused.try_emplace({ sent.node, sent.key }, mIncarnation[sent.node], aNow);
  if (mWithdrawn.count(sent.key) == 0) {
    Break("denied", sent.id + " got " + std::to_string(aStatus) + " with a good key", aNow);
  }
}

void PromiseJudge::CheckAddedRoute(const Request& aRequest, unsigned aStatus, TimePoint aNow)
{
  const SoakRequest& sent = aRequest.sent;
  std::uint64_t& known = mRouteKnown[{ sent.node, sent.addedRoute }];
  if (aStatus == 200) { // others may come from a node that has no configuration
    known = mIncarnation[sent.node];
  }
  if (!IsDenial(aStatus)) {
    return;
  }
  const std::string detail = sent.id + " got " + std::to_string(aStatus) + " on " +
                             sent.addedRoute + " at node " + std::to_string(sent.node);
  if (known != 0 && known == mIncarnation[sent.node]) {
    Break("no way back", detail, aNow);
  } else if (!IsAddedLately(mRouteAdded, sent.addedRoute, aRequest, aNow)) {
    Break("confirmed route", detail, aNow);
  }
}

void PromiseJudge::CheckSuccess(const Request& aRequest, const HttpAnswer& aAnswer, TimePoint aNow)
{
  const std::string& id = aRequest.sent.id;
  const std::string_view signature =
    HeaderValue(aAnswer.headers, platform::MakeHttpNames().signature);
  const bool own = std::any_of(
    aRequest.instances.begin(), aRequest.instances.end(), [&](const std::string& aInstance) {
      return signature == SignatureFor(id, aInstance);
    });
  if (!own || aAnswer.body != BodyFor(id)) {
    Break("whole answer", id + " got " + std::to_string(aAnswer.body.size()) + " bytes", aNow);
  }
}

void PromiseJudge::OnCut(const std::string& aId, TimePoint aNow)
{
  Request& request = mRequests[aId];
  request.ended = true;
  const std::size_t node = request.sent.node;
  if (!IsCalm(node, aNow)) {
    return;
  }
  const auto stop = mStopSignal.find(node);
  if (stop != mStopSignal.end()) {
    const auto free =
      stop->second + std::chrono::duration_cast<Duration>(mBounds.grace * kCutFreeShare);
    if (aNow < free && (request.runs > 0 || aNow > request.at + mBounds.lossSlack)) {
      Break("planned stop", aId + " was cut by node " + std::to_string(node), aNow);
    }
    return;
  }
  if (request.runs > 0 && ++mCuts[node] > kToleratedCuts) {
    Break("kept connection", aId + " was cut by calm node " + std::to_string(node), aNow);
  }
}

} // namespace mustardwinch::soak
