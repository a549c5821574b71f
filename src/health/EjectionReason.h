#pragma once

#include <cstdint>
#include <string_view>

namespace mustardwinch {

/** Why an upstream is, or should be, ejected. */
enum class EjectionReason : std::uint8_t
{
  kNone,
  kFailing, //!< failed requests and incomplete responses
  kSlow,    //!< much slower than its peers
};

/** Name used in platform objects and in status: "none", "failing" or "slow". */
constexpr std::string_view NameOf(EjectionReason aReason)
{
  switch (aReason) {
    case EjectionReason::kFailing:
      return "failing";
    case EjectionReason::kSlow:
      return "slow";
    case EjectionReason::kNone:
      break;
  }
  return "none";
}

constexpr EjectionReason EjectionReasonFromName(std::string_view aName)
{
  if (aName == NameOf(EjectionReason::kFailing)) {
    return EjectionReason::kFailing;
  }
  if (aName == NameOf(EjectionReason::kSlow)) {
    return EjectionReason::kSlow;
  }
  return EjectionReason::kNone;
}

} // namespace mustardwinch
