#include "base/SteadyTime.h"
#include "link/LinkConnection.h"
#include "link/PeerStream.h"

#include <utility>

namespace mustardwinch {

// What frames mean: requests with one reply, and streams.

namespace asio = boost::asio;
using boost::system::error_code;

void LinkConnection::Handle(LinkFrame aFrame)
{
  switch (aFrame.kind) {
    case FrameKind::kHello:
      if (const auto address = Address::Parse(aFrame.payload)) {
        mPeer = *address;
      }
      break;
    case FrameKind::kPing:
      Send({ FrameKind::kPong, 0, 0, {} });
      break;
    case FrameKind::kPong:
      break;
    case FrameKind::kRequest:
      HandleRequest(std::move(aFrame));
      break;
    case FrameKind::kReply: {
      const ResultCode code = ResultCodeFromNumber(aFrame.number);
      const bool good = aFrame.number == 0;
      CompleteRequest(aFrame.id,
                      good ? Result<std::string>(std::move(aFrame.payload))
                           : Result<std::string>(code, std::move(aFrame.payload)));
      break;
    }
    case FrameKind::kOpen:
      HandleOpen(std::move(aFrame));
      break;
    case FrameKind::kData:
      if (const auto stream = FindStream(aFrame.id)) {
        stream->OnChunk(static_cast<StreamTag>(aFrame.number), std::move(aFrame.payload));
      }
      break;
    case FrameKind::kEnd:
      if (const auto stream = FindStream(aFrame.id)) {
        stream->OnEnd();
      }
      break;
    case FrameKind::kWindow:
      if (const auto stream = FindStream(aFrame.id)) {
        stream->OnWindow(aFrame.number);
      }
      break;
    case FrameKind::kReset:
      if (const auto stream = FindStream(aFrame.id)) {
        Forget(aFrame.id);
        stream->OnReset(ResultCodeFromNumber(aFrame.number));
      }
      break;
  }
}

void LinkConnection::HandleRequest(LinkFrame aFrame)
{
  const std::weak_ptr<LinkConnection> weak = weak_from_this();
  const std::uint64_t id = aFrame.id;
  auto reply = [weak, id](Result<std::string> aReply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (aReply.IsOk()) {
      self->Send({ FrameKind::kReply, id, 0, std::move(aReply.Value()) });
      return;
    }
    const auto code = static_cast<std::uint32_t>(aReply.Error().code.value());
    self->Send({ FrameKind::kReply, id, code, aReply.Error().detail });
  };
  mHandlers.request(
    static_cast<PeerMessage>(aFrame.number), mPeer, std::move(aFrame.payload), std::move(reply));
}

void LinkConnection::HandleOpen(LinkFrame aFrame)
{
  auto stream = std::make_shared<PeerStream>(weak_from_this(), aFrame.id);
  {
    std::lock_guard lock(mMutex);
    mStreams[aFrame.id] = stream;
  }
  mHandlers.stream(std::move(stream), std::move(aFrame.payload));
}

std::shared_ptr<PeerStream> LinkConnection::FindStream(std::uint64_t aId) const
{
  std::lock_guard lock(mMutex);
  const auto it = mStreams.find(aId);
  return it == mStreams.end() ? nullptr : it->second;
}

void LinkConnection::Forget(std::uint64_t aId)
{
  std::lock_guard lock(mMutex);
  mStreams.erase(aId);
}

void LinkConnection::Request(PeerMessage aKind,
                             std::string aPayload,
                             Milliseconds aTimeout,
                             PeerLinks::ReplyFn aReply)
{
  auto timer = std::make_shared<asio::steady_timer>(mStrand, aTimeout);
  std::uint64_t id = 0;
  {
    std::lock_guard lock(mMutex);
    id = mNextId++;
    mUsed = SteadyNow();
    mRequests[id] = { std::move(aReply), timer };
  }
  timer->async_wait([weak = weak_from_this(), id](const error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->CompleteRequest(id, ResultCode::kLinkTimeout);
    }
  });
  if (mClosed) {
    CompleteRequest(id, ResultCode::kLinkDown);
    return;
  }
  Send({ FrameKind::kRequest, id, static_cast<std::uint32_t>(aKind), std::move(aPayload) });
}

void LinkConnection::CompleteRequest(std::uint64_t aId, Result<std::string> aReply)
{
  PendingRequest pending;
  {
    std::lock_guard lock(mMutex);
    const auto it = mRequests.find(aId);
    if (it == mRequests.end()) {
      return;
    }
    pending = std::move(it->second);
    mRequests.erase(it);
  }
  asio::post(mStrand, [timer = pending.timer] { timer->cancel(); });
  pending.reply(std::move(aReply));
}

std::shared_ptr<PeerStream> LinkConnection::OpenStream(std::string aHead)
{
  std::shared_ptr<PeerStream> stream;
  {
    std::lock_guard lock(mMutex);
    const std::uint64_t id = mNextId++;
    mUsed = SteadyNow();
    stream = std::make_shared<PeerStream>(weak_from_this(), id);
    mStreams[id] = stream;
  }
  if (mClosed) {
    Forget(stream->Id());
    stream->OnReset(ResultCode::kLinkDown, true);
    return stream;
  }
  Send({ FrameKind::kOpen, stream->Id(), 0, std::move(aHead) });
  return stream;
}

} // namespace mustardwinch
