#pragma once

#include "gate/GateRequestHead.h"
#include "gate/ResponseHeadReader.h"
#include "gate/UpstreamChannelPool.h"
#include "health/AttemptResult.h"
#include "link/PeerStream.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * One upstream call for a request that has a slot. Forwards the request body from the stream to the
 * upstream and the response back to the stream, each in bounded memory. Runs on the thread that
 * calls Run().
 *
 * A request that is not idempotent always gets a new connection: libcurl resends a request by
 * itself when a reused connection closes without a response, which would run the request twice.
 *
 * On a reused connection a late copy of an earlier response can come. A response that bears another
 * request's id is passed on to nobody. One that sheds counts as "not run" only with the id of this
 * request or on a new connection.
 */
class UpstreamCall
{
public:
  UpstreamCall(UpstreamChannelPool& aPool,
               const GateRequestHead& aHead,
               std::shared_ptr<PeerStream> aStream,
               TimePoint aDeadline);

  /**
   * Runs the call to its end. The stream receives head, body and end, or kFailed with the result
   * code. The head of a response that sheds the request is not forwarded.
   */
  AttemptResult Run();

private:
  /** Outcome of one libcurl transfer. */
  struct Transfer
  {
    CURLcode code = CURLE_OK;
    bool pooled = false;
  };

  Transfer RunTransfer(bool aFreshConnection);
  void SetUp(CURL* aEasy, bool aFreshConnection);
  void SetUpBody(CURL* aEasy);
  void SetUpHeaders(CURL* aEasy);
  void PerformTransfer(UpstreamChannel& aChannel, Transfer& aTransfer);
  void Unpause(CURL* aEasy);
  bool ShouldAbort(bool aPooled) const;
  AttemptResult ReportResult(const Transfer& aTransfer);
  ResultCode ResultCodeOf(const Transfer& aTransfer) const;
  bool IsOnKeptConnection() const;
  bool MayBelongToAnother() const;
  bool MayBeCut() const;

  std::size_t OnHeaderLine(std::string_view aLine);
  std::size_t OnBody(const char* aData, std::size_t aSize);
  std::size_t OnReadBody(char* aBuffer, std::size_t aSize);

  UpstreamChannelPool& mPool;
  const GateRequestHead& mHead;
  const std::shared_ptr<PeerStream> mStream;
  const TimePoint mDeadline;
  const TimePoint mStart;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> mHeaderList;

  CURL* mEasy = nullptr; //!< of the current transfer
  ResponseHeadReader mResponse;
  bool mRequestSent = false; //!< in any transfer, at least in part
  bool mShed = false;
  bool mForeign = false; //!< the response is, or may be, that of another request
  std::optional<TimePoint> mFirstByte;
  std::string mUnsent;         //!< rest of a chunk that did not fit into the buffer of libcurl
  std::int64_t mBodyBytes = 0; //!< of the request body, read so far
  bool mBodyRead = false;      //!< the whole request body has been
  bool mBodyConsumed = false;  //!< part of the request body has been read: no second transfer
  bool mReadPaused = false;
  bool mWritePaused = false;
};

} // namespace mustardwinch
