#include "ingress/AnswerPump.h"

#include "base/SteadyTime.h"
#include "gate/GateCodec.h"

#include <algorithm>
#include <charconv>

namespace mustardwinch {
namespace {

/** How often a waiting request looks whether its caller is still there. */
constexpr Milliseconds kCallerCheckPeriod{ 100 };

/** How often an upload that waits for window looks at its caller. */
constexpr Milliseconds kWindowCheckPeriod{ 5 };

/** Time that a gate has beyond the deadline to tell how the call ended. */
constexpr Milliseconds kDeadlineGrace{ 250 };

/** Start of an answer that is held back, in bytes and in time. */
constexpr std::size_t kHeldBytes = 64 * 1024;
constexpr Milliseconds kHoldLimit{ 200 };

ResultCode ParseFailure(const std::string& aPayload)
{
  std::uint32_t n = 0;
  std::from_chars(aPayload.data(), aPayload.data() + aPayload.size(), n);
  const ResultCode code = ResultCodeFromNumber(n);
  return code == ResultCode::kOk ? ResultCode::kUpstreamFailed : code;
}

} // namespace

AnswerPump::AnswerPump(CallerExchange& aExchange,
                       Body& aBody,
                       std::shared_ptr<PeerStream> aStream,
                       TimePoint aDeadline)
  : mExchange(aExchange)
  , mBody(aBody)
  , mStream(std::move(aStream))
  , mDeadline(aDeadline)
  , mBegin(SteadyNow())
{
}

AttemptResult AnswerPump::Run()
{
  End end = WaitAccepted();
  if (!end) {
    end = SendFirst();
  }
  if (!end) {
    end = SendRest();
  }
  if (!end) {
    end = ReceiveAnswer();
  }
  AttemptResult result;
  result.code = *end;
  result.pathFailed = mPathFailed;
  result.status = mHead ? mHead->status : 0;
  result.total = SteadyNow() - mBegin;
  result.firstByte = mFirstByte ? *mFirstByte - mBegin : result.total;
  // Tells the gate that the stream is over; a call that still runs is cancelled.
  mStream->Reset(result.code);
  return result;
}

AnswerPump::End AnswerPump::WaitAccepted()
{
  while (!mAccepted) {
    if (End end = CheckCaller()) {
      return end;
    }
    if (End end = HandleEvent(mStream->Read(SteadyNow() + kCallerCheckPeriod))) {
      return end;
    }
  }
  return std::nullopt;
}

AnswerPump::End AnswerPump::SendFirst()
{
  if (!mBody.firstTaken && mExchange.HasBody()) {
    mBody.firstTaken = true;
    mBody.first = mExchange.ReadBody(kStreamChunkBytes);
  }
  if (!mBody.first.empty() && !mStream->Send(StreamTag::kBody, mBody.first, mDeadline)) {
    return HandleEvent(mStream->TryRead()).value_or(ResultCode::kDeadlineAfterSend);
  }
  return std::nullopt;
}

AnswerPump::End AnswerPump::SendRest()
{
  while (mExchange.HasBody() && !mExchange.BodyIsWhole()) {
    mBody.streamed = true;
    std::string chunk = mExchange.ReadBody(kStreamChunkBytes);
    if (chunk.empty() && !mExchange.BodyIsWhole()) {
      return ResultCode::kBodyCut;
    }
    if (chunk.empty()) {
      break; // the end of a body that came in chunks
    }
    if (End end = KeepAnswerMoving()) {
      return end;
    }
    mStream->Send(StreamTag::kBody, std::move(chunk), mDeadline);
  }
  if (mExchange.HasBody()) {
    mStream->SendEnd();
  }
  return std::nullopt;
}

AnswerPump::End AnswerPump::KeepAnswerMoving()
{
  while (!mStream->HasWindow()) {
    if (End end = HandleEvent(mStream->Read(SteadyNow() + kWindowCheckPeriod))) {
      return end;
    }
    if (End end = CheckCaller()) {
      return end;
    }
  }
  while (true) {
    const StreamEvent event = mStream->TryRead();
    if (std::holds_alternative<StreamIdle>(event)) {
      return std::nullopt;
    }
    if (End end = HandleEvent(event)) {
      return end;
    }
  }
}

AnswerPump::End AnswerPump::ReceiveAnswer()
{
  while (true) {
    if (End end = HandleEvent(mStream->Read(SteadyNow() + kCallerCheckPeriod))) {
      return end;
    }
    if (End end = CheckCaller()) {
      return end;
    }
  }
}

AnswerPump::End AnswerPump::CheckCaller()
{
  if (mExchange.IsCallerGone()) {
    return ResultCode::kCallerGone;
  }
  if (mHead && !mReleased && SteadyNow() - *mFirstByte > kHoldLimit) {
    return Release();
  }
  if (SteadyNow() > mDeadline + kDeadlineGrace) {
    // A gate that is reached tells how the call ended before this.
    mPathFailed = true;
    const bool certain = mStream->NothingSent();
    return certain ? ResultCode::kDeadlineBeforeRun : ResultCode::kDeadlineAfterSend;
  }
  return std::nullopt;
}

AnswerPump::End AnswerPump::HandleEvent(const StreamEvent& aEvent)
{
  if (const auto* chunk = std::get_if<StreamChunk>(&aEvent)) {
    return HandleChunk(*chunk);
  }
  if (std::holds_alternative<StreamEnd>(aEvent)) {
    return HandleEnd();
  }
  if (const auto* reset = std::get_if<StreamReset>(&aEvent)) {
    return HandleReset(reset->code);
  }
  return std::nullopt;
}

AnswerPump::End AnswerPump::HandleChunk(const StreamChunk& aChunk)
{
  switch (aChunk.tag) {
    case StreamTag::kAccepted:
      mAccepted = true;
      return std::nullopt;
    case StreamTag::kHead:
      mHead = ParseResponseHead(aChunk.payload);
      mFirstByte = SteadyNow();
      return mHead ? End{} : ResultCode::kUpstreamFailed;
    case StreamTag::kBody:
      if (!mHead) {
        return ResultCode::kUpstreamFailed;
      }
      if (mReleased) {
        return mExchange.WriteBody(aChunk.payload) ? End{} : ResultCode::kCallerGone;
      }
      mHeld += aChunk.payload;
      return mHeld.size() > kHeldBytes ? Release() : End{};
    case StreamTag::kFailed:
      return ParseFailure(aChunk.payload);
  }
  return ResultCode::kUpstreamFailed;
}

AnswerPump::End AnswerPump::HandleEnd()
{
  if (!mHead) {
    return ResultCode::kUpstreamFailed;
  }
  if (mHead->bodyLength == kUnknownLength) {
    // The whole body is here: its length can be told.
    mHead->bodyLength = mReleased ? kUnknownLength : static_cast<std::int64_t>(mHeld.size());
  }
  if (End end = Release()) {
    return end;
  }
  mExchange.Finish();
  return ResultCode::kOk;
}

AnswerPump::End AnswerPump::Release()
{
  if (mReleased) {
    return std::nullopt;
  }
  mReleased = true;
  const bool sent = mExchange.WriteHead(*mHead) && mExchange.WriteBody(mHeld);
  mHeld.clear();
  return sent ? End{} : ResultCode::kCallerGone;
}

AnswerPump::End AnswerPump::HandleReset(ResultCode aCode)
{
  const bool linkLost =
    aCode == ResultCode::kLinkDown || aCode == ResultCode::kStreamReset || aCode == ResultCode::kOk;
  if (!linkLost && !mAccepted) {
    return aCode;
  }
  mPathFailed = linkLost;
  if (mStream->NothingSent()) {
    return ResultCode::kGateConnectFailed;
  }
  return mFirstByte ? ResultCode::kAnswerCut : ResultCode::kUpstreamFailed;
}

} // namespace mustardwinch
