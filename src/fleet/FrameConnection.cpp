#include "fleet/FrameConnection.h"

#include "base/OperationHold.h"
#include "base/ReleaseText.h"
#include "http/HttpChannel.h"
#include "mustardwinch/Event.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <utility>

namespace mustardwinch {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = 16'384;

/** Input buffers above this size are given back when they are empty. */
constexpr std::size_t kMaxIdleBytes = 1'024;

/** Longest frame: the largest body that callers may send, and its head. */
constexpr std::size_t kMaxFrameBytes = 80U << 20;

std::uint32_t LengthAt(const char* aBytes)
{
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(aBytes));
}

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket aSocket)
  : mSocket(std::move(aSocket))
{
  SetKeepAliveProbes(mSocket);
}

void FrameConnection::Start(FrameFn aOnFrame, CloseFn aOnClose)
{
  mOnFrame = std::move(aOnFrame);
  mOnClose = std::move(aOnClose);
  boost::system::error_code ec;
  mSocket.non_blocking(true, ec); // a socket that cannot be set fails its first read
  AwaitBytes();
}

/** Waits without a buffer: a node has hundreds of links, and few of them have bytes at a time. */
void FrameConnection::AwaitBytes()
{
  mSocket.async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [hold = OperationHold(shared_from_this())](const boost::system::error_code& aError) mutable {
      const auto self = hold.Take();
      if (aError || !self->mOpen) {
        self->Close();
      } else {
        self->Read();
      }
    });
}

void FrameConnection::Read()
{
  thread_local std::array<char, kReadBytes> buf; // the bytes are copied before anyone else reads
  boost::system::error_code ec;
  const std::size_t n = mSocket.read_some(boost::asio::buffer(buf), ec);
  if (ec && ec != boost::asio::error::would_block) {
    Close();
    return;
  }
  OnBytes({ buf.data(), n });
  if (mOpen) {
    AwaitBytes();
  }
}

void FrameConnection::OnBytes(std::string_view aBytes)
{
  mInput.append(aBytes);
  std::size_t at = 0;
  while (mOpen && mInput.size() - at >= kLengthBytes) {
    const std::size_t length = LengthAt(mInput.data() + at);
    if (length == 0 || length > kMaxFrameBytes) {
      LogEvent(LogLevel::kWarn, Event::kFrameRejected, { { "length", std::to_string(length) } });
      Close();
      return;
    }
    if (mInput.size() - at - kLengthBytes < length) {
      break;
    }
    mOnFrame(std::string_view(mInput).substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
  }
  mInput.erase(0, at);
  if (mInput.empty() && mInput.capacity() > kMaxIdleBytes) {
    ReleaseText(mInput); // a large frame must not hold its memory for good
  }
}

void FrameConnection::Send(const std::string& aBody)
{
  if (!mOpen) {
    return;
  }
  std::array<unsigned char, kLengthBytes> length{};
  boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(aBody.size()));
  mOutput.append(reinterpret_cast<const char*>(length.data()), length.size());
  mOutput += aBody;
  if (!mWriting) {
    Flush();
  }
}

void FrameConnection::Flush()
{
  mWriting = true;
  auto bytes = std::make_shared<std::string>(std::move(mOutput));
  mOutput.clear();
  boost::asio::async_write(mSocket,
                           boost::asio::buffer(*bytes),
                           [hold = OperationHold(shared_from_this()),
                            bytes](const boost::system::error_code& aError, std::size_t) mutable {
                             const auto self = hold.Take();
                             self->mWriting = false;
                             if (aError) {
                               self->Close();
                             } else if (!self->mOutput.empty() && self->mOpen) {
                               self->Flush();
                             } else if (self->mOnDrained && self->mOpen) {
                               self->mOnDrained();
                             }
                           });
}

void FrameConnection::DropCallbacks()
{
  const CloseFn onClose = std::exchange(mOnClose, nullptr); // may hold this connection
  const FrameFn onFrame = std::exchange(mOnFrame, nullptr);
  const CloseFn onDrained = std::exchange(mOnDrained, nullptr);
}

void FrameConnection::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  boost::system::error_code ec;
  mSocket.close(ec); // nothing is left to do for a socket that cannot be closed
  if (mOnClose) {
    boost::asio::post(mSocket.get_executor(), [hold = OperationHold(shared_from_this())]() mutable {
      const auto self = hold.Take();
      const CloseFn onClose = std::move(self->mOnClose);
      self->mOnClose = nullptr;
      self->mOnFrame = nullptr;
      self->mOnDrained = nullptr;
      if (onClose) {
        onClose();
      }
    });
  }
}

} // namespace mustardwinch
