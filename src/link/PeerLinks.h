#pragma once

#include "link/PeerMessage.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Result.h"

#include <functional>
#include <memory>
#include <string>

namespace mustardwinch {

class PeerStream;

/**
 * Multiplexed msgpack-over-TCP links to other nodes. One link carries any number of control
 * requests and byte streams. A link that hears nothing for its silence limit is closed and
 * replaced. Callbacks run on the link threads and must not block. Safe for several threads.
 */
class PeerLinks
{
public:
  /** Answers a request: payload or the reason why there is none. */
  using ReplyFn = std::function<void(Result<std::string>)>;
  /** Handles a request of a peer; calls aReply once, from any thread. */
  using RequestHandler =
    std::function<void(const Address& aFrom, std::string aPayload, ReplyFn aReply)>;
  /** Handles a stream opened by a peer; aHead is the opener's first payload. */
  using StreamHandler = std::function<void(std::shared_ptr<PeerStream> aStream, std::string aHead)>;

  struct Options
  {
    Address listen;
    Milliseconds connectTimeout{ 500 };
    Milliseconds heartbeat{ 500 };
    Milliseconds silenceLimit{ 2000 };
    int threads = 2;
  };

  /** Listens and starts the link threads; null if the address cannot be had. */
  static std::unique_ptr<PeerLinks> Make(const Options& aOptions);

  ~PeerLinks();

  /** Registers the handler of a kind. All handlers are registered before traffic begins. */
  void OnRequest(PeerMessage aKind, RequestHandler aHandler);
  void OnStream(StreamHandler aHandler);

  /** Sends a request; aReply is called once, with kLinkDown or kLinkTimeout if no answer came. */
  void Request(const Address& aTo,
               PeerMessage aKind,
               std::string aPayload,
               Milliseconds aTimeout,
               ReplyFn aReply);

  /** Opens a stream to a peer. The stream is reset if the link cannot be had. */
  std::shared_ptr<PeerStream> OpenStream(const Address& aTo, std::string aHead);

  /** Bytes sent and received for control requests, streams left out. */
  std::uint64_t ControlBytes() const;

  /** Closes all links and stops the threads. No callback runs afterwards. */
  void Stop();

private:
  class Impl;
  explicit PeerLinks(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace mustardwinch
