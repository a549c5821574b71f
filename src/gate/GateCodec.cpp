#include "gate/GateCodec.h"

#include "link/UnpackBytes.h"

#include <msgpack.hpp>

#include <tuple>
#include <utility>
#include <vector>

namespace mustardwinch {
namespace {

using WireHeader = std::pair<std::string, std::string>;
using WireHeaders = std::vector<WireHeader>;
using WireRequest = std::tuple<std::string,
                               std::uint32_t,
                               std::uint16_t,
                               std::string,
                               std::string,
                               std::string,
                               std::string,
                               WireHeaders,
                               std::uint32_t,
                               bool,
                               bool,
                               std::int64_t>;
using WireResponse = std::tuple<int, WireHeaders, std::int64_t>;

WireHeaders ToWire(const HttpHeaders& aHeaders)
{
  WireHeaders wire;
  wire.reserve(aHeaders.size());
  for (const HttpHeader& it : aHeaders) {
    wire.emplace_back(it.name, it.value);
  }
  return wire;
}

HttpHeaders FromWire(WireHeaders aWire)
{
  HttpHeaders headers;
  headers.reserve(aWire.size());
  for (WireHeader& it : aWire) {
    headers.push_back({ std::move(it.first), std::move(it.second) });
  }
  return headers;
}

template<typename Wire>
std::string Pack(const Wire& aWire)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aWire);
  return { buf.data(), buf.size() };
}

} // namespace

std::string EncodeRequestHead(const GateRequestHead& aHead)
{
  return Pack(WireRequest{ aHead.service,
                           aHead.upstream.ip,
                           aHead.upstream.port,
                           aHead.organisation,
                           aHead.requestId,
                           aHead.method,
                           aHead.target,
                           ToWire(aHead.headers),
                           aHead.deadlineMs,
                           aHead.idempotent,
                           aHead.hasBody,
                           aHead.bodyLength });
}

std::optional<GateRequestHead> ParseRequestHead(std::string_view aBytes)
{
  auto wire = UnpackTuple<WireRequest>(aBytes);
  if (!wire) {
    return std::nullopt;
  }
  GateRequestHead head;
  WireHeaders headers;
  std::tie(head.service,
           head.upstream.ip,
           head.upstream.port,
           head.organisation,
           head.requestId,
           head.method,
           head.target,
           headers,
           head.deadlineMs,
           head.idempotent,
           head.hasBody,
           head.bodyLength) = std::move(*wire);
  head.headers = FromWire(std::move(headers));
  return head;
}

std::string EncodeResponseHead(const GateResponseHead& aHead)
{
  return Pack(WireResponse{ aHead.status, ToWire(aHead.headers), aHead.bodyLength });
}

std::optional<GateResponseHead> ParseResponseHead(std::string_view aBytes)
{
  auto wire = UnpackTuple<WireResponse>(aBytes);
  if (!wire) {
    return std::nullopt;
  }
  GateResponseHead head;
  WireHeaders headers;
  std::tie(head.status, headers, head.bodyLength) = std::move(*wire);
  head.headers = FromWire(std::move(headers));
  return head;
}

} // namespace mustardwinch
