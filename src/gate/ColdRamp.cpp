#include "gate/ColdRamp.h"

#include <algorithm>

namespace mustardwinch {

double ColdRamp::Limit(std::uint32_t aSlots, TimePoint aNow) const
{
  const double slots = std::max<std::uint32_t>(1, aSlots);
  if (IsOver(aNow)) {
    return slots;
  }
  const double elapsed = static_cast<double>(std::max(Duration::zero(), aNow - mStart).count());
  return 1 + (slots - 1) * elapsed / static_cast<double>(mLength.count());
}

} // namespace mustardwinch
