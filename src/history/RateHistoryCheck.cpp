#include "history/RateHistoryCheck.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace mustardwinch {
namespace {

/** Absorbs rounding of sums of tokens. */
constexpr double kTolerance = 1e-6;

double SecondsOf(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

/**
 * Of the admissions while one change was in force. The excess of a window from i to j is
 * (j + 1 - tokens(j)) - (i - tokens(i)), so the worst window begins where the second term is least.
 */
struct RateHistoryCheck::Extreme
{
  double least = std::numeric_limits<double>::infinity();
  std::size_t begin = 0;
  /** Windows that begin and end in this segment, and windows that began in an earlier one. */
  double worstInside = -std::numeric_limits<double>::infinity();
  std::size_t insideBegin = 0;
  std::size_t insideEnd = 0;
  double most = -std::numeric_limits<double>::infinity();
  std::size_t end = 0;
};

RateHistoryCheck::RateHistoryCheck(std::vector<RateLimitChange> aChanges)
  : mChanges(std::move(aChanges))
{
  assert(!mChanges.empty());
}

std::size_t RateHistoryCheck::SegmentOf(TimePoint aTime) const
{
  std::size_t n = 0;
  while (n + 1 < mChanges.size() && mChanges[n + 1].from <= aTime) {
    ++n;
  }
  return n;
}

/** Tokens that accrue from the first change until aTime; negative before. */
double RateHistoryCheck::TokensUntil(TimePoint aTime) const
{
  const std::size_t last = SegmentOf(aTime);
  double tokens = 0;
  for (std::size_t i = 0; i < last; ++i) {
    tokens += mChanges[i].ratePerSecond * SecondsOf(mChanges[i + 1].from - mChanges[i].from);
  }
  return tokens + mChanges[last].ratePerSecond * SecondsOf(aTime - mChanges[last].from);
}

std::vector<RateHistoryCheck::Extreme> RateHistoryCheck::Extremes(
  const std::vector<TimePoint>& aAdmitted) const
{
  std::vector<Extreme> extremes(mChanges.size());
  for (std::size_t i = 0; i < aAdmitted.size(); ++i) {
    Extreme& it = extremes[SegmentOf(aAdmitted[i])];
    const double tokens = TokensUntil(aAdmitted[i]);
    const auto n = static_cast<double>(i);
    if (n - tokens < it.least) {
      it.least = n - tokens;
      it.begin = i;
    }
    if (n + 1 - tokens - it.least > it.worstInside) {
      it.worstInside = n + 1 - tokens - it.least;
      it.insideBegin = it.begin;
      it.insideEnd = i;
    }
    if (n + 1 - tokens > it.most) {
      it.most = n + 1 - tokens;
      it.end = i;
    }
  }
  return extremes;
}

std::optional<RateViolation> RateHistoryCheck::Check(std::vector<TimePoint> aAdmitted) const
{
  std::sort(aAdmitted.begin(), aAdmitted.end());
  const std::vector<Extreme> extremes = Extremes(aAdmitted);
  std::optional<RateViolation> worst;
  double worstExcess = kTolerance;
  const auto note = [&](double aExcess, std::size_t aBegin, std::size_t aEnd) {
    if (aExcess > worstExcess) {
      worstExcess = aExcess;
      const std::size_t admitted = aEnd - aBegin + 1;
      const double allowed = static_cast<double>(admitted) - aExcess;
      worst = RateViolation{ aAdmitted[aBegin], aAdmitted[aEnd], admitted, allowed };
    }
  };
  for (std::size_t i = 0; i < extremes.size(); ++i) {
    const Extreme& first = extremes[i];
    double burst = mChanges[i].burst;
    note(first.worstInside - burst, first.insideBegin, first.insideEnd);
    for (std::size_t j = i + 1; j < extremes.size(); ++j) {
      burst = std::max(burst, mChanges[j].burst);
      note(extremes[j].most - first.least - burst, first.begin, extremes[j].end);
    }
  }
  return worst;
}

} // namespace mustardwinch
