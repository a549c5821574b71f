#include "health/EvidenceTable.h"

namespace mustardwinch {
namespace {

constexpr Seconds kEvidenceLifetime{ 15 };
constexpr std::uint32_t kMinFailures = 2;
constexpr std::uint32_t kMinSlowResponses = 3;
constexpr double kMinSlowShare = 0.3;
constexpr int kMinFailedProbes = 2;

/**
 * Whether the summed reports of all ingresses support the reason. In a large fleet a single ingress
 * sends too few requests to one upstream, so the reports are summed.
 */
bool Supports(const UpstreamEvidence& aSum, EjectionReason aReason)
{
  if (aReason == EjectionReason::kSlow) {
    return aSum.slowResponses >= kMinSlowResponses &&
           aSum.slowResponses >= kMinSlowShare * aSum.attempts;
  }
  return aSum.failures >= kMinFailures;
}

} // namespace

void EvidenceTable::Report(const Address& aObserver,
                           const UpstreamEvidence& aEvidence,
                           TimePoint aNow)
{
  mUpstreams[aEvidence.upstream].reports[aObserver] = { aEvidence, aNow };
}

void EvidenceTable::ReportProbe(const Address& aUpstream, bool aSucceeded)
{
  int& failed = mUpstreams[aUpstream].failedProbes;
  failed = aSucceeded ? 0 : failed + 1;
}

bool EvidenceTable::Confirms(const Address& aUpstream, EjectionReason aReason, TimePoint aNow) const
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return false;
  }
  UpstreamEvidence sum{ aUpstream };
  for (const auto& [observer, report] : it->second.reports) {
    if (aNow - report.receivedAt < kEvidenceLifetime) {
      sum.attempts += report.evidence.attempts;
      sum.failures += report.evidence.failures;
      sum.slowResponses += report.evidence.slowResponses;
    }
  }
  return Supports(sum, aReason) || it->second.failedProbes >= kMinFailedProbes;
}

void EvidenceTable::RemoveExpired(TimePoint aNow)
{
  for (auto& [address, upstream] : mUpstreams) {
    std::erase_if(upstream.reports, [&](const auto& aEntry) {
      return aNow - aEntry.second.receivedAt >= kEvidenceLifetime;
    });
  }
  std::erase_if(mUpstreams, [](const auto& aEntry) {
    return aEntry.second.reports.empty() && aEntry.second.failedProbes == 0;
  });
}

} // namespace mustardwinch
