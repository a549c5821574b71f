#pragma once

#include "http/HttpAnswer.h"
#include "http/HttpRequest.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch::soak {

/**
 * One connection to an upstream. Answers one request after another, and writes any bytes at any
 * time, which the listener of the product does not do. Runs on one event loop.
 */
class WireSession : public std::enable_shared_from_this<WireSession>
{
public:
  enum class End : std::uint8_t
  {
    kClose,
    kReset,
  };

  struct Handlers
  {
    /** A head is in, and the body is not. */
    std::function<void(const std::shared_ptr<WireSession>&, const HttpRequest&)> onHead;
    std::function<void(const std::shared_ptr<WireSession>&, const HttpRequest&)> onRequest;
  };

  WireSession(boost::asio::ip::tcp::socket aSocket, Handlers aHandlers);

  void Start();

  /** Answers the request. Its body is read to the end first if it is not in. */
  void Answer(const HttpAnswer& aAnswer);

  /** Writes bytes that belong to no request. */
  void WriteStray(const std::string& aBytes) { Write(aBytes, {}); }

  /** Writes a part of an answer and ends the connection. */
  void WriteAndEnd(const std::string& aBytes, End aEnd) { Write(aBytes, aEnd); }

  /** Reads nothing for a time. */
  void PauseReading(Milliseconds aTime) { mReadPause = aTime; }

  void Close();

  /** The last answer on this connection, if any. */
  const std::optional<HttpAnswer>& LastAnswer() const { return mLast; }

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void ReadNow();
  void Parse();
  void Write(const std::string& aBytes, std::optional<End> aEnd);
  void Flush();
  void Finish();
  void NewParser();
  HttpRequest Request() const;

  static constexpr std::size_t kReadBytes = 16'384;

  boost::asio::ip::tcp::socket mSocket;
  const Handlers mHandlers;
  std::array<char, kReadBytes> mChunk{};
  std::string mInput;
  std::string mOutput;
  std::string mWriting; //!< bytes that the kernel is taking
  std::optional<Parser> mParser;
  std::optional<HttpAnswer> mLast;
  std::optional<End> mEnd;
  Milliseconds mReadPause{ 0 };
  bool mHeadSeen = false;
  bool mAnswered = false; //!< the request whose body is still read
  bool mBusy = false;
  bool mClosed = false;
};

} // namespace mustardwinch::soak
