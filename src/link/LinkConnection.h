#pragma once

#include "link/LinkFrame.h"
#include "link/PeerLinks.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mustardwinch {

class PeerStream;

/**
 * One TCP connection between two nodes. The dialler numbers requests and streams; the other side
 * answers them. Each direction of work has its own connection, so numbers never cross.
 *
 * Lock order: mMutex is a leaf, but for the locks of streams, which are never taken under it.
 */
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
  struct Handlers
  {
    std::function<
      void(PeerMessage aKind, const Address& aFrom, std::string, PeerLinks::ReplyFn aReply)>
      request;
    PeerLinks::StreamHandler stream;
    std::function<void(const std::shared_ptr<LinkConnection>&)> closed;
  };

  struct Limits
  {
    Milliseconds connectTimeout;
    Milliseconds heartbeat;
    Milliseconds silenceLimit;
  };

  LinkConnection(boost::asio::io_context& aContext,
                 Address aPeer,
                 Limits aLimits,
                 Handlers aHandlers);

  /** Connects to the peer; frames sent meanwhile wait. */
  void Dial(const Address& aSelf);

  /** Serves a connection that a peer has made. */
  void Accept(boost::asio::ip::tcp::socket aSocket);

  /** Queues a frame; dropped if the connection is closed. */
  void Send(const LinkFrame& aFrame);

  void Request(PeerMessage aKind,
               std::string aPayload,
               Milliseconds aTimeout,
               PeerLinks::ReplyFn aReply);

  std::shared_ptr<PeerStream> OpenStream(std::string aHead);

  /** Removes a stream that is over. */
  void Forget(std::uint64_t aId);

  /** Closes the connection; requests and streams end with kLinkDown. */
  void Close();

  bool IsClosed() const { return mClosed.load(); }

  /** True if neither requests nor streams are under way. */
  bool IsIdle() const;

  TimePoint LastUsed() const;
  const Address& Peer() const { return mPeer; }
  std::uint64_t ControlBytes() const { return mControlBytes.load(); }

private:
  struct PendingRequest
  {
    PeerLinks::ReplyFn reply;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Opened();
  void StartHeartbeat();
  void OnHeartbeat();
  void ReadLength();
  void ReadBody(std::size_t aSize);
  void WriteQueued();
  void CloseOnStrand();
  void Handle(LinkFrame aFrame);
  void HandleRequest(LinkFrame aFrame);
  void HandleOpen(LinkFrame aFrame);
  void CompleteRequest(std::uint64_t aId, Result<std::string> aReply);
  std::shared_ptr<PeerStream> FindStream(std::uint64_t aId) const;
  static bool IsControl(FrameKind aKind);

  boost::asio::io_context& mContext;
  boost::asio::strand<boost::asio::io_context::executor_type> mStrand;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  Address mPeer;
  const Limits mLimits;
  const Handlers mHandlers;
  std::atomic<bool> mOpen{ false };
  std::atomic<bool> mClosed{ false };
  std::atomic<std::uint64_t> mControlBytes{ 0 };

  // Touched on the strand only.
  std::array<unsigned char, 4> mLength{};
  std::string mBody;
  std::string mWriting;
  bool mWriteActive = false;
  TimePoint mHeard;

  mutable std::mutex mMutex;
  std::string mQueued;
  bool mFlushPosted = false;
  std::uint64_t mNextId = 1;
  TimePoint mUsed;
  std::map<std::uint64_t, PendingRequest> mRequests;
  std::map<std::uint64_t, std::shared_ptr<PeerStream>> mStreams;
};

} // namespace mustardwinch
