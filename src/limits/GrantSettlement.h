#pragma once

#include "limits/GrantEntry.h"
#include "limits/GrantKey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Report of an ingress to a slice owner on its grants, without a request for tokens. */
struct GrantSettlement
{
  GrantKey ingress; //!< `sequence` is unused
  std::string organisation;
  std::uint32_t slice = 0;
  std::vector<GrantEntry> entries;

  bool operator==(const GrantSettlement&) const = default;
};

} // namespace mustardwinch
