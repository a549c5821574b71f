#pragma once

#include "config/ConfigSnapshot.h"
#include "health/AttemptResult.h"
#include "health/DomainRamp.h"
#include "health/PathTracker.h"
#include "health/UpstreamEvidence.h"
#include "membership/UpstreamDirectory.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch {

/**
 * Load balancer at an ingress: picks the upstream for each attempt as the better of two random
 * candidates ("power of two choices") by outstanding requests, latency, cold start and failure
 * domain, and learns from the results. Failing upstreams and paths are avoided by this ingress as
 * long as the rest meets the service's capacity floor; below it, all upstreams get load. Thread
 * safe.
 */
class UpstreamPicker
{
public:
  /** @param aSeed random seed; the same seed and events give the same picks */
  UpstreamPicker(Clock& aClock,
                 const UpstreamDirectory& aDirectory,
                 std::string aFailureDomain,
                 std::uint32_t aSeed = std::random_device{}());

  /**
   * Picks an upstream of the service that takes new work: ready, not leaving, in a failure domain
   * that is in service and not in aTried. Returns nullopt if there is none.
   *
   * @param aIdempotent whether the request may be used as a trial of an ejected upstream
   */
  std::optional<UpstreamRecord> Pick(const std::string& aService,
                                     const ConfigSnapshot& aConfig,
                                     const std::vector<Address>& aTried,
                                     bool aIdempotent = false);

  /** Records the result of an attempt. Call exactly once for each pick. */
  void Report(const UpstreamRecord& aUpstream, const AttemptResult& aResult);

  /**
   * Returns and resets the evidence on upstreams that failed or were slow since the last call, each
   * with the gate to send it to (PeerMessage::kGateEvidence). Call every few seconds.
   */
  std::vector<std::pair<Address, UpstreamEvidence>> TakeEvidence();

  /** Upstreams that this ingress avoids now because they failed or refused requests, for status. */
  std::vector<Address> AvoidedUpstreams() const;

private:
  /** This ingress's statistics of one upstream. */
  struct UpstreamStats
  {
    std::string instance;
    std::uint32_t outstanding = 0;
    double latencyMs = 0; //!< moving average of the time to the first byte; 0: no sample yet
    FailureBackoff backoff;
    UpstreamEvidence evidence; //!< since the last TakeEvidence()
    Address gate;
    TimePoint lastReport{};
  };

  struct Candidate
  {
    const UpstreamRecord* record;
    double weight;
    double weightSum; //!< cumulative, including this candidate
  };

  /** Cached candidates of one service, rebuilt on a change or when kViewMaxAge has passed. */
  struct View
  {
    UpstreamDirectory::List list;
    const ConfigSnapshot* config = nullptr;
    std::uint64_t revision = 0;
    std::uint64_t avoidanceChanges = 0;
    TimePoint createdAt{};
    std::vector<Candidate> candidates;
    std::vector<const UpstreamRecord*> ejected;
    double meanLatencyMs = 0; //!< mean latency of the candidates; 0: unknown
  };

  const View& ViewOf(const std::string& aService, const ConfigSnapshot& aConfig);
  void FillView(View& aView, const std::string& aService, const ConfigSnapshot& aConfig);
  bool IsAvoided(const UpstreamRecord& aRecord) const;
  double WeightOf(const UpstreamRecord& aRecord) const;
  double MeanLatencyMs(const std::vector<Candidate>& aCandidates) const;
  double CostOf(const View& aView, const Candidate& aCandidate) const;
  const Candidate* DrawCandidate(const View& aView, const std::vector<Address>& aTried);
  const UpstreamRecord* DrawTrial(const View& aView, const std::vector<Address>& aTried);
  const UpstreamRecord* Choose(const View& aView,
                               const std::vector<Address>& aTried,
                               bool aIdempotent);
  void RecordEvidence(UpstreamStats& aStats,
                      const UpstreamRecord& aUpstream,
                      const AttemptResult& aResult);
  void RemoveExpired();

  Clock& mClock;
  const UpstreamDirectory& mDirectory;
  const std::string mFailureDomain;
  mutable std::mutex mMutex;
  std::minstd_rand mRandom;
  DomainRamp mDomains;
  PathTracker mPaths;
  std::map<Address, UpstreamStats> mStats;
  std::map<std::string, View> mViews;
  /** Incremented whenever an upstream or path starts or stops being avoided. */
  std::uint64_t mAvoidanceChanges = 0;
  TimePoint mLastExpiry{};
};

} // namespace mustardwinch
