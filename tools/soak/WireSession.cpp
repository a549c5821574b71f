#include "soak/WireSession.h"

#include "http/HttpText.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace mustardwinch::soak {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kMaxBodyBytes = 4'000'000;

} // namespace

WireSession::WireSession(boost::asio::ip::tcp::socket aSocket, Handlers aHandlers)
  : mSocket(std::move(aSocket))
  , mHandlers(std::move(aHandlers))
{
  NewParser();
}

void WireSession::Start()
{
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ec); // only slower without it
  Read();
}

void WireSession::NewParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(kMaxBodyBytes);
  mHeadSeen = false;
  mAnswered = false;
}

void WireSession::Close()
{
  mClosed = true;
  boost::system::error_code ec;
  mSocket.close(ec); // the connection is given up, whatever it says
}

void WireSession::Read()
{
  const Milliseconds pause = std::exchange(mReadPause, Milliseconds(0));
  if (pause == Milliseconds(0)) {
    ReadNow();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(mSocket.get_executor(), pause);
  timer->async_wait([self = shared_from_this(), timer](const auto&) { self->ReadNow(); });
}

void WireSession::ReadNow()
{
  if (mClosed) {
    return;
  }
  mSocket.async_read_some(
    boost::asio::buffer(mChunk),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aCount) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->mInput.append(self->mChunk.data(), aCount);
      self->Parse();
      self->Read();
    });
}

void WireSession::Parse()
{
  while (!mClosed && !mBusy && !mInput.empty()) {
    boost::system::error_code ec;
    mInput.erase(0, mParser->put(boost::asio::buffer(mInput), ec));
    if (ec && ec != http::error::need_more) {
      Close();
      return;
    }
    if (mParser->is_header_done() && !mParser->is_done() && !std::exchange(mHeadSeen, true)) {
      mHandlers.onHead(shared_from_this(), Request());
    }
    if (!mParser->is_done()) {
      if (ec) {
        return; // more bytes are needed
      }
      continue;
    }
    if (mAnswered) {
      NewParser();
      continue;
    }
    mBusy = true;
    mHandlers.onRequest(shared_from_this(), Request());
  }
}

HttpRequest WireSession::Request() const
{
  const auto& message = mParser->get();
  HttpRequest request;
  request.method = message.method_string();
  request.target = message.target();
  for (const auto& it : message) {
    request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
  }
  request.body = message.body();
  return request;
}

void WireSession::Answer(const HttpAnswer& aAnswer)
{
  if (mClosed || mEnd) {
    return;
  }
  mLast = aAnswer;
  Write(FormatAnswer(aAnswer, false, false), {});
  if (!mBusy) {
    mAnswered = true;
    return;
  }
  mBusy = false;
  NewParser();
  Parse();
}

void WireSession::Write(const std::string& aBytes, std::optional<End> aEnd)
{
  if (mClosed || mEnd) {
    return;
  }
  mOutput += aBytes;
  mEnd = aEnd;
  if (mWriting.empty()) {
    Flush();
  }
}

void WireSession::Flush()
{
  mWriting = std::exchange(mOutput, {});
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mWriting),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      self->mWriting.clear();
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->Close();
      } else if (!self->mOutput.empty()) {
        self->Flush();
      } else if (self->mEnd) {
        self->Finish();
      }
    });
}

void WireSession::Finish()
{
  constexpr Milliseconds kReadFirst{ 5 }; // a reset takes bytes with it that were not read
  if (mEnd == End::kClose) {
    Close();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(mSocket.get_executor(), kReadFirst);
  timer->async_wait([self = shared_from_this(), timer](const auto&) {
    if (!self->mClosed) {
      boost::system::error_code ec;
      self->mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec); // else it closes
      self->Close();
    }
  });
}

} // namespace mustardwinch::soak
