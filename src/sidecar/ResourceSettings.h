#pragma once

#include <cstdint>

namespace mustardwinch {

/** What the VM grants the process. */
struct ResourceSettings
{
  std::uint32_t memoryMb = 0;    //!< the process is killed above it; 0: not known
  std::uint32_t descriptors = 0; //!< open files, sockets among them; 0: not known

  bool operator==(const ResourceSettings&) const = default;
};

} // namespace mustardwinch
