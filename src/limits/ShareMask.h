#pragma once

#include "limits/RateShare.h"

#include <compare>
#include <cstdint>

namespace mustardwinch {

/**
 * A bit mask of the units of a slice that a holder may use. Disjoint masks stand for disjoint
 * tokens: for any burst, the bursts of disjoint masks never add up to more than the burst of their
 * union.
 */
class ShareMask
{
public:
  static constexpr unsigned kUnits = 16;

  constexpr ShareMask() = default;
  constexpr explicit ShareMask(std::uint16_t aBits)
    : mBits(aBits)
  {
  }

  static constexpr ShareMask Whole() { return ShareMask(0xFFFF); }

  constexpr std::uint16_t Bits() const { return mBits; }
  constexpr bool IsEmpty() const { return mBits == 0; }
  constexpr ShareMask Without(ShareMask aOther) const { return ShareMask(mBits & ~aOther.mBits); }
  constexpr ShareMask With(ShareMask aOther) const { return ShareMask(mBits | aOther.mBits); }

  /** The lowest aEighths/8 of the units, rounded up; a holder keeps these for the tail term. */
  ShareMask TailPart(unsigned aEighths) const;

  /** The part of a slice's rate and burst that these units represent. */
  RateShare PartOf(const RateShare& aSlice) const;

  auto operator<=>(const ShareMask&) const = default;

private:
  std::uint16_t mBits = 0;
};

} // namespace mustardwinch
