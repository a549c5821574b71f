#pragma once

#include "http/HttpAnswer.h"
#include "http/HttpLimits.h"
#include "http/HttpRequest.h"
#include "http/MemoryBudget.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

class HttpRequestParser;
class HttpListener;

/**
 * One connection of a caller. Reads all the time, so that a caller that leaves is seen at once, and
 * handles one request at a time. What it holds for the caller counts against the listener's memory;
 * while that is used up, nothing more is read. Runs on the thread of its event loop.
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

  /** Ends connections that are idle or make no progress. Called a few times a second. */
  void CheckTimeouts(TimePoint aNow);

  /** Tries again to read after the memory was used up, and refuses the request if it lasts. */
  void RetryRead(TimePoint aNow);

  /** Closes the connection without an answer, tells nobody, and leaves the listener. */
  void Detach();

  /** Ends the connection for want of memory; a request that is not read whole is refused. */
  void Evict();

  bool IsBusy() const { return mBusy; }
  bool IsClosed() const { return mClosed; }

  /** Waits for memory before it reads on. */
  bool IsStarved() const { return mStarved && !mClosed; }

  /** A part of a request has been read, and its rest is awaited. */
  bool IsReceiving() const { return mBegun && !mBusy && !mClosed; }

  /** A part of an answer has not been handed to the kernel yet. */
  bool IsSending() const { return !mClosed && (mWriting || !mOutput.empty()); }

  /** When the last byte was read or written. */
  TimePoint LastProgress() const { return mProgress; }
  std::size_t HeldBytes() const { return mHolding.Bytes(); }

private:
  void Read();
  void OnReadable(const boost::system::error_code& aError);
  void Parse();
  bool AdmitBody();
  void Dispatch();
  void Refuse(unsigned aStatus, const std::string& aText);
  void RefuseForMemory();
  void Write(const std::string& aBytes);
  void Flush();
  void WriteSome();
  void OnWritten();
  std::size_t CountHeld() const;
  bool MayRead();
  void Leave();
  void Close();

  static constexpr std::size_t kReadBytes = 16'384;
  static constexpr std::size_t kMaxAheadBytes = 16'384; //!< read of a next request while one runs

  Socket mSocket;
  HttpListener* mListener; //!< null once the listener is gone
  MemoryHolding mHolding;
  std::string mInput;
  std::string mOutput;
  std::string mSending; //!< is being written
  std::size_t mSent = 0;
  std::unique_ptr<HttpRequestParser> mParser;
  std::function<void()> mGone;
  std::shared_ptr<HttpSession> mWaitingSelf; //!< while it waits for memory, no operation holds it
  TimePoint mSince{};             //!< begin of the wait for a request, or of its first byte
  TimePoint mProgress{};          //!< last byte in either direction
  TimePoint mStarvedSince{};      //!< valid while mStarved
  std::size_t mRequestBytes = 0;  //!< of the request that is handled
  std::size_t mReservedBytes = 0; //!< of a body whose length was announced
  bool mBegun = false;
  bool mBusy = false;
  bool mReading = false;
  bool mWriting = false;
  bool mStarved = false;
  bool mAdmitted = false; //!< the head was checked, the body may be read
  bool mClosing = false;  //!< close after the answer
  bool mClosed = false;
  bool mContinued = false;
  bool mHead = false; //!< the request that is handled is a HEAD
};

} // namespace mustardwinch
