#pragma once

#include "limits/GrantEntry.h"
#include "limits/GrantKey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Request of an ingress to a slice owner for tokens of an organisation. */
struct GrantRequest
{
  GrantKey key; //!< of the new grant; unchanged when the request is resent
  std::string organisation;
  std::uint32_t slice = 0;
  std::uint32_t need = 0;          //!< number of requests waiting for a token
  std::uint32_t prefetch = 0;      //!< further tokens to keep in stock
  std::vector<GrantEntry> entries; //!< reports on earlier grants of this slice

  bool operator==(const GrantRequest&) const = default;
};

} // namespace mustardwinch
