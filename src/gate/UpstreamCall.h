#pragma once

#include "gate/GateRequestHead.h"
#include "gate/GateResponseHead.h"
#include "gate/UpstreamChannelPool.h"
#include "health/AttemptResult.h"
#include "link/PeerStream.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * One call of an upstream for a request that has a slot: passes the caller's body on from the
 * stream, and the answer back into it, each in bounded memory. Runs on the thread that calls Run().
 *
 * A request that is not idempotent always gets a new connection: libcurl sends a request again by
 * itself when a used connection closes without an answer, which would run it twice.
 */
class UpstreamCall
{
public:
  UpstreamCall(UpstreamChannelPool& aPool,
               const GateRequestHead& aHead,
               std::shared_ptr<PeerStream> aStream,
               TimePoint aDeadline);

  /**
   * Runs the call to its end. The stream gets head, body and end, or kFailed with the result's
   * code; the head of an answer that says "shed" is not passed on.
   */
  AttemptResult Run();

private:
  /** What one transfer did. */
  struct Transfer
  {
    CURLcode code = CURLE_OK;
    bool pooled = false;
    bool requestSent = false;
  };

  Transfer RunOnce(bool aFresh);
  void SetUp(CURL* aEasy, bool aFresh);
  void SetUpBody(CURL* aEasy);
  void SetUpHeaders(CURL* aEasy);
  void Drive(UpstreamChannel& aChannel, Transfer& aTransfer);
  void Unpause(CURL* aEasy);
  bool MustStop(bool aPooled) const;
  AttemptResult Conclude(const Transfer& aTransfer);
  ResultCode CodeOf(const Transfer& aTransfer) const;

  std::size_t OnHeaderLine(std::string_view aLine);
  std::size_t OnBody(const char* aData, std::size_t aSize);
  std::size_t OnReadBody(char* aBuffer, std::size_t aSize);

  UpstreamChannelPool& mPool;
  const GateRequestHead& mHead;
  const std::shared_ptr<PeerStream> mStream;
  const TimePoint mDeadline;
  const TimePoint mBegin;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> mHeaderList;

  GateResponseHead mAnswer;
  bool mHeadPassedOn = false;
  bool mShed = false;
  std::optional<TimePoint> mFirstByte;
  std::string mUnsent;        //!< part of a chunk that libcurl had no room for
  bool mBodyConsumed = false; //!< some of the caller's body is gone: no second transfer
  bool mReadPaused = false;
  bool mWritePaused = false;
};

} // namespace mustardwinch
