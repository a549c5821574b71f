#pragma once

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Whether a failure domain takes new work. Resource kind "failuredomain", named as the domain. */
struct FailureDomainState
{
  enum class State : std::uint8_t
  {
    kIn,
    kOut,
  };

  std::string name;
  State state = State::kIn;
  std::uint32_t rampMs = 30'000; //!< time from return to full load

  bool operator==(const FailureDomainState&) const = default;
};

} // namespace mustardwinch
