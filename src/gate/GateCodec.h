#pragma once

#include "gate/GateRequestHead.h"
#include "gate/GateResponseHead.h"

#include <optional>
#include <string>
#include <string_view>

namespace mustardwinch {

// Wire format (msgpack arrays) of the heads that ingress and gate exchange on a stream. The parsers
// return nullopt on malformed input.

std::string EncodeRequestHead(const GateRequestHead& aHead);
std::optional<GateRequestHead> ParseRequestHead(std::string_view aBytes);

std::string EncodeResponseHead(const GateResponseHead& aHead);
std::optional<GateResponseHead> ParseResponseHead(std::string_view aBytes);

} // namespace mustardwinch
