#include "link/PeerStream.h"

#include "link/LinkConnection.h"

#include <utility>

namespace mustardwinch {

PeerStream::PeerStream(std::weak_ptr<LinkConnection> aConnection, std::uint64_t aId)
  : mConnection(std::move(aConnection))
  , mId(aId)
{
}

void PeerStream::Transmit(FrameKind aKind, std::uint32_t aNumber, std::string aPayload)
{
  if (const auto connection = mConnection.lock()) {
    connection->Send({ aKind, mId, aNumber, std::move(aPayload) });
  }
}

bool PeerStream::Send(StreamTag aTag, std::string aPayload, TimePoint aUntil)
{
  {
    std::unique_lock lock(mMutex);
    const bool ready =
      mChanged.wait_until(lock, aUntil, [this] { return mReset || mSendWindow > 0; });
    if (!ready || mReset) {
      return false;
    }
    mSendWindow -= static_cast<std::int64_t>(aPayload.size());
  }
  Transmit(FrameKind::kData, static_cast<std::uint32_t>(aTag), std::move(aPayload));
  return true;
}

bool PeerStream::TrySend(StreamTag aTag, std::string aPayload)
{
  return Send(aTag, std::move(aPayload), TimePoint::min());
}

bool PeerStream::HasWindow() const
{
  std::lock_guard lock(mMutex);
  return !mReset && mSendWindow > 0;
}

void PeerStream::SendEnd()
{
  {
    std::lock_guard lock(mMutex);
    if (mReset || std::exchange(mSentEnd, true)) {
      return;
    }
  }
  Transmit(FrameKind::kEnd, 0, {});
}

void PeerStream::Reset(ResultCode aCode)
{
  {
    std::lock_guard lock(mMutex);
    if (mReset) {
      return;
    }
    mReset = true;
    mResetCode = aCode;
    mReceived.clear();
  }
  mChanged.notify_all();
  Transmit(FrameKind::kReset, static_cast<std::uint32_t>(aCode), {});
  if (const auto connection = mConnection.lock()) {
    connection->Forget(mId);
  }
}

StreamEvent PeerStream::TakeLocked(std::uint32_t& aConsumed)
{
  if (!mReceived.empty()) {
    StreamChunk chunk = std::move(mReceived.front());
    mReceived.pop_front();
    aConsumed = static_cast<std::uint32_t>(chunk.payload.size());
    return chunk;
  }
  if (mReset) {
    return StreamReset{ mResetCode };
  }
  if (mPeerEnded) {
    return StreamEnd{};
  }
  return StreamIdle{};
}

void PeerStream::GiveWindow(std::uint32_t aConsumed)
{
  if (aConsumed > 0) {
    Transmit(FrameKind::kWindow, aConsumed, {});
  }
}

StreamEvent PeerStream::Read(TimePoint aUntil)
{
  std::uint32_t consumed = 0;
  std::unique_lock lock(mMutex);
  mChanged.wait_until(lock, aUntil, [this] { return !mReceived.empty() || mReset || mPeerEnded; });
  StreamEvent event = TakeLocked(consumed);
  lock.unlock();
  GiveWindow(consumed);
  return event;
}

StreamEvent PeerStream::TryRead()
{
  return Read(TimePoint::min());
}

void PeerStream::SetListener(std::function<void()> aListener)
{
  std::lock_guard lock(mListenerMutex);
  mListener = std::move(aListener);
}

std::optional<ResultCode> PeerStream::ResetCode() const
{
  std::lock_guard lock(mMutex);
  return mReset ? std::optional(mResetCode) : std::nullopt;
}

bool PeerStream::NothingSent() const
{
  std::lock_guard lock(mMutex);
  return mNothingSent;
}

void PeerStream::Notify()
{
  mChanged.notify_all();
  std::lock_guard lock(mListenerMutex);
  if (mListener) {
    mListener();
  }
}

void PeerStream::OnChunk(StreamTag aTag, std::string aPayload)
{
  {
    std::lock_guard lock(mMutex);
    if (mReset) {
      return;
    }
    mReceived.push_back({ aTag, std::move(aPayload) });
  }
  Notify();
}

void PeerStream::OnEnd()
{
  {
    std::lock_guard lock(mMutex);
    mPeerEnded = true;
  }
  Notify();
}

void PeerStream::OnWindow(std::uint32_t aBytes)
{
  {
    std::lock_guard lock(mMutex);
    mSendWindow += aBytes;
  }
  Notify();
}

void PeerStream::OnReset(ResultCode aCode, bool aNothingSent)
{
  {
    std::lock_guard lock(mMutex);
    if (mReset) {
      return;
    }
    mReset = true;
    mResetCode = aCode;
    mNothingSent = aNothingSent;
  }
  Notify();
}

} // namespace mustardwinch
