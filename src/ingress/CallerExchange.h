#pragma once

#include "gate/GateResponseHead.h"
#include "gate/HttpHeader.h"
#include "mustardwinch/ResultCode.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

struct mg_connection;

namespace mustardwinch {

/**
 * One caller's request and the answer to it, over CivetWeb. Used by the thread that serves the
 * request; only IsCallerGone() is set from elsewhere.
 */
class CallerExchange
{
public:
  /** @param aConnection outlives this object */
  explicit CallerExchange(mg_connection* aConnection);

  const std::string& Method() const { return mMethod; }
  const std::string& Target() const { return mTarget; } //!< path and query as sent
  std::string_view Path() const;                        //!< without the query
  const HttpHeaders& Headers() const { return mHeaders; }
  bool HasBody() const { return mHasBody; }
  std::int64_t BodyLength() const { return mBodyLength; } //!< kUnknownLength if sent in chunks

  /** Reads the next part of the body, at most aMax bytes; empty at its end or after a failure. */
  std::string ReadBody(std::size_t aMax);

  /** True once the whole body was read. */
  bool BodyIsWhole() const;

  /** Makes the caller's connection close after this answer. Call before the head is written. */
  void CloseAfterwards() { mClose = true; }

  /** Writes the head of the answer; false if the caller is gone. */
  bool WriteHead(const GateResponseHead& aHead);

  /** Writes a part of the answer's body; false if the caller is gone. */
  bool WriteBody(std::string_view aBytes);

  /** Ends the answer. */
  void Finish();

  /** Breaks the answer off so that the caller sees that it is not whole. */
  void Abort();

  /** Answers with a refusal: status, numbered code and outcome. */
  void Refuse(ResultCode aCode, std::string_view aDetail = {});

  bool HeadWritten() const { return mHeadWritten; }
  bool IsCallerGone() const { return mCallerGone.load(); }
  void SetCallerGone() { mCallerGone = true; }

private:
  void ReadRequest();
  void SendContinue();
  bool Write(std::string_view aBytes);

  mg_connection* mConnection;
  std::string mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  bool mHasBody = false;
  std::int64_t mBodyLength = 0;
  std::int64_t mBodyRead = 0;
  bool mBodyEnded = false;
  bool mBodyFailed = false;
  bool mExpectsContinue = false;
  bool mClose = false;
  bool mHeadWritten = false;
  bool mChunked = false;
  bool mNoBody = false;
  std::atomic<bool> mCallerGone{ false };
};

} // namespace mustardwinch
