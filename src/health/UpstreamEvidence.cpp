#include "health/UpstreamEvidence.h"

#include "link/UnpackBytes.h"

#include <tuple>

namespace mustardwinch {
namespace {

using Wire = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint32_t, std::uint32_t>;

} // namespace

std::string UpstreamEvidence::Encode() const
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, Wire(upstream.ip, upstream.port, attempts, failures, slowResponses));
  return { buf.data(), buf.size() };
}

std::optional<UpstreamEvidence> UpstreamEvidence::Decode(std::string_view aPayload)
{
  const auto wire = UnpackTuple<Wire>(aPayload);
  if (!wire) {
    return std::nullopt;
  }
  UpstreamEvidence evidence;
  std::tie(evidence.upstream.ip,
           evidence.upstream.port,
           evidence.attempts,
           evidence.failures,
           evidence.slowResponses) = *wire;
  return evidence;
}

} // namespace mustardwinch
