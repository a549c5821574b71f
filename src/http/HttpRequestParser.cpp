#include "http/HttpRequestParser.h"

#include "http/MemoryBudget.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace http = boost::beast::http;

namespace {

HttpRequestParser::State StateOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return HttpRequestParser::State::kHeadTooLarge;
  }
  if (aError == http::error::body_limit) {
    return HttpRequestParser::State::kBodyTooLarge;
  }
  return HttpRequestParser::State::kMalformed;
}

HttpRequest HeadOf(const http::request<http::string_body>& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  for (const auto& it : aMessage) {
    request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
  }
  return request;
}

} // namespace

HttpRequestParser::HttpRequestParser(const HttpLimits& aLimits)
{
  mParser.eager(true);
  mParser.header_limit(static_cast<std::uint32_t>(aLimits.maxHeaderBytes));
  mParser.body_limit(aLimits.maxBodyBytes);
}

HttpRequestParser::State HttpRequestParser::Put(std::string& aInput)
{
  while (!mParser.is_done()) {
    boost::system::error_code ec;
    const std::size_t used = mParser.put(boost::asio::buffer(aInput), ec);
    aInput.erase(0, used);
    if (ec == http::error::need_more) {
      return State::kNeedsMore;
    }
    if (ec) {
      return StateOf(ec);
    }
    if (used == 0 || aInput.empty()) {
      break;
    }
  }
  return mParser.is_done() ? State::kDone : State::kNeedsMore;
}

bool HttpRequestParser::ExpectsContinue() const
{
  const auto it = mParser.get().find(http::field::expect);
  return it != mParser.get().end() && boost::beast::iequals(it->value(), "100-continue");
}

HttpRequest HttpRequestParser::Head() const
{
  return HeadOf(mParser.get());
}

std::size_t HttpRequestParser::AnnouncedBytes() const
{
  const auto length = mParser.content_length();
  const bool isLarge = length && *length > MemoryBudget::kSmallHolding;
  return isLarge ? static_cast<std::size_t>(*length) : 0;
}

/** A field takes an entry here and two strings in the request, however short it is. */
std::size_t HttpRequestParser::HeadBytes() const
{
  constexpr std::size_t kFieldBytes = 160;
  std::size_t n = mParser.get().target().size();
  for (const auto& it : mParser.get()) {
    n += kFieldBytes + it.name_string().size() + it.value().size();
  }
  return n;
}

std::size_t HttpRequestParser::HeldBytes(std::size_t aReserved) const
{
  return HeadDone() ? HeadBytes() + std::max(aReserved, mParser.get().body().size()) : 0;
}

HttpRequest HttpRequestParser::Take()
{
  auto message = mParser.release();
  HttpRequest request = HeadOf(message);
  request.body = std::move(message.body());
  return request;
}

} // namespace mustardwinch
