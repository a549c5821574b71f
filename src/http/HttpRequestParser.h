#pragma once

#include "http/HttpLimits.h"
#include "http/HttpRequest.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Reads one request from bytes that arrive piece by piece. */
class HttpRequestParser
{
public:
  enum class State : std::uint8_t
  {
    kNeedsMore,
    kDone,
    kMalformed,
    kHeadTooLarge,
    kBodyTooLarge,
  };

  explicit HttpRequestParser(const HttpLimits& aLimits);

  /** Takes what it can use from the front of aInput. */
  State Put(std::string& aInput);

  bool HeadDone() const { return mParser.is_header_done(); }
  bool ExpectsContinue() const;
  bool KeepAlive() const { return mParser.get().keep_alive(); }

  /** The request without its body; valid after HeadDone(). */
  HttpRequest Head() const;

  /** Length of the body as the head tells it; 0 if it does not, or if the body is short. */
  std::size_t AnnouncedBytes() const;

  /** Memory that the parsed part takes. @param aReserved bytes that a body takes at least */
  std::size_t HeldBytes(std::size_t aReserved) const;

  /** The request; valid after kDone, once. */
  HttpRequest Take();

private:
  std::size_t HeadBytes() const;

  boost::beast::http::request_parser<boost::beast::http::string_body> mParser;
};

} // namespace mustardwinch
