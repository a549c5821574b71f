#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstdint>

namespace mustardwinch {

/** The owner's answer to a GrantRequest. */
struct GrantReply
{
  enum class Kind : std::uint8_t
  {
    kGranted,
    kEmpty,    //!< the owner holds the slice and has no token now
    kNotOwner, //!< this node may not grant; `holder` may be able to
  };

  Kind kind = Kind::kNotOwner;
  std::uint32_t tokens = 0;
  Milliseconds lifetime{ 0 };   //!< of the grant, counted from when the ingress sent its request
  Milliseconds retryAfter{ 0 }; //!< kEmpty: the time until the next token
  bool settleSoon = false;      //!< report spent tokens at once: the bucket is small for its grants
  Address holder;               //!< kNotOwner: current lease holder, if known

  bool operator==(const GrantReply&) const = default;
};

} // namespace mustardwinch
