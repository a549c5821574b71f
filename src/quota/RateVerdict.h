#pragma once

#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** The reply to a request for a token of an organisation's rate. */
struct RateVerdict
{
  enum class Kind : std::uint8_t
  {
    kGranted,
    kExceeded,
    kNotOwner, //!< the node does not grant tokens for this organisation
    kNotYet,   //!< the node is the owner and has only just become it, so it grants no tokens yet
  };

  Kind kind = Kind::kNotOwner;
  Milliseconds wait{ 0 }; //!< with kExceeded: time until the next token is available

  std::string decidedBy; //!< VM that made the decision; empty: the token came from the local share

  /** Whether an owner granted or refused the token. */
  bool IsDecided() const { return kind == Kind::kGranted || kind == Kind::kExceeded; }

  bool operator==(const RateVerdict&) const = default;
};

} // namespace mustardwinch
