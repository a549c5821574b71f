#pragma once

#include "limits/GrantReply.h"
#include "limits/GrantRequest.h"
#include "limits/GrantSettlement.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * The token grants that one ingress holds for one organisation. Decides when to request tokens,
 * from which slice and how many. A grant's lifetime starts when its request was sent and is checked
 * on every spend, so a paused ingress never spends tokens that the owner already counts as expired.
 * Does no I/O and reads no clock.
 */
class GrantCache
{
public:
  enum class Verdict : std::uint8_t
  {
    kWait,        //!< at least one owner has not answered yet
    kExceeded,    //!< every owner reported an empty bucket
    kUnconfirmed, //!< an owner is unreachable
  };

  struct Options
  {
    GrantKey self; //!< key of this process; `sequence` is unused
    unsigned slices = 1;
    double prefetchFromRate = 0; //!< requests per second; below this rate nothing is prefetched
  };

  GrantCache(const Options& aOptions, std::string aOrganisation, unsigned aFirstSlice);

  /** Limits requests to the first aSliceCount slices, which hold the organisation's burst. */
  void SetUsable(unsigned aSliceCount) { mUsable = aSliceCount; }

  /** Records a request in the demand estimate that sizes prefetches. */
  void RecordDemand(TimePoint aNow);

  /** Spends one token of an unexpired grant; false if there is none. */
  bool Spend(TimePoint aNow);

  /**
   * Returns the request to send now, if any.
   *
   * @param aWaiting number of requests that are waiting for a token
   * @param aSequence number for the request; increasing and unique within this process
   */
  std::optional<GrantRequest> NextRequest(unsigned aWaiting,
                                          std::uint64_t aSequence,
                                          TimePoint aNow);

  /** Handle the reply to, or failure of, a request from NextRequest(). Ignore late ones. */
  void OnReply(std::uint64_t aSequence, const GrantReply& aReply, TimePoint aNow);
  void OnFailure(std::uint64_t aSequence, TimePoint aNow);

  /** The verdict on a request that has waited since before sequence aFirstSequence was used. */
  Verdict VerdictFor(std::uint64_t aFirstSequence, TimePoint aNow) const;

  /**
   * Returns a settlement to send without a request: tokens returned after idling, or spent grants
   * of a bucket that needs prompt reports.
   */
  std::optional<GrantSettlement> TakeSettlement(TimePoint aNow);

  /** No tokens, no request in flight and no recent demand. */
  bool IsIdle(TimePoint aNow) const;

  unsigned Tokens(TimePoint aNow) const;

private:
  struct HeldGrant
  {
    std::uint64_t sequence = 0;
    unsigned slice = 0;
    std::uint32_t tokens = 0;
    TimePoint expiry;
    bool settleSoon = false;
  };

  struct InFlight
  {
    std::uint64_t sequence = 0;
    std::uint32_t need = 0;
    TimePoint sent;
  };

  /** State of the owner of one slice. */
  struct Slice
  {
    std::optional<InFlight> inFlight;
    std::uint64_t lastDenied = 0; //!< last request without a grant; 0 after a grant
    TimePoint emptyUntil;
    TimePoint retryAt;
    unsigned failures = 0;                //!< consecutive
    std::vector<std::uint64_t> abandoned; //!< failed requests; late replies are ignored
  };

  void Expire(TimePoint aNow);
  double DemandRate(TimePoint aNow) const;
  std::uint32_t PrefetchTarget(TimePoint aNow) const;
  std::uint32_t UncoveredNeed(unsigned aWaiting, TimePoint aNow) const;
  bool CanRequest(const Slice& aSlice, TimePoint aNow) const;
  std::optional<unsigned> SelectSlice(TimePoint aNow) const;
  std::vector<GrantEntry> TakeEntries(unsigned aSlice);
  Slice* FindInFlight(std::uint64_t aSequence);

  Options mOptions;
  std::string mOrganisation;
  std::vector<Slice> mSlices;
  unsigned mUsable;
  unsigned mFirstSlice; //!< slice to try first, modulo mUsable
  std::vector<HeldGrant> mHeld;
  double mDemand = 0; //!< requests per second, exponentially decaying
  TimePoint mDemandAt;
  TimePoint mPrefetchAt; //!< no prefetch before this time, after an owner had no surplus
};

} // namespace mustardwinch
