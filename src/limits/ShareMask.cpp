#include "limits/ShareMask.h"

#include "limits/LeaseTerms.h"

#include <bit>

namespace mustardwinch {
namespace {

/** Tokens of the units below aUnit, rounded up so that the first unit gets the first token. */
std::uint64_t TokensBelow(std::uint64_t aBurst, unsigned aUnit)
{
  return (aBurst * aUnit + ShareMask::kUnits - 1) / ShareMask::kUnits;
}

} // namespace

ShareMask ShareMask::TailPart(unsigned aEighths) const
{
  const auto units = static_cast<unsigned>(std::popcount(mBits));
  unsigned left = (units * aEighths + LeaseTerms::kEighths - 1) / LeaseTerms::kEighths;
  std::uint16_t bits = 0;
  for (unsigned unit = 0; unit < kUnits && left > 0; ++unit) {
    if ((mBits >> unit & 1) != 0) {
      bits = static_cast<std::uint16_t>(bits | 1U << unit);
      --left;
    }
  }
  return ShareMask(bits);
}

RateShare ShareMask::PartOf(const RateShare& aSlice) const
{
  std::uint64_t burst = 0;
  for (unsigned unit = 0; unit < kUnits; ++unit) {
    if ((mBits >> unit & 1) != 0) {
      burst += TokensBelow(aSlice.burst, unit + 1) - TokensBelow(aSlice.burst, unit);
    }
  }
  const double part = static_cast<double>(std::popcount(mBits)) / kUnits;
  return { aSlice.ratePerSecond * part, static_cast<std::uint32_t>(burst) };
}

} // namespace mustardwinch
