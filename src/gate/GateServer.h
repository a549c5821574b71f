#pragma once

#include "gate/GateRequestHead.h"
#include "gate/GateScheduler.h"
#include "gate/UpstreamChannelPool.h"
#include "link/PeerStream.h"

#include <boost/asio/thread_pool.hpp>

#include <memory>
#include <string>

namespace mustardwinch {

/**
 * Serves the streams that ingresses open to this gate: submits each request to the scheduler and,
 * once it has a slot, calls the upstream on a worker thread.
 */
class GateServer
{
public:
  /** @param aWorkers number of worker threads, the maximum of concurrent upstream calls */
  GateServer(GateScheduler& aScheduler, int aWorkers);

  /** Handles a stream that an ingress opened. Runs on a link thread; does not block. */
  void OnStream(std::shared_ptr<PeerStream> aStream, const std::string& aHead);

  /** Waits for all upstream calls to end. */
  void Join();

private:
  struct Session;

  void Start(const std::shared_ptr<Session>& aSession, ResultCode aCode);
  void Run(const std::shared_ptr<Session>& aSession);

  GateScheduler& mScheduler;
  UpstreamChannelPool mPool;
  boost::asio::thread_pool mWorkers;
};

} // namespace mustardwinch
