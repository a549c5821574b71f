#include "gate/GateServer.h"

#include "base/SteadyTime.h"
#include "gate/GateCodec.h"
#include "gate/UpstreamCall.h"

#include <boost/asio/post.hpp>

#include <mutex>

namespace mustardwinch {

/** State of a request from its arrival at the gate to the end of its upstream call. */
struct GateServer::Session
{
  std::shared_ptr<PeerStream> stream;
  GateRequestHead head;
  TimePoint deadline;

  std::mutex mutex;
  GateScheduler::Ticket ticket = 0; //!< 0 until the scheduler has assigned one
  bool started = false;
};

GateServer::GateServer(GateScheduler& aScheduler, int aWorkers)
  : mScheduler(aScheduler)
  , mWorkers(static_cast<std::size_t>(aWorkers))
{
}

void GateServer::OnStream(std::shared_ptr<PeerStream> aStream, const std::string& aHead)
{
  std::optional<GateRequestHead> head = ParseRequestHead(aHead);
  if (!head) {
    aStream->Reset(ResultCode::kBadRequest);
    return;
  }
  auto session = std::make_shared<Session>();
  session->stream = std::move(aStream);
  session->head = std::move(*head);
  session->deadline = SteadyNow() + Milliseconds(session->head.deadlineMs);

  // Cancels a queued request if its stream is reset, for instance when its caller disconnects.
  session->stream->SetListener([this, weak = std::weak_ptr(session)] {
    const auto waiting = weak.lock();
    if (!waiting || !waiting->stream->ResetCode()) {
      return;
    }
    GateScheduler::Ticket ticket = 0;
    {
      std::lock_guard lock(waiting->mutex);
      ticket = waiting->started ? 0 : waiting->ticket;
    }
    if (ticket != 0) {
      mScheduler.Cancel(waiting->head.upstream, ticket);
    }
  });

  GateRequest request;
  request.organisation = session->head.organisation;
  request.deadline = session->deadline;
  request.idempotent = session->head.idempotent;
  request.onDecision = [this, session](ResultCode aCode) { Start(session, aCode); };
  const GateScheduler::Ticket ticket =
    mScheduler.Submit(session->head.upstream, std::move(request));
  std::lock_guard lock(session->mutex);
  session->ticket = ticket;
}

void GateServer::Start(const std::shared_ptr<Session>& aSession, ResultCode aCode)
{
  {
    std::lock_guard lock(aSession->mutex);
    aSession->started = true;
  }
  if (aCode != ResultCode::kOk) {
    aSession->stream->Reset(aCode);
    return;
  }
  boost::asio::post(mWorkers, [this, aSession] { Run(aSession); });
}

void GateServer::Run(const std::shared_ptr<Session>& aSession)
{
  AttemptResult result;
  if (aSession->stream->ResetCode()) {
    result.code = ResultCode::kCallerGone;
  } else if (SteadyNow() >= aSession->deadline) {
    result.code = ResultCode::kDeadlineBeforeRun;
    aSession->stream->Reset(result.code);
  } else {
    aSession->stream->Send(StreamTag::kAccepted, {}, TimePoint::max());
    if (mScheduler.ShouldDropPool(aSession->head.upstream)) {
      mPool.CloseIdle(aSession->head.upstream);
    }
    UpstreamCall call(mPool, aSession->head, aSession->stream, aSession->deadline);
    result = call.Run();
  }
  mScheduler.Finish(aSession->head.upstream, result, aSession->head.organisation);
}

void GateServer::Join()
{
  mWorkers.join();
}

} // namespace mustardwinch
