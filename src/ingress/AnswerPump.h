#pragma once

#include "gate/GateResponseHead.h"
#include "health/AttemptResult.h"
#include "ingress/CallerExchange.h"
#include "link/PeerStream.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * Carries one attempt between the caller and the stream to the gate: the body up, the answer down,
 * interleaved, each in bounded memory.
 *
 * The first part of the body is kept until the gate has a slot, so that a refused attempt can be
 * made again elsewhere with nothing lost.
 */
class AnswerPump
{
public:
  /** What the caller's body looks like to an attempt. Shared by all attempts of a request. */
  struct Body
  {
    std::string first;       //!< first part, kept for another attempt
    bool firstTaken = false; //!< the first part was read from the caller
    bool streamed = false;   //!< more than the first part went to a gate: no other attempt
  };

  AnswerPump(CallerExchange& aExchange,
             Body& aBody,
             std::shared_ptr<PeerStream> aStream,
             TimePoint aDeadline);

  /** Runs the attempt to its end. If the answer began, it is whole or broken off afterwards. */
  AttemptResult Run();

private:
  /** Whether the attempt goes on, and how it ended if not. */
  using End = std::optional<ResultCode>;

  End WaitAccepted();
  End SendFirst();
  End SendRest();

  /**
   * Waits for window and passes on what has come of the answer: an upstream may answer before it
   * has read the whole body.
   */
  End KeepAnswerMoving();
  End ReceiveAnswer();
  End HandleEvent(const StreamEvent& aEvent);
  End HandleChunk(const StreamChunk& aChunk);
  End HandleEnd();
  End HandleReset(ResultCode aCode);
  End CheckCaller();

  /** Sends the head and the held part of the body to the caller. */
  End Release();

  CallerExchange& mExchange;
  Body& mBody;
  const std::shared_ptr<PeerStream> mStream;
  const TimePoint mDeadline;
  const TimePoint mBegin;
  bool mAccepted = false;
  bool mPathFailed = false; //!< the gate went silent or the link to it was lost
  std::optional<TimePoint> mFirstByte;
  std::optional<GateResponseHead> mHead;
  std::string mHeld;      //!< start of the answer's body, not yet sent to the caller
  bool mReleased = false; //!< the head is sent: the attempt can't be made again
};

} // namespace mustardwinch
