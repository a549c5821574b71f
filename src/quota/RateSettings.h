#pragma once

namespace mustardwinch {

/** Overruns of the organisations' rates that operators tolerate. */
struct RateSettings
{
  double slack = 0; //!< requests per organisation within a few seconds beyond rate and burst

  bool operator==(const RateSettings&) const = default;
};

} // namespace mustardwinch
