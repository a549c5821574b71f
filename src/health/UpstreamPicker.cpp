#include "health/UpstreamPicker.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Milliseconds kViewMaxAge{ 200 };
constexpr Milliseconds kRefusalHold{ 200 };
constexpr Seconds kStatsLifetime{ 120 };
constexpr double kColdWeight = 0.25;
constexpr double kRemoteDomainCost = 1.1;
constexpr double kLatencyGain = 0.1;
constexpr double kNormalLatencyRatio = 1.5;   // normal spread among healthy upstreams
constexpr double kFailureLatencyFactor = 1.5; // a fast failure must not look like a fast upstream
constexpr double kMaxLatencyMs = 10'000;
constexpr double kTrialShare = 0.01;
constexpr int kMaxDraws = 8;
constexpr double kSlowFactor = 2;
constexpr double kSlowMarginMs = 5;

bool Contains(const std::vector<Address>& aList, const Address& aAddress)
{
  return std::find(aList.begin(), aList.end(), aAddress) != aList.end();
}

bool TakesNewWork(const UpstreamRecord& aRecord, const ConfigSnapshot& aConfig)
{
  return aRecord.state == UpstreamState::kReady && !aConfig.IsLeaving(aRecord.upstream) &&
         !aConfig.IsFailureDomainOut(aRecord.failureDomain);
}

bool IsRefusal(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::kGateQueueFull:
    case ResultCode::kGateUpstreamUnknown:
    case ResultCode::kGateDraining:
    case ResultCode::kGateEjected:
    case ResultCode::kGateShed:
    case ResultCode::kNodeStopping:
      return true;
    default:
      return false;
  }
}

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

UpstreamPicker::UpstreamPicker(Clock& aClock,
                               const UpstreamDirectory& aDirectory,
                               std::string aFailureDomain,
                               std::uint32_t aSeed)
  : mClock(aClock)
  , mDirectory(aDirectory)
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aSeed)
{
}

bool UpstreamPicker::IsAvoided(const UpstreamRecord& aRecord) const
{
  const TimePoint now = mClock.Now();
  const auto it = mStats.find(aRecord.upstream);
  const bool upstreamAvoided = it != mStats.end() && it->second.backoff.IsActive(now);
  return upstreamAvoided || mPaths.IsAvoided(aRecord.gate, now);
}

double UpstreamPicker::WeightOf(const UpstreamRecord& aRecord) const
{
  const double slots = std::max<std::uint32_t>(1, aRecord.slots);
  const double ramp = mDomains.LoadShare(aRecord.failureDomain, mClock.Now());
  return slots * ramp * (aRecord.cold ? kColdWeight : 1.0);
}

const UpstreamPicker::View& UpstreamPicker::ViewOf(const std::string& aService,
                                                   const ConfigSnapshot& aConfig)
{
  const TimePoint now = mClock.Now();
  mDomains.Observe(aConfig, now);
  View& view = mViews[aService];
  UpstreamDirectory::List list = mDirectory.Of(aService);
  const bool sameConfig = view.config == &aConfig && view.revision == aConfig.Revision();
  const bool fresh =
    now - view.createdAt < kViewMaxAge && view.avoidanceChanges == mAvoidanceChanges;
  if (sameConfig && fresh && view.list == list) {
    return view;
  }
  view = View{ std::move(list), &aConfig, aConfig.Revision(), mAvoidanceChanges, now, {}, {}, 0 };
  FillView(view, aService, aConfig);
  return view;
}

void UpstreamPicker::FillView(View& aView,
                              const std::string& aService,
                              const ConfigSnapshot& aConfig)
{
  std::vector<const UpstreamRecord*> preferred;
  std::vector<const UpstreamRecord*> all;
  std::uint32_t preferredSlots = 0;
  for (const UpstreamRecord& it : *aView.list) {
    if (!TakesNewWork(it, aConfig)) {
      continue;
    }
    all.push_back(&it);
    if (it.ejected) {
      aView.ejected.push_back(&it);
    } else if (!IsAvoided(it)) {
      preferred.push_back(&it);
      preferredSlots += it.cold ? 0 : it.slots;
    }
  }
  // Panic mode: below the floor, avoidance would overload the rest, so all upstreams get load.
  const bool panic = preferred.empty() || preferredSlots < aConfig.FloorOf(aService);
  double sum = 0;
  for (const UpstreamRecord* it : panic ? all : preferred) {
    const double weight = WeightOf(*it);
    sum += weight;
    aView.candidates.push_back({ it, weight, sum });
  }
  aView.meanLatencyMs = MeanLatencyMs(aView.candidates);
}

double UpstreamPicker::MeanLatencyMs(const std::vector<Candidate>& aCandidates) const
{
  double sum = 0;
  int n = 0;
  for (const Candidate& candidate : aCandidates) {
    const auto it = mStats.find(candidate.record->upstream);
    if (it != mStats.end() && it->second.latencyMs > 0) {
      sum += it->second.latencyMs;
      ++n;
    }
  }
  return n == 0 ? 0 : sum / n;
}

double UpstreamPicker::CostOf(const View& aView, const Candidate& aCandidate) const
{
  // The load published in the record is not used: it lags, so all ingresses would send to the same
  // upstream at once.
  const UpstreamRecord& record = *aCandidate.record;
  double outstanding = 0;
  double slowness = 1;
  const auto it = mStats.find(record.upstream);
  if (it != mStats.end()) {
    outstanding = it->second.outstanding;
    if (aView.meanLatencyMs > 0) {
      slowness = std::max(1.0, it->second.latencyMs / aView.meanLatencyMs / kNormalLatencyRatio);
    }
  }
  const double distance = record.failureDomain == mFailureDomain ? 1.0 : kRemoteDomainCost;
  return slowness * distance * (outstanding + 1) / aCandidate.weight;
}

const UpstreamPicker::Candidate* UpstreamPicker::DrawCandidate(const View& aView,
                                                               const std::vector<Address>& aTried)
{
  if (aView.candidates.empty()) {
    return nullptr;
  }
  std::uniform_real_distribution<double> point(0, aView.candidates.back().weightSum);
  for (int i = 0; i < kMaxDraws; ++i) {
    const double drawn = point(mRandom);
    const auto it = std::upper_bound(
      aView.candidates.begin(),
      std::prev(aView.candidates.end()),
      drawn,
      [](double aPoint, const Candidate& aCandidate) { return aPoint < aCandidate.weightSum; });
    if (!Contains(aTried, it->record->upstream)) {
      return &*it;
    }
  }
  const auto it = std::find_if(
    aView.candidates.begin(), aView.candidates.end(), [&](const Candidate& aCandidate) {
      return !Contains(aTried, aCandidate.record->upstream);
    });
  return it == aView.candidates.end() ? nullptr : &*it;
}

const UpstreamRecord* UpstreamPicker::DrawTrial(const View& aView,
                                                const std::vector<Address>& aTried)
{
  if (aView.ejected.empty() || std::uniform_real_distribution<>(0, 1)(mRandom) >= kTrialShare) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> index(0, aView.ejected.size() - 1);
  const UpstreamRecord* it = aView.ejected[index(mRandom)];
  return Contains(aTried, it->upstream) || IsAvoided(*it) ? nullptr : it;
}

const UpstreamRecord* UpstreamPicker::Choose(const View& aView,
                                             const std::vector<Address>& aTried,
                                             bool aIdempotent)
{
  if (aIdempotent && aTried.empty()) {
    if (const UpstreamRecord* trial = DrawTrial(aView, aTried)) {
      return trial;
    }
  }
  const Candidate* first = DrawCandidate(aView, aTried);
  const Candidate* second = DrawCandidate(aView, aTried);
  if (first == nullptr) {
    return nullptr;
  }
  return CostOf(aView, *first) <= CostOf(aView, *second) ? first->record : second->record;
}

std::optional<UpstreamRecord> UpstreamPicker::Pick(const std::string& aService,
                                                   const ConfigSnapshot& aConfig,
                                                   const std::vector<Address>& aTried,
                                                   bool aIdempotent)
{
  std::lock_guard lock(mMutex);
  const UpstreamRecord* record = Choose(ViewOf(aService, aConfig), aTried, aIdempotent);
  if (record == nullptr) {
    return std::nullopt;
  }
  UpstreamStats& stats = mStats[record->upstream];
  if (stats.instance != record->instance) {
    // The statistics of a restarted upstream start over, but attempts on the old instance still
    // run.
    const std::uint32_t outstanding = stats.outstanding;
    stats = UpstreamStats{};
    stats.instance = record->instance;
    stats.outstanding = outstanding;
    stats.lastReport = mClock.Now();
  }
  ++stats.outstanding;
  return *record;
}

void UpstreamPicker::Report(const UpstreamRecord& aUpstream, const AttemptResult& aResult)
{
  std::lock_guard lock(mMutex);
  const TimePoint now = mClock.Now();
  UpstreamStats& stats = mStats[aUpstream.upstream];
  stats.lastReport = now;
  stats.outstanding -= stats.outstanding > 0 ? 1 : 0;
  const bool pathAvoided = mPaths.IsAvoided(aUpstream.gate, now);
  mPaths.Report(aUpstream.gate, aResult, now);
  bool changed = pathAvoided != mPaths.IsAvoided(aUpstream.gate, now);
  if (stats.instance == aUpstream.instance) {
    const bool avoided = stats.backoff.IsActive(now);
    RecordEvidence(stats, aUpstream, aResult);
    // No response on a pooled connection may mean a stale connection and does not count.
    const bool pooledFailure = aResult.pooledConnection && aResult.status == 0;
    if (IsRefusal(aResult.code)) {
      stats.backoff.HoldFor(now, kRefusalHold);
    } else if (FaultSourceOf(aResult) == FaultSource::kUpstream && !pooledFailure) {
      stats.backoff.OnFailure(now);
      const double base = std::max(stats.latencyMs, ToMilliseconds(aResult.total));
      stats.latencyMs = std::min(base * kFailureLatencyFactor, kMaxLatencyMs);
    } else if (aResult.code == ResultCode::kOk) {
      stats.backoff.OnSuccess(now);
      const double sample = ToMilliseconds(aResult.firstByte);
      stats.latencyMs += stats.latencyMs == 0 ? sample : kLatencyGain * (sample - stats.latencyMs);
    }
    changed = changed || avoided != stats.backoff.IsActive(now);
  }
  mAvoidanceChanges += changed ? 1 : 0;
  RemoveExpired();
}

void UpstreamPicker::RecordEvidence(UpstreamStats& aStats,
                                    const UpstreamRecord& aUpstream,
                                    const AttemptResult& aResult)
{
  const bool failed = FaultSourceOf(aResult) == FaultSource::kUpstream;
  if (!failed && aResult.code != ResultCode::kOk) {
    return;
  }
  const auto view = mViews.find(aUpstream.service);
  const double meanMs = view == mViews.end() ? 0 : view->second.meanLatencyMs;
  const double latency = ToMilliseconds(aResult.firstByte);
  const bool slow = !failed && meanMs > 0 && latency > kSlowFactor * meanMs + kSlowMarginMs;
  aStats.gate = aUpstream.gate;
  aStats.evidence.upstream = aUpstream.upstream;
  ++aStats.evidence.attempts;
  aStats.evidence.failures += failed ? 1 : 0;
  aStats.evidence.slowResponses += slow ? 1 : 0;
}

std::vector<std::pair<Address, UpstreamEvidence>> UpstreamPicker::TakeEvidence()
{
  std::lock_guard lock(mMutex);
  std::vector<std::pair<Address, UpstreamEvidence>> reports;
  for (auto& [address, stats] : mStats) {
    if (stats.evidence.failures + stats.evidence.slowResponses > 0) {
      reports.emplace_back(stats.gate, stats.evidence);
    }
    stats.evidence = {};
  }
  return reports;
}

void UpstreamPicker::RemoveExpired()
{
  const TimePoint now = mClock.Now();
  if (now - mLastExpiry < kStatsLifetime) {
    return;
  }
  mLastExpiry = now;
  std::erase_if(mStats, [&](const auto& aEntry) {
    return aEntry.second.outstanding == 0 && now - aEntry.second.lastReport > kStatsLifetime;
  });
}

std::vector<Address> UpstreamPicker::AvoidedUpstreams() const
{
  std::lock_guard lock(mMutex);
  std::vector<Address> avoided;
  for (const auto& [address, stats] : mStats) {
    if (stats.backoff.IsActive(mClock.Now())) {
      avoided.push_back(address);
    }
  }
  return avoided;
}

} // namespace mustardwinch
