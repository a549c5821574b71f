#include "http/HttpSession.h"

#include "base/ReleaseText.h"
#include "http/HttpListener.h"
#include "http/HttpRequestParser.h"
#include "http/HttpText.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace mustardwinch {
namespace {

constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/** A request that waits longer than this for memory is refused. */
constexpr Milliseconds kMaxStarvation{ 1'500 };

/** Counted for the next read before it is known how much it brings. */
constexpr std::size_t kNextReadBytes = 4'096;

constexpr const char* kRetryAfterMemory = "1"; // seconds; stalled bodies are ended sooner

} // namespace

HttpSession::HttpSession(Socket aSocket, HttpListener& aListener)
  : mSocket(std::move(aSocket))
  , mListener(&aListener)
  , mHolding(aListener.mShared.memory)
  , mParser(std::make_unique<HttpRequestParser>(aListener.EffectiveLimits()))
  , mSince(aListener.mClock.Now())
  , mProgress(mSince)
{
  mListener->mSessions.insert(this);
}

HttpSession::~HttpSession()
{
  if (mListener != nullptr) {
    mListener->mSessions.erase(this);
  }
}

void HttpSession::Detach()
{
  mGone = nullptr;
  Close();
  if (mListener != nullptr) {
    mListener->mSessions.erase(this);
    mListener = nullptr;
  }
}

void HttpSession::Start()
{
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true),
                     ec);         // only delays small answers if it fails
  mSocket.non_blocking(true, ec); // a socket that cannot be set fails its first read
  Read();
}

/** Bytes that are held for the caller now. */
std::size_t HttpSession::CountHeld() const
{
  const std::size_t request = mBusy ? mRequestBytes : mParser->HeldBytes(mReservedBytes);
  return mInput.size() + request + mOutput.size() + mSending.size();
}

/** Whether there is memory for the next bytes. */
bool HttpSession::MayRead()
{
  // An announced body is counted whole already, and an idle connection holds nothing.
  const std::size_t held = CountHeld();
  const std::size_t next = held == 0 || mReservedBytes != 0 ? held : held + kNextReadBytes;
  if (mHolding.TrySet(next) || (mListener->MakeRoom(*this, next) && mHolding.TrySet(next))) {
    mStarved = false;
    return true;
  }
  if (!mStarved) {
    mStarved = true;
    mStarvedSince = mListener->mClock.Now();
  }
  return false;
}

void HttpSession::Read()
{
  if (mClosed || mReading || mListener == nullptr || (mBusy && mInput.size() > kMaxAheadBytes)) {
    return;
  }
  if (!mClosing && !MayRead()) {
    mWaitingSelf = shared_from_this(); // RetryRead() goes on
    return;
  }
  mReading = true;
  // Waits without a buffer: most connections are idle.
  mSocket.async_wait(Socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& aError) {
                       self->mReading = false;
                       self->OnReadable(aError);
                     });
  mWaitingSelf = nullptr; // the operation holds it
}

void HttpSession::OnReadable(const boost::system::error_code& aError)
{
  if (mClosed || mListener == nullptr) {
    return;
  }
  thread_local std::array<char, kReadBytes> buf; // the bytes are copied before anyone else reads
  boost::system::error_code ec = aError;
  const std::size_t n = ec ? 0 : mSocket.read_some(boost::asio::buffer(buf), ec);
  if (ec && ec != boost::asio::error::would_block) {
    Leave();
    return;
  }
  if (n != 0) {
    mProgress = mListener->mClock.Now();
    mInput.append(buf.data(), n);
  }
  if (!mBusy) {
    Parse();
  }
  Read();
}

void HttpSession::Parse()
{
  if (mInput.empty() || mClosed || mWriting) {
    return;
  }
  if (mClosing) {
    mInput.clear();
    return;
  }
  if (!mBegun) {
    mBegun = true;
    mAdmitted = false;
    mSince = mListener->mClock.Now();
    mParser = std::make_unique<HttpRequestParser>(mListener->EffectiveLimits());
  }
  const HttpRequestParser::State state = mParser->Put(mInput);
  mHolding.Set(CountHeld());
  switch (state) {
    case HttpRequestParser::State::kDone:
      Dispatch();
      return;
    case HttpRequestParser::State::kMalformed:
      Refuse(400, "the request is not valid HTTP");
      return;
    case HttpRequestParser::State::kHeadTooLarge:
      Refuse(431, "the head of the request is too large");
      return;
    case HttpRequestParser::State::kBodyTooLarge:
      Refuse(413, "the body of the request is too large");
      return;
    case HttpRequestParser::State::kNeedsMore:
      break;
  }
  if (mParser->HeadDone() && !mAdmitted && !AdmitBody()) {
    return;
  }
  if (mParser->HeadDone() && !mContinued && mParser->ExpectsContinue()) {
    mContinued = true;
    Write(kContinue);
  }
}

/** The head decides before the body is read. False if the request was refused. */
bool HttpSession::AdmitBody()
{
  mAdmitted = true;
  if (mListener->mHeadCheck) {
    const HttpRequest head = mParser->Head();
    if (const auto refusal = mListener->mHeadCheck(head)) {
      mBusy = true;
      mClosing = true;
      Answer(*refusal);
      return false;
    }
  }
  // The length that was announced is held from now on: bodies that fill the memory together would
  // wait for each other.
  mReservedBytes = mParser->AnnouncedBytes();
  return true;
}

void HttpSession::Dispatch()
{
  mBusy = true;
  mClosing = mClosing || !mParser->KeepAlive();
  mRequestBytes = mParser->HeldBytes(0);
  mReservedBytes = 0;
  HttpRequest request = mParser->Take();
  mHead = request.method == "HEAD";
  mHolding.Set(CountHeld());
  mListener->mHandler(shared_from_this(), std::move(request));
}

void HttpSession::Refuse(unsigned aStatus, const std::string& aText)
{
  mBusy = true;
  mClosing = true;
  Answer(MakeTextAnswer(aStatus, aText));
}

void HttpSession::RefuseForMemory()
{
  HttpAnswer answer = MakeTextAnswer(503, "no memory for the request");
  answer.headers.push_back({ "Retry-After", kRetryAfterMemory });
  mBusy = true;
  mClosing = true;
  Answer(answer);
}

void HttpSession::Evict()
{
  const bool mayAnswer = IsReceiving() && !IsSending();
  if (!mayAnswer) {
    Leave();
    return;
  }
  RefuseForMemory();
}

void HttpSession::RetryRead(TimePoint aNow)
{
  if (!IsStarved()) {
    return;
  }
  Read();
  if (!IsStarved() || aNow - mStarvedSince < kMaxStarvation) {
    return;
  }
  mListener->NoteRefusal("memory");
  Evict();
}

void HttpSession::Answer(const HttpAnswer& aAnswer)
{
  mGone = nullptr;
  if (mClosed || !mBusy || mListener == nullptr) {
    return;
  }
  mClosing = mClosing || mListener->mStopping;
  mBusy = false;
  mBegun = false;
  mContinued = false;
  mStarved = false;
  mRequestBytes = 0;
  mReservedBytes = 0;
  mParser = std::make_unique<HttpRequestParser>(mListener->EffectiveLimits());
  if (mClosing) {
    ReleaseText(mInput); // what the caller still sends is dropped
  }
  mSince = mListener->mClock.Now();
  mProgress = mSince;
  Write(FormatAnswer(aAnswer, mClosing, mHead));
}

void HttpSession::Write(const std::string& aBytes)
{
  mOutput += aBytes;
  mHolding.Set(CountHeld());
  if (!mWriting) {
    Flush();
  }
  mListener->RelieveMemory();
}

void HttpSession::Flush()
{
  mWriting = true;
  mSending = std::exchange(mOutput, {});
  mSent = 0;
  WriteSome();
}

void HttpSession::WriteSome()
{
  mSocket.async_write_some(
    boost::asio::buffer(mSending.data() + mSent, mSending.size() - mSent),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aCount) {
      if (self->mClosed || self->mListener == nullptr) {
        return;
      }
      if (aError) {
        self->Leave();
        return;
      }
      self->mSent += aCount;
      self->mProgress = self->mListener->mClock.Now();
      if (self->mSent < self->mSending.size()) {
        self->WriteSome();
        return;
      }
      self->mWriting = false;
      ReleaseText(self->mSending);
      self->mHolding.Set(self->CountHeld());
      self->OnWritten();
    });
}

void HttpSession::OnWritten()
{
  if (!mOutput.empty()) {
    Flush();
    return;
  }
  if (mBusy) {
    return;
  }
  if (mBegun) { // an interim answer went out
    Parse();
    Read();
    return;
  }
  if (mClosing) {
    // Closing with unread bytes would reset the connection under the answer: what the caller still
    // sends is read and dropped until it closes.
    boost::system::error_code ec;
    mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec); // gone already if it fails
    mInput.clear();
    Read();
    return;
  }
  Parse();
  Read();
}

void HttpSession::CheckTimeouts(TimePoint aNow)
{
  if (mBusy || mClosed) {
    return;
  }
  const HttpLimits& limits = mListener->mLimits;
  if (mBegun && !mParser->HeadDone() && aNow - mSince > limits.headerTimeout) {
    Refuse(408, "the head of the request took too long");
    return;
  }
  // A large body on a slow link takes longer than a connection may be idle.
  const TimePoint since = mClosing ? mSince : std::max(mSince, mProgress);
  if (aNow - since > limits.idleTimeout) {
    Close();
  }
}

void HttpSession::Leave()
{
  auto gone = std::move(mGone);
  mGone = nullptr;
  Close();
  if (gone) {
    gone();
  }
}

void HttpSession::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  boost::system::error_code ec;
  mSocket.close(ec); // nothing is left to do for a socket that cannot be closed
  if (!mBusy) {
    mParser = std::make_unique<HttpRequestParser>(HttpLimits{});
  }
  ReleaseText(mInput);
  ReleaseText(mOutput);
  mHolding.Set(mBusy ? mRequestBytes : 0);
  // Released later: the session is still in use here.
  boost::asio::post(mSocket.get_executor(), [self = std::exchange(mWaitingSelf, nullptr)] {});
}

} // namespace mustardwinch
