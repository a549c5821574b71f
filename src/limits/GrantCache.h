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
 * The grants of one organisation at one ingress, and the decision when to ask which slice for how
 * many. A grant's life is counted from when its request was sent, and checked at the moment of
 * spending, so an ingress that was paused spends nothing that the owner counts as gone. Pure.
 */
class GrantCache
{
public:
  enum class Verdict : std::uint8_t
  {
    kWait,        //!< not every owner has answered yet
    kExceeded,    //!< every owner said that there is no token
    kUnconfirmed, //!< an owner cannot be asked
  };

  struct Options
  {
    GrantKey self; //!< of this process; the sequence is not used
    unsigned slices = 1;
    double prefetchFromRate = 0; //!< requests a second; below, tokens are asked for one by one
  };

  GrantCache(const Options& aOptions, std::string aOrganisation, unsigned aFirstSlice);

  /** Which slices hold a part of the organisation's burst. */
  void SetUsable(unsigned aSliceCount) { mUsable = aSliceCount; }

  /** Counts a request for the size of prefetches. */
  void RecordDemand(TimePoint aNow);

  /** Takes a token of a live grant. */
  bool Spend(TimePoint aNow);

  /**
   * The request to send now, if any.
   *
   * @param aWaiting requests that wait for a token
   * @param aSequence number for the request, growing, never used before by this process
   */
  std::optional<GrantRequest> NextRequest(unsigned aWaiting,
                                          std::uint64_t aSequence,
                                          TimePoint aNow);

  /** Answers and failures of a request that NextAsk() gave; late ones are ignored. */
  void OnReply(std::uint64_t aSequence, const GrantReply& aReply, TimePoint aNow);
  void OnFailure(std::uint64_t aSequence, TimePoint aNow);

  /** For a request that waits since before the sequence aTicket was used. */
  Verdict Judge(std::uint64_t aFirstSequence, TimePoint aNow) const;

  /** What the owner should hear although nothing is asked: tokens given back, small buckets. */
  std::optional<GrantSettlement> TakeSettlement(TimePoint aNow);

  /** Holds nothing, asks nothing, and has seen no demand for a while. */
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

  /** What is known of one slice's owner. */
  struct Slice
  {
    std::optional<InFlight> inFlight;
    std::uint64_t lastUnsuccessful =
      0; //!< last request that brought no token; 0 after one that did
    TimePoint emptyUntil;
    TimePoint retryAt;
    unsigned failures = 0;                //!< in a row
    std::vector<std::uint64_t> abandoned; //!< requests whose replies will be ignored
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
  unsigned mFirstSlice; //!< slice to ask first, modulo the usable ones
  std::vector<HeldGrant> mHeld;
  double mDemand = 0; //!< requests a second, decaying
  TimePoint mDemandAt;
  TimePoint mPrefetchAt; //!< no prefetch before: the owner had no surplus
};

} // namespace mustardwinch
