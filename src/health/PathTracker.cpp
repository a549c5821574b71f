#include "health/PathTracker.h"

namespace mustardwinch {

FaultSource FaultSourceOf(const AttemptResult& aResult)
{
  if (aResult.pathFailed) {
    return FaultSource::kPath;
  }
  switch (aResult.code) {
    case ResultCode::kLinkDown:
    case ResultCode::kLinkTimeout:
    case ResultCode::kLinkBadFrame:
    case ResultCode::kStreamReset:
      return FaultSource::kPath;
    case ResultCode::kUpstreamFailed:
    case ResultCode::kAnswerCut:
    case ResultCode::kDeadlineAfterSend:
    case ResultCode::kGateConnectFailed:
      return FaultSource::kUpstream;
    default:
      return FaultSource::kNone;
  }
}

void PathTracker::Report(const Address& aGate, const AttemptResult& aResult, TimePoint aNow)
{
  if (FaultSourceOf(aResult) == FaultSource::kPath) {
    mPaths[aGate].OnFailure(aNow);
    return;
  }
  const auto it = mPaths.find(aGate);
  if (it != mPaths.end()) {
    it->second.OnSuccess(aNow); // any response from the gate shows that the path works
  }
}

bool PathTracker::IsAvoided(const Address& aGate, TimePoint aNow) const
{
  const auto it = mPaths.find(aGate);
  return it != mPaths.end() && it->second.IsActive(aNow);
}

} // namespace mustardwinch
