#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mustardwinch {

/** What a check says of a history. */
struct Verdict
{
  std::string invariant;
  std::size_t judged = 0;            //!< records that the check could have found wrong
  std::vector<std::string> offences; //!< one line each

  /** Whether the invariant held. One that had nothing to judge holds, and `judged` says so. */
  bool Holds() const { return offences.empty(); }

  bool operator==(const Verdict&) const = default;
};

} // namespace mustardwinch
