#include "health/EvidenceTable.h"

namespace mustardwinch {
namespace {

constexpr Seconds kEvidenceLifetime{ 15 };
constexpr std::uint32_t kLeastFailures = 2;
constexpr std::uint32_t kLeastSlowAnswers = 3;
constexpr double kLeastSlowShare = 0.3;
constexpr int kFailedProbes = 2;

/** In a large fleet one ingress sees little of one upstream, so all reports count together. */
bool Agrees(const UpstreamEvidence& aSum, EjectionReason aReason)
{
  if (aReason == EjectionReason::kSlow) {
    return aSum.slowAnswers >= kLeastSlowAnswers &&
           aSum.slowAnswers >= kLeastSlowShare * aSum.attempts;
  }
  return aSum.failures >= kLeastFailures;
}

} // namespace

void EvidenceTable::Report(const Address& aObserver,
                           const UpstreamEvidence& aEvidence,
                           TimePoint aNow)
{
  mUpstreams[aEvidence.upstream].reports[aObserver] = { aEvidence, aNow };
}

void EvidenceTable::ReportProbe(const Address& aUpstream, bool aGood)
{
  int& failed = mUpstreams[aUpstream].failedProbes;
  failed = aGood ? 0 : failed + 1;
}

bool EvidenceTable::Confirms(const Address& aUpstream, EjectionReason aReason, TimePoint aNow) const
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return false;
  }
  UpstreamEvidence sum{ aUpstream };
  for (const auto& [observer, report] : it->second.reports) {
    if (aNow - report.at < kEvidenceLifetime) {
      sum.attempts += report.evidence.attempts;
      sum.failures += report.evidence.failures;
      sum.slowAnswers += report.evidence.slowAnswers;
    }
  }
  return Agrees(sum, aReason) || it->second.failedProbes >= kFailedProbes;
}

void EvidenceTable::RemoveExpired(TimePoint aNow)
{
  for (auto& [address, upstream] : mUpstreams) {
    std::erase_if(upstream.reports,
                  [&](const auto& aEntry) { return aNow - aEntry.second.at >= kEvidenceLifetime; });
  }
  std::erase_if(mUpstreams, [](const auto& aEntry) {
    return aEntry.second.reports.empty() && aEntry.second.failedProbes == 0;
  });
}

} // namespace mustardwinch
