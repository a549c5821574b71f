#include "limits/RateShare.h"

#include <algorithm>
#include <cassert>

namespace mustardwinch {

RateShare ShareOfSlice(const Organisation& aOrganisation, unsigned aSlice, unsigned aSlices)
{
  assert(aSlice < aSlices);
  const unsigned used = std::min(aSlices, aOrganisation.burst);
  if (aSlice >= used) {
    return {};
  }
  const std::uint32_t extra = aSlice < aOrganisation.burst % used ? 1 : 0;
  return { aOrganisation.ratePerSecond / used, aOrganisation.burst / used + extra };
}

} // namespace mustardwinch
