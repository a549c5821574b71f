#pragma once

#include "limits/GrantReply.h"
#include "limits/GrantRequest.h"
#include "limits/GrantSettlement.h"
#include "limits/LeaseNotice.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardwinch {

/** Any rate limiting message between nodes, except replies. */
using GrantMessage = std::variant<GrantRequest, GrantSettlement, LeaseNotice>;

std::string EncodeGrantMessage(const GrantMessage& aMessage);
std::string EncodeGrantReply(const GrantReply& aReply);

/** Return nullopt if the bytes are malformed or a field is out of range. */
std::optional<GrantMessage> DecodeGrantMessage(std::string_view aBytes);
std::optional<GrantReply> DecodeGrantReply(std::string_view aBytes);

} // namespace mustardwinch
