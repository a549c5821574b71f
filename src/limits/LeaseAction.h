#pragma once

#include "limits/LeaseRecord.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardwinch {

/** Read the lease object and pass the result to OnRead(). */
struct LeaseRead
{
  bool operator==(const LeaseRead&) const = default;
};

/** Write the lease object if it has the expected version, and pass the result to OnWritten(). */
struct LeaseWrite
{
  LeaseRecord record;
  std::uint64_t expectedVersion = 0; //!< 0: the object must not exist yet
  std::string operation;

  bool operator==(const LeaseWrite&) const = default;
};

/** The next platform call that LeaseState requests; monostate for none. */
using LeaseAction = std::variant<std::monostate, LeaseRead, LeaseWrite>;

} // namespace mustardwinch
