#pragma once

#include "mustardwinch/Organisation.h"

#include <cstdint>

namespace mustardwinch {

/** A part of an organisation's rate and burst. */
struct RateShare
{
  double ratePerSecond = 0;
  std::uint32_t burst = 0; //!< whole tokens

  bool operator==(const RateShare&) const = default;
};

/**
 * Returns the share of an organisation's rate and burst in one slice. The shares of all slices add
 * up to the whole. If the burst is smaller than the number of slices, the last slices have no
 * share.
 */
RateShare ShareOfSlice(const Organisation& aOrganisation, unsigned aSlice, unsigned aSlices);

} // namespace mustardwinch
