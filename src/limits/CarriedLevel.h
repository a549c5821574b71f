#pragma once

#include <string>

namespace mustardwinch {

/** Token bucket state of one organisation that a released lease passes to the next holder. */
struct CarriedLevel
{
  std::string organisation;
  double level = 0;
  double outstanding = 0; //!< tokens granted and not yet known to be spent or expired

  bool operator==(const CarriedLevel&) const = default;
};

} // namespace mustardwinch
