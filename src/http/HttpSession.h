#pragma once

#include "http/HttpAnswer.h"
#include "http/HttpLimits.h"
#include "http/HttpRequest.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

class HttpRequestParser;
class HttpListener;

/**
 * One connection of a caller. Reads all the time, so that a caller that leaves is seen at once, and
 * handles one request at a time. Runs on the thread of its event loop.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Handler = std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>;

  HttpSession(Socket aSocket, HttpListener& aListener);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();

  /** Sends the answer of the request that is handled. Ignored if the caller has left. */
  void Answer(const HttpAnswer& aAnswer);

  /** Called once if the caller leaves before its request is answered. */
  void OnGone(std::function<void()> aGone) { mGone = std::move(aGone); }

  /** Ends connections that are idle or send too slowly. Called a few times a second. */
  void CheckTimeouts(TimePoint aNow);

  /** Closes the connection without an answer, tells nobody, and leaves the listener. */
  void Detach();

  bool IsBusy() const { return mBusy; }

  /** A part of a request has been read, and its rest is awaited. */
  bool IsReceiving() const { return mBegun && !mBusy && !mClosed; }

  /** A part of an answer has not been handed to the kernel yet. */
  bool IsSending() const { return !mClosed && (mWriting || !mOutput.empty()); }

private:
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aCount);
  void Parse();
  void Dispatch();
  void Refuse(unsigned aStatus, const std::string& aText);
  void Write(const std::string& aBytes);
  void Flush();
  void OnWritten(const boost::system::error_code& aError);
  void Leave();
  void Close();

  static constexpr std::size_t kReadBytes = 16'384;
  static constexpr std::size_t kMaxAheadBytes = 65'536; //!< read of a next request while one runs

  Socket mSocket;
  HttpListener* mListener; //!< null once the listener is gone
  std::array<char, kReadBytes> mChunk{};
  std::string mInput;
  std::string mOutput;
  std::unique_ptr<HttpRequestParser> mParser;
  std::function<void()> mGone;
  TimePoint mSince{}; //!< begin of the wait for a request, or of its first byte
  bool mBegun = false;
  bool mBusy = false;
  bool mReading = false;
  bool mWriting = false;
  bool mClosing = false; //!< close after the answer
  bool mClosed = false;
  bool mContinued = false;
  bool mHead = false; //!< the request that is handled is a HEAD
};

} // namespace mustardwinch
