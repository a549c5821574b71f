#include "membership/Freshness.h"

namespace mustardwinch {

const char* NameOf(Freshness aFreshness)
{
  switch (aFreshness) {
    case Freshness::kConfirmed:
      return "confirmed";
    case Freshness::kPlatformUnreachable:
      return "platform-away";
    case Freshness::kIsolated:
      break;
  }
  return "isolated";
}

} // namespace mustardwinch
