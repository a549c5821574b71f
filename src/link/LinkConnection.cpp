#include "link/LinkConnection.h"

#include "base/SteadyTime.h"
#include "link/LinkCodec.h"
#include "link/PeerStream.h"
#include "mustardwinch/Event.h"

#include <utility>

namespace mustardwinch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kProtocolVersion = 1;

tcp::endpoint EndpointOf(const Address& aAddress)
{
  return { asio::ip::address_v4(aAddress.ip), aAddress.port };
}

} // namespace

LinkConnection::LinkConnection(asio::io_context& aContext,
                               Address aPeer,
                               Limits aLimits,
                               Handlers aHandlers)
  : mContext(aContext)
  , mStrand(asio::make_strand(aContext))
  , mSocket(mStrand)
  , mTimer(mStrand)
  , mPeer(aPeer)
  , mLimits(aLimits)
  , mHandlers(std::move(aHandlers))
  , mHeard(SteadyNow())
  , mUsed(SteadyNow())
{
}

void LinkConnection::Dial(const Address& aSelf)
{
  Send({ FrameKind::kHello, 0, kProtocolVersion, aSelf.ToString() });
  asio::dispatch(mStrand, [self = shared_from_this()] {
    self->mTimer.expires_after(self->mLimits.connectTimeout);
    self->mTimer.async_wait([self](const error_code& aError) {
      if (!aError && !self->mOpen) {
        self->CloseOnStrand();
      }
    });
    self->mSocket.async_connect(EndpointOf(self->mPeer), [self](const error_code& aError) {
      if (aError) {
        self->CloseOnStrand();
        return;
      }
      self->Opened();
    });
  });
}

void LinkConnection::Accept(tcp::socket aSocket)
{
  asio::dispatch(mStrand, [self = shared_from_this(), socket = std::move(aSocket)]() mutable {
    error_code ec;
    const auto native = socket.release(ec);
    if (!ec) {
      self->mSocket.assign(tcp::v4(), native, ec);
    }
    if (ec) {
      self->CloseOnStrand();
      return;
    }
    self->Opened();
  });
}

void LinkConnection::Opened()
{
  if (mClosed) {
    return;
  }
  error_code ec;
  mSocket.set_option(tcp::no_delay(true), ec);
  mOpen = true;
  mHeard = SteadyNow();
  LogEvent(LogLevel::kDebug, Event::kLinkUp, { { "peer", mPeer.ToString() } });
  StartHeartbeat();
  ReadLength();
  WriteQueued();
}

void LinkConnection::StartHeartbeat()
{
  mTimer.expires_after(mLimits.heartbeat);
  mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError) {
      self->OnHeartbeat();
    }
  });
}

void LinkConnection::OnHeartbeat()
{
  if (mClosed) {
    return;
  }
  if (SteadyNow() - mHeard > mLimits.silenceLimit) {
    LogEvent(
      LogLevel::kWarn, Event::kLinkLost, { { "peer", mPeer.ToString() }, { "reason", "silent" } });
    CloseOnStrand();
    return;
  }
  Send({ FrameKind::kPing, 0, 0, {} });
  StartHeartbeat();
}

bool LinkConnection::IsControl(FrameKind aKind)
{
  switch (aKind) {
    case FrameKind::kOpen:
    case FrameKind::kData:
    case FrameKind::kEnd:
    case FrameKind::kWindow:
    case FrameKind::kReset:
      return false;
    case FrameKind::kHello:
    case FrameKind::kPing:
    case FrameKind::kPong:
    case FrameKind::kRequest:
    case FrameKind::kReply:
      break;
  }
  return true;
}

void LinkConnection::Send(const LinkFrame& aFrame)
{
  if (mClosed) {
    return;
  }
  {
    std::lock_guard lock(mMutex);
    const std::size_t before = mQueued.size();
    AppendFrame(aFrame, mQueued);
    if (IsControl(aFrame.kind)) {
      mControlBytes += mQueued.size() - before;
    }
    if (std::exchange(mFlushPosted, true)) {
      return;
    }
  }
  asio::post(mStrand, [self = shared_from_this()] { self->WriteQueued(); });
}

void LinkConnection::WriteQueued()
{
  if (!mOpen || mClosed || mWriteActive) {
    return;
  }
  mWriting.clear();
  {
    std::lock_guard lock(mMutex);
    std::swap(mWriting, mQueued);
    mFlushPosted = false;
  }
  if (mWriting.empty()) {
    return;
  }
  mWriteActive = true;
  asio::async_write(mSocket,
                    asio::buffer(mWriting),
                    [self = shared_from_this()](const error_code& aError, std::size_t) {
                      self->mWriteActive = false;
                      if (aError) {
                        self->CloseOnStrand();
                        return;
                      }
                      self->WriteQueued();
                    });
}

void LinkConnection::ReadLength()
{
  asio::async_read(mSocket,
                   asio::buffer(mLength),
                   [self = shared_from_this()](const error_code& aError, std::size_t) {
                     if (aError) {
                       self->CloseOnStrand();
                       return;
                     }
                     const auto n = ParseFrameLength(self->mLength.data());
                     if (!n) {
                       LogEvent(LogLevel::kWarn,
                                Event::kFrameRejected,
                                { { "peer", self->mPeer.ToString() }, { "reason", "length" } });
                       self->CloseOnStrand();
                       return;
                     }
                     self->ReadBody(*n);
                   });
}

void LinkConnection::ReadBody(std::size_t aSize)
{
  mBody.resize(aSize);
  asio::async_read(mSocket,
                   asio::buffer(mBody),
                   [self = shared_from_this()](const error_code& aError, std::size_t aRead) {
                     if (aError) {
                       self->CloseOnStrand();
                       return;
                     }
                     std::optional<LinkFrame> frame = ParseFrame(self->mBody);
                     if (!frame) {
                       LogEvent(LogLevel::kWarn,
                                Event::kFrameRejected,
                                { { "peer", self->mPeer.ToString() }, { "reason", "content" } });
                       self->CloseOnStrand();
                       return;
                     }
                     self->mHeard = SteadyNow();
                     if (IsControl(frame->kind)) {
                       self->mControlBytes += aRead + kFrameLengthBytes;
                     }
                     self->Handle(std::move(*frame));
                     if (!self->mClosed) {
                       self->ReadLength();
                     }
                   });
}

bool LinkConnection::IsIdle() const
{
  std::lock_guard lock(mMutex);
  return mRequests.empty() && mStreams.empty();
}

TimePoint LinkConnection::LastUsed() const
{
  std::lock_guard lock(mMutex);
  return mUsed;
}

void LinkConnection::Close()
{
  asio::dispatch(mStrand, [self = shared_from_this()] { self->CloseOnStrand(); });
}

void LinkConnection::CloseOnStrand()
{
  if (mClosed.exchange(true)) {
    return;
  }
  error_code ec;
  mTimer.cancel(ec);
  mSocket.close(ec);
  std::map<std::uint64_t, PendingRequest> requests;
  std::map<std::uint64_t, std::shared_ptr<PeerStream>> streams;
  {
    std::lock_guard lock(mMutex);
    requests.swap(mRequests);
    streams.swap(mStreams);
    mQueued.clear();
  }
  for (auto& [id, it] : requests) {
    it.timer->cancel();
    it.reply(ResultCode::kLinkDown);
  }
  for (auto& [id, it] : streams) {
    it->OnReset(ResultCode::kLinkDown, !mOpen);
  }
  mHandlers.closed(shared_from_this());
}

} // namespace mustardwinch
