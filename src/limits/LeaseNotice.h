#pragma once

#include <cstdint>

namespace mustardwinch {

/** Notice of a holder to the preferred owner of a slice that the lease has been released. */
struct LeaseNotice
{
  std::uint32_t shard = 0;
  std::uint32_t slice = 0;

  bool operator==(const LeaseNotice&) const = default;
};

} // namespace mustardwinch
