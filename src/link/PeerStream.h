#pragma once

#include "link/LinkFrame.h"
#include "link/StreamEvent.h"
#include "mustardwinch/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mustardwinch {

class LinkConnection;

/** Bytes that may be under way in one direction of a stream; bounds the memory of a stream. */
inline constexpr std::int64_t kStreamWindowBytes = 128 * 1024;

/** Largest chunk that senders put into one frame, in bytes. */
inline constexpr std::size_t kStreamChunkBytes = 32 * 1024;

/**
 * A byte stream in both directions over a link, with a window in each. Safe for several threads;
 * the lock of a stream is never held while a link's lock is taken.
 */
class PeerStream
{
public:
  PeerStream(std::weak_ptr<LinkConnection> aConnection, std::uint64_t aId);

  /** Sends a chunk; waits for window until aUntil. False if the stream is reset or time ran out. */
  bool Send(StreamTag aTag, std::string aPayload, TimePoint aUntil);

  /** Sends a chunk if there is window now. False if there is none or the stream is reset. */
  bool TrySend(StreamTag aTag, std::string aPayload);

  /** True if TrySend would send. */
  bool HasWindow() const;

  /** Tells the peer that no more chunks come from here. */
  void SendEnd();

  /** Ends the stream on both sides. Later events of the peer are dropped. */
  void Reset(ResultCode aCode);

  /** The next event; waits until aUntil, then StreamIdle. End and reset are given again and again.
   */
  StreamEvent Read(TimePoint aUntil);

  /** The next event, StreamIdle if there is none. */
  StreamEvent TryRead();

  /**
   * Called after every event (chunk, end, reset, more window) on a link thread; must not block nor
   * set a listener. Once this returns, the earlier listener runs no more.
   */
  void SetListener(std::function<void()> aListener);

  /** The code of the reset, nothing while the stream is open. */
  std::optional<ResultCode> ResetCode() const;

  /** True if the stream was reset and the peer can have received nothing of it: it ran nothing. */
  bool NothingSent() const;

  std::uint64_t Id() const { return mId; }

  // Called by the link.
  void OnChunk(StreamTag aTag, std::string aPayload);
  void OnEnd();
  void OnWindow(std::uint32_t aBytes);
  void OnReset(ResultCode aCode, bool aNothingSent = false);

private:
  void Notify();
  StreamEvent TakeLocked(std::uint32_t& aConsumed);
  void GiveWindow(std::uint32_t aConsumed);
  void Transmit(FrameKind aKind, std::uint32_t aNumber, std::string aPayload);

  const std::weak_ptr<LinkConnection> mConnection;
  const std::uint64_t mId;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<StreamChunk> mReceived;
  std::int64_t mSendWindow = kStreamWindowBytes;
  bool mPeerEnded = false;
  bool mSentEnd = false;
  bool mReset = false;
  ResultCode mResetCode = ResultCode::kOk;
  bool mNothingSent = false;

  std::mutex mListenerMutex; //!< taken before mMutex, never after
  std::function<void()> mListener;
};

} // namespace mustardwinch
