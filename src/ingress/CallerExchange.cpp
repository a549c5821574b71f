#include "ingress/CallerExchange.h"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace mustardwinch {
namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
constexpr int kStatusUnauthorized = 401;

const char* OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
    case Outcome::kNone:
      break;
  }
  return "unknown";
}

std::string_view NameOf(ResultCode aCode)
{
  switch (aCode) {
#define MW_RESULT(aNumber, aName, aOutcome, aStatus, aText)                                        \
  case ResultCode::aName:                                                                          \
    return std::string_view(#aName).substr(1);
#include "mustardwinch/ResultCodes.def"
#undef MW_RESULT
    case ResultCode::kOk:
      break;
  }
  return "Ok";
}

bool SaysClose(const HttpHeaders& aHeaders)
{
  const HttpHeader* it = FindHeader(aHeaders, "Connection");
  return it != nullptr && SameHeaderName(it->value, "close");
}

} // namespace

CallerExchange::CallerExchange(mg_connection* aConnection)
  : mConnection(aConnection)
{
  ReadRequest();
}

void CallerExchange::ReadRequest()
{
  const mg_request_info* info = mg_get_request_info(mConnection);
  mMethod = info->request_method;
  mTarget = info->local_uri_raw != nullptr ? info->local_uri_raw : info->request_uri;
  if (info->query_string != nullptr) {
    mTarget += '?';
    mTarget += info->query_string;
  }
  for (int i = 0; i < info->num_headers; ++i) {
    mHeaders.push_back({ info->http_headers[i].name, info->http_headers[i].value });
  }
  const HttpHeader* encoding = FindHeader(mHeaders, "Transfer-Encoding");
  const bool chunked = encoding != nullptr && SameHeaderName(encoding->value, "chunked");
  mBodyLength = chunked ? kUnknownLength : std::max<std::int64_t>(0, info->content_length);
  mHasBody = chunked || mBodyLength > 0;
  mBodyEnded = !mHasBody;
  mExpectsContinue = FindHeader(mHeaders, "Expect") != nullptr;
  mClose = SaysClose(mHeaders) || std::string_view(info->http_version) == "1.0";
}

std::string_view CallerExchange::Path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

void CallerExchange::SendContinue()
{
  if (mExpectsContinue) {
    mExpectsContinue = false;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    Write(kContinue);
  }
}

std::string CallerExchange::ReadBody(std::size_t aMax)
{
  if (mBodyEnded || mBodyFailed) {
    return {};
  }
  SendContinue();
  std::string buf(aMax, '\0');
  const int n = mg_read(mConnection, buf.data(), buf.size());
  if (n <= 0) {
    mBodyEnded = n == 0 && mBodyLength == kUnknownLength;
    mBodyFailed = !mBodyEnded;
    return {};
  }
  buf.resize(static_cast<std::size_t>(n));
  mBodyRead += n;
  mBodyEnded = mBodyRead == mBodyLength;
  return buf;
}

bool CallerExchange::BodyIsWhole() const
{
  return mBodyEnded && !mBodyFailed;
}

bool CallerExchange::Write(std::string_view aBytes)
{
  const int n = mg_write(mConnection, aBytes.data(), aBytes.size());
  const bool whole = n == static_cast<int>(aBytes.size());
  if (!whole) {
    mCallerGone = true;
  }
  return whole;
}

bool CallerExchange::WriteHead(const GateResponseHead& aHead)
{
  mHeadWritten = true;
  mNoBody =
    mMethod == "HEAD" || aHead.status == kStatusNoContent || aHead.status == kStatusNotModified;
  mChunked = aHead.bodyLength == kUnknownLength && !mNoBody;
  // What is left of the caller's body would be read as the next request; CivetWeb itself closes
  // after a 401.
  mClose = mClose || !BodyIsWhole() || aHead.status == kStatusUnauthorized;

  std::string head = "HTTP/1.1 " + std::to_string(aHead.status) + " " +
                     mg_get_response_code_text(mConnection, aHead.status) + "\r\n";
  for (const HttpHeader& it : aHead.headers) {
    head += it.name + ": " + it.value + "\r\n";
  }
  if (mChunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (aHead.bodyLength != kUnknownLength) {
    head += "Content-Length: " + std::to_string(aHead.bodyLength) + "\r\n";
  }
  head += mClose ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
  if (mClose) {
    mg_disable_connection_keep_alive(mConnection);
  }
  return Write(head);
}

bool CallerExchange::WriteBody(std::string_view aBytes)
{
  if (mNoBody || aBytes.empty()) {
    return true;
  }
  if (!mChunked) {
    return Write(aBytes);
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data());
  chunk += aBytes;
  chunk += "\r\n";
  return Write(chunk);
}

void CallerExchange::Finish()
{
  if (mChunked) {
    Write("0\r\n\r\n");
  }
}

void CallerExchange::Abort()
{
  // The length or the last chunk is missing, so a closed connection shows the cut.
  mg_disable_connection_keep_alive(mConnection);
}

void CallerExchange::Refuse(ResultCode aCode, std::string_view aDetail)
{
  const nlohmann::json body{
    { "code", static_cast<int>(aCode) },
    { "name", NameOf(aCode) },
    { "outcome", OutcomeName(OutcomeOf(aCode)) },
    { "text", TextOf(aCode) },
    { "detail", aDetail },
  };
  const std::string text = body.dump() + "\n";
  GateResponseHead head;
  head.status = HttpStatusOf(aCode);
  head.bodyLength = static_cast<std::int64_t>(text.size());
  head.headers = {
    { "Content-Type", "application/json" },
    { "X-Mustardwinch-Code", std::to_string(static_cast<int>(aCode)) },
    { "X-Mustardwinch-Outcome", OutcomeName(OutcomeOf(aCode)) },
  };
  if (WriteHead(head)) {
    WriteBody(text);
  }
  Finish();
}

} // namespace mustardwinch
