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
 * Chooses at an ingress the upstream for one attempt, and learns from what attempts showed: the
 * better of two random candidates by load, latency, coldness and distance. Bad upstreams and paths
 * are avoided locally as long as the rest can bear the service's floor; below it the load is spread
 * over all. Safe for several threads.
 */
class UpstreamPicker
{
public:
  /** @param aSeed seed of the choices; the same seed and events give the same choices */
  UpstreamPicker(Clock& aClock,
                 const UpstreamDirectory& aDirectory,
                 std::string aFailureDomain,
                 std::uint32_t aSeed = std::random_device{}());

  /**
   * An upstream of the service that takes new work: announced ready, not leaving, in a failure
   * domain that is in, not among aTried.
   *
   * @param aIdempotent whether the request may serve as a trial of an ejected upstream
   */
  std::optional<UpstreamRecord> Pick(const std::string& aService,
                                     const ConfigSnapshot& aConfig,
                                     const std::vector<Address>& aTried,
                                     bool aIdempotent = false);

  /** Reports how the attempt ended. Every pick is reported once. */
  void Report(const UpstreamRecord& aUpstream, const AttemptResult& aResult);

  /**
   * What this ingress saw of upstreams that failed or were slow since the last call, with the gate
   * to send it to (PeerMessage::kGateEvidence). Call every few seconds.
   */
  std::vector<std::pair<Address, UpstreamEvidence>> TakeEvidence();

  /** Upstreams that this ingress avoids now, for status. */
  std::vector<Address> Avoided() const;

private:
  /** What this ingress saw of one upstream. */
  struct Seen
  {
    std::string instance;
    std::uint32_t outstanding = 0;
    double latencyMs = 0; //!< moving average to the first byte; 0: none yet
    Avoidance avoidance;
    UpstreamEvidence evidence; //!< since the last report
    Address gate;
    TimePoint reported{};
  };

  struct Candidate
  {
    const UpstreamRecord* record;
    double weight;
    double weightSum; //!< of this candidate and all before it
  };

  /** The candidates of one service, made anew when something changed or after a short time. */
  struct View
  {
    UpstreamDirectory::List list;
    const ConfigSnapshot* config = nullptr;
    std::uint64_t revision = 0;
    std::uint64_t avoidances = 0;
    TimePoint made{};
    std::vector<Candidate> candidates;
    std::vector<const UpstreamRecord*> ejected;
    double typicalMs = 0; //!< mean latency of the candidates; 0: not known yet
  };

  const View& ViewOf(const std::string& aService, const ConfigSnapshot& aConfig);
  void FillView(View& aView, const std::string& aService, const ConfigSnapshot& aConfig);
  bool IsAvoided(const UpstreamRecord& aRecord) const;
  double WeightOf(const UpstreamRecord& aRecord) const;
  double TypicalLatencyMs(const std::vector<Candidate>& aCandidates) const;
  double CostOf(const View& aView, const Candidate& aCandidate) const;
  const Candidate* Draw(const View& aView, const std::vector<Address>& aTried);
  const UpstreamRecord* DrawTrial(const View& aView, const std::vector<Address>& aTried);
  const UpstreamRecord* Choose(const View& aView,
                               const std::vector<Address>& aTried,
                               bool aIdempotent);
  void NoteEvidence(Seen& aSeen, const UpstreamRecord& aUpstream, const AttemptResult& aResult);
  void RemoveExpired();

  Clock& mClock;
  const UpstreamDirectory& mDirectory;
  const std::string mFailureDomain;
  mutable std::mutex mMutex;
  std::minstd_rand mRandom;
  DomainRamp mDomains;
  PathTracker mPaths;
  std::map<Address, Seen> mSeen;
  std::map<std::string, View> mViews;
  std::uint64_t mAvoidances = 0; //!< grows with each change of what is avoided
  TimePoint mForgotten{};
};

} // namespace mustardwinch
