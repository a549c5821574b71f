#include "http/HttpChannel.h"

#include "base/OperationHold.h"
#include "http/HttpText.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace mustardwinch {
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// Two lost probes in a row are rare on a lossy link; three end the connection after four seconds.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeGapSeconds = 1;
constexpr int kProbeCount = 3;
constexpr unsigned kUnsentLimitMs = 4'000;

/** Input that the parser may leave for the next read, such as an unfinished line. */
constexpr std::size_t kMaxUnparsedBytes = 65'536;

/** What a peer may send besides the body: heads, and answers that are dropped. */
constexpr std::size_t kMaxExtraBytes = 262'144;

void SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // A kernel without the option only detects silent peers later.
  static_cast<void>(::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)));
}

/** Reads "timeout=N" of a Keep-Alive field, in whole seconds. */
std::optional<Milliseconds> IdleLimitOf(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = HeaderValue(aHeaders, "Keep-Alive");
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = value.data() + at + kName.size();
  const auto result = std::from_chars(begin, value.data() + value.size(), seconds);
  if (result.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return Milliseconds(Seconds(seconds));
}

} // namespace

void SetKeepAliveProbes(tcp::socket& aSocket)
{
  const int fd = aSocket.native_handle();
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeGapSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnsentLimitMs);
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

HttpChannel::HttpChannel(boost::asio::io_context& aLoop, std::shared_ptr<ByteBudget> aBudget)
  : mSocket(aLoop)
  , mBudget(std::move(aBudget))
{
}

/** Counts bytes of the exchange. False if the answer is too long, or all answers together are. */
bool HttpChannel::TakeBytes(std::size_t aCount)
{
  if (mReceived + aCount > mMaxBody + kMaxExtraBytes) {
    return false;
  }
  if (mBudget && !mBudget->TryTake(aCount)) {
    return false;
  }
  mReceived += aCount;
  return true;
}

void HttpChannel::ReturnBytes()
{
  if (mBudget) {
    mBudget->Return(mReceived);
  }
  mReceived = 0;
}

void HttpChannel::Connect(const Address& aAddress, ConnectFn aDone)
{
  const tcp::endpoint endpoint(boost::asio::ip::address_v4(aAddress.ip), aAddress.port);
  mSocket.async_connect(endpoint,
                        [hold = OperationHold(shared_from_this()),
                         done = std::move(aDone)](const boost::system::error_code& aError) mutable {
                          const auto self = hold.Take();
                          if (!aError) {
                            self->mOpen = true;
                            SetKeepAliveProbes(self->mSocket);
                            self->Read();
                          }
                          done(aError);
                        });
}

void HttpChannel::Exchange(std::string aBytes,
                           std::size_t aMaxBody,
                           bool aHead,
                           AcceptFn aAccept,
                           DoneFn aDone,
                           SharedText aBody)
{
  mMaxBody = aMaxBody;
  mHead = aHead;
  mAccept = std::move(aAccept);
  mDone = std::move(aDone);
  mBegun = false;
  mEndSeen = false;
  mInput.clear();
  mWriteError.clear();
  NewParser();
  mWriting = true;
  auto bytes = std::make_shared<std::string>(std::move(aBytes));
  const std::array<boost::asio::const_buffer, 2> parts{ boost::asio::buffer(*bytes),
                                                        boost::asio::buffer(aBody.Text()) };
  boost::asio::async_write(
    mSocket,
    parts,
    [hold = OperationHold(shared_from_this()), bytes, body = std::move(aBody)](
      const boost::system::error_code& aError, std::size_t) mutable {
      const auto self = hold.Take();
      self->mWriting = false;
      self->mWriteError = aError;
      if (std::exchange(self->mEndSeen, false)) {
        self->OnEnd();
        return;
      }
      // An answer that came before the end of the request is still read
      // after a failed write.
      if (aError && !self->mReading) {
        self->Finish(aError, false);
      }
    });
  Read();
}

void HttpChannel::DropCallbacks()
{
  ReturnBytes();
  mAccept = nullptr;
  const DoneFn done = std::exchange(mDone, nullptr); // may hold this channel
}

void HttpChannel::NewParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(mMaxBody);
  mParser->skip(mHead);
}

void HttpChannel::Read()
{
  if (mReading || !mOpen) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(boost::asio::buffer(mChunk),
                          [hold = OperationHold(shared_from_this())](
                            const boost::system::error_code& aError, std::size_t aCount) mutable {
                            const auto self = hold.Take();
                            self->mReading = false;
                            self->OnRead(aError, aCount);
                          });
}

void HttpChannel::OnRead(const boost::system::error_code& aError, std::size_t aCount)
{
  if (!mDone) { // idle: bytes that belong to no request, or the end
    Close();
    return;
  }
  if (aError == boost::asio::error::eof) {
    mEndSeen = mWriting && mParser && mParser->is_header_done();
    if (!mEndSeen) {
      OnEnd();
    }
    return;
  }
  if (aError) {
    Finish(aError, false);
    return;
  }
  mBegun = true;
  if (!TakeBytes(aCount)) {
    Finish(http::error::body_limit, false);
    return;
  }
  mInput.append(mChunk.data(), aCount);
  Parse();
  if (mDone && mInput.size() > kMaxUnparsedBytes) {
    Finish(http::error::body_limit, false);
  }
  if (mDone) {
    Read();
  }
}

/**
 * The peer sends no more. While the request is still being sent this is not judged: a reset that
 * comes before the request is out shows that the peer broke off.
 */
void HttpChannel::OnEnd()
{
  if (!mDone) {
    Close();
    return;
  }
  if (mWriteError) {
    Finish(mWriteError, false);
    return;
  }
  if (mParser && mParser->is_header_done()) {
    boost::system::error_code ec;
    mParser->put_eof(ec);
    if (!ec && mParser->is_done()) {
      OnAnswer();
    }
  }
  if (mDone) { // cut, or the answer to another request, and no other can follow
    Finish(boost::asio::error::eof, false);
  }
}

void HttpChannel::Parse()
{
  while (mDone && !mInput.empty()) {
    boost::system::error_code ec;
    const std::size_t used = mParser->put(boost::asio::buffer(mInput), ec);
    mInput.erase(0, used);
    if (ec && ec != http::error::need_more) {
      Finish(ec, false);
      return;
    }
    if (!mParser->is_done()) {
      if (ec == http::error::need_more || used == 0) {
        return;
      }
      continue;
    }
    OnAnswer();
  }
}

/** An answer is whole: it ends the exchange unless it is interim or belongs to another request. */
void HttpChannel::OnAnswer()
{
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kLastStatus = 599; // the parser refuses those below 100
  const bool keepAlive = mParser->get().keep_alive() && !mParser->get().need_eof();
  std::optional<Milliseconds> idleLimit;
  HttpAnswer answer = TakeAnswer(idleLimit);
  if (answer.status > kLastStatus) {
    Finish(http::error::bad_status, false);
    return;
  }
  if (answer.status < kFirstFinalStatus || (mAccept && !mAccept(answer))) {
    NewParser();
    return;
  }
  HttpChannelResult result;
  result.begun = true;
  result.answer = std::move(answer);
  result.idleLimit = idleLimit;
  result.reusable = keepAlive && !mWriting && !mWriteError && mInput.empty() && mOpen;
  if (!result.reusable) {
    Close();
  }
  ReturnBytes();
  const DoneFn done = std::move(mDone);
  mDone = nullptr;
  mAccept = nullptr;
  if (result.reusable) {
    Read(); // sees the peer close, or bytes that nobody asked for
  }
  done(std::move(result));
}

HttpAnswer HttpChannel::TakeAnswer(std::optional<Milliseconds>& aIdleLimit)
{
  auto message = mParser->release();
  HttpAnswer answer;
  answer.status = message.result_int();
  for (const auto& it : message) {
    answer.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
  }
  answer.body = std::move(message.body());
  aIdleLimit = IdleLimitOf(answer.headers);
  return answer;
}

void HttpChannel::Finish(const boost::system::error_code& aError, bool aReusable)
{
  if (!aReusable) {
    Close();
  }
  ReturnBytes();
  if (!mDone) {
    return;
  }
  const DoneFn done = std::move(mDone);
  mDone = nullptr;
  mAccept = nullptr;
  HttpChannelResult result;
  result.error = aError;
  result.begun = mBegun;
  result.reusable = aReusable;
  done(std::move(result));
}

void HttpChannel::Close()
{
  if (mOpen || mSocket.is_open()) {
    mOpen = false;
    boost::system::error_code ec;
    mSocket.close(ec); // nothing is left to do for a socket that cannot be closed
  }
}

} // namespace mustardwinch
