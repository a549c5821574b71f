#include "health/UpstreamPicker.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Milliseconds kViewLifetime{ 200 };
constexpr Milliseconds kRefusalHold{ 200 };
constexpr Seconds kForgetAfter{ 120 };
constexpr double kColdWeight = 0.25;
constexpr double kRemoteCost = 1.1;
constexpr double kLatencyGain = 0.1;
constexpr double kUsualSpread = 1.5;          // of latency between healthy upstreams
constexpr double kFailureLatencyFactor = 1.5; // a quick failure must not look like a fast upstream
constexpr double kMostLatencyMs = 10'000;
constexpr double kTrialShare = 0.01;
constexpr int kDrawTries = 8;
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
  const auto it = mSeen.find(aRecord.upstream);
  const bool upstreamAvoided = it != mSeen.end() && it->second.avoidance.IsActive(now);
  return upstreamAvoided || mPaths.IsAvoided(aRecord.gate, now);
}

double UpstreamPicker::WeightOf(const UpstreamRecord& aRecord) const
{
  const double slots = std::max<std::uint32_t>(1, aRecord.slots);
  const double ramp = mDomains.ShareOf(aRecord.failureDomain, mClock.Now());
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
  const bool fresh = now - view.made < kViewLifetime && view.avoidances == mAvoidances;
  if (sameConfig && fresh && view.list == list) {
    return view;
  }
  view = View{ std::move(list), &aConfig, aConfig.Revision(), mAvoidances, now, {}, {}, 0 };
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
  // Below the floor avoidance would overload the rest, so the load is spread over all.
  const bool panic = preferred.empty() || preferredSlots < aConfig.FloorOf(aService);
  double sum = 0;
  for (const UpstreamRecord* it : panic ? all : preferred) {
    const double weight = WeightOf(*it);
    sum += weight;
    aView.candidates.push_back({ it, weight, sum });
  }
  aView.typicalMs = TypicalLatencyMs(aView.candidates);
}

double UpstreamPicker::TypicalLatencyMs(const std::vector<Candidate>& aCandidates) const
{
  double sum = 0;
  int n = 0;
  for (const Candidate& candidate : aCandidates) {
    const auto it = mSeen.find(candidate.record->upstream);
    if (it != mSeen.end() && it->second.latencyMs > 0) {
      sum += it->second.latencyMs;
      ++n;
    }
  }
  return n == 0 ? 0 : sum / n;
}

double UpstreamPicker::CostOf(const View& aView, const Candidate& aCandidate) const
{
  // The load in the record is left out: it lags, and all ingresses would run after the same
  // upstream.
  const UpstreamRecord& record = *aCandidate.record;
  double outstanding = 0;
  double slowness = 1;
  const auto it = mSeen.find(record.upstream);
  if (it != mSeen.end()) {
    outstanding = it->second.outstanding;
    if (aView.typicalMs > 0) {
      slowness = std::max(1.0, it->second.latencyMs / aView.typicalMs / kUsualSpread);
    }
  }
  const double distance = record.failureDomain == mFailureDomain ? 1.0 : kRemoteCost;
  return slowness * distance * (outstanding + 1) / aCandidate.weight;
}

const UpstreamPicker::Candidate* UpstreamPicker::Draw(const View& aView,
                                                      const std::vector<Address>& aTried)
{
  if (aView.candidates.empty()) {
    return nullptr;
  }
  std::uniform_real_distribution<double> point(0, aView.candidates.back().weightSum);
  for (int i = 0; i < kDrawTries; ++i) {
    const double drawn = point(mRandom);
    const auto it = std::upper_bound(
      aView.candidates.begin(),
      std::prev(aView.candidates.end()),
      drawn,
      [](double aPoint, const Candidate& aOne) { return aPoint < aOne.weightSum; });
    if (!Contains(aTried, it->record->upstream)) {
      return &*it;
    }
  }
  const auto it =
    std::find_if(aView.candidates.begin(), aView.candidates.end(), [&](const Candidate& aOne) {
      return !Contains(aTried, aOne.record->upstream);
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
  const Candidate* first = Draw(aView, aTried);
  const Candidate* second = Draw(aView, aTried);
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
  Seen& seen = mSeen[record->upstream];
  if (seen.instance != record->instance) {
    // A restarted upstream starts with a clean record; attempts on the old one still run.
    const std::uint32_t outstanding = seen.outstanding;
    seen = Seen{};
    seen.instance = record->instance;
    seen.outstanding = outstanding;
    seen.reported = mClock.Now();
  }
  ++seen.outstanding;
  return *record;
}

void UpstreamPicker::Report(const UpstreamRecord& aUpstream, const AttemptResult& aResult)
{
  std::lock_guard lock(mMutex);
  const TimePoint now = mClock.Now();
  Seen& seen = mSeen[aUpstream.upstream];
  seen.reported = now;
  seen.outstanding -= seen.outstanding > 0 ? 1 : 0;
  const bool pathAvoided = mPaths.IsAvoided(aUpstream.gate, now);
  mPaths.Report(aUpstream.gate, aResult, now);
  bool changed = pathAvoided != mPaths.IsAvoided(aUpstream.gate, now);
  if (seen.instance == aUpstream.instance) {
    const bool avoided = seen.avoidance.IsActive(now);
    NoteEvidence(seen, aUpstream, aResult);
    // A pooled connection that went silent says nothing of the upstream.
    const bool poolFault = aResult.pooledConnection && aResult.status == 0;
    if (IsRefusal(aResult.code)) {
      seen.avoidance.Refuse(now, kRefusalHold);
    } else if (BlameOf(aResult) == Blame::kUpstream && !poolFault) {
      seen.avoidance.Fail(now);
      const double base = std::max(seen.latencyMs, ToMilliseconds(aResult.total));
      seen.latencyMs = std::min(base * kFailureLatencyFactor, kMostLatencyMs);
    } else if (aResult.code == ResultCode::kOk) {
      seen.avoidance.Succeed(now);
      const double sample = ToMilliseconds(aResult.firstByte);
      seen.latencyMs += seen.latencyMs == 0 ? sample : kLatencyGain * (sample - seen.latencyMs);
    }
    changed = changed || avoided != seen.avoidance.IsActive(now);
  }
  mAvoidances += changed ? 1 : 0;
  RemoveExpired();
}

void UpstreamPicker::NoteEvidence(Seen& aSeen,
                                  const UpstreamRecord& aUpstream,
                                  const AttemptResult& aResult)
{
  const bool failed = BlameOf(aResult) == Blame::kUpstream;
  if (!failed && aResult.code != ResultCode::kOk) {
    return;
  }
  const auto view = mViews.find(aUpstream.service);
  const double typical = view == mViews.end() ? 0 : view->second.typicalMs;
  const double latency = ToMilliseconds(aResult.firstByte);
  const bool slow = !failed && typical > 0 && latency > kSlowFactor * typical + kSlowMarginMs;
  aSeen.gate = aUpstream.gate;
  aSeen.evidence.upstream = aUpstream.upstream;
  ++aSeen.evidence.attempts;
  aSeen.evidence.failures += failed ? 1 : 0;
  aSeen.evidence.slowAnswers += slow ? 1 : 0;
}

std::vector<std::pair<Address, UpstreamEvidence>> UpstreamPicker::TakeEvidence()
{
  std::lock_guard lock(mMutex);
  std::vector<std::pair<Address, UpstreamEvidence>> reports;
  for (auto& [address, seen] : mSeen) {
    if (seen.evidence.failures + seen.evidence.slowAnswers > 0) {
      reports.emplace_back(seen.gate, seen.evidence);
    }
    seen.evidence = {};
  }
  return reports;
}

void UpstreamPicker::RemoveExpired()
{
  const TimePoint now = mClock.Now();
  if (now - mForgotten < kForgetAfter) {
    return;
  }
  mForgotten = now;
  std::erase_if(mSeen, [&](const auto& aEntry) {
    return aEntry.second.outstanding == 0 && now - aEntry.second.reported > kForgetAfter;
  });
}

std::vector<Address> UpstreamPicker::Avoided() const
{
  std::lock_guard lock(mMutex);
  std::vector<Address> avoided;
  for (const auto& [address, seen] : mSeen) {
    if (seen.avoidance.IsActive(mClock.Now())) {
      avoided.push_back(address);
    }
  }
  return avoided;
}

} // namespace mustardwinch
