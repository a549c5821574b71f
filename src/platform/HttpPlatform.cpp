#include "platform/HttpPlatform.h"

#include "gate/HttpHeader.h"
#include "platform/HttpCall.h"
#include "platform/JsonText.h"
#include "platform/PlatformJson.h"
#include "platform/PlatformLimits.h"
#include "platform/PlatformVersion.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <string_view>

namespace mustardwinch {
namespace {

constexpr long kHttpOk = 200;
constexpr long kHttpNotFound = 404;
constexpr long kHttpConflict = 409;
constexpr long kHttpGone = 410;
constexpr long kHttpTooManyRequests = 429;
constexpr long kHttpFirstClientError = 400;
constexpr long kHttpFirstServerError = 500;

/** Collects the body of an answer up to a bound. */
struct BodySink
{
  std::string body;
  std::size_t limit = 0;
};

std::size_t AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSink)
{
  auto* sink = static_cast<BodySink*>(aSink);
  const std::size_t n = aSize * aCount;
  if (sink->body.size() + n > sink->limit) {
    return 0;
  }
  sink->body.append(aData, n);
  return n;
}

/** What the head of an answer tells. */
struct HeadSink
{
  bool whole = false; //!< the last head is: interim ones come before it, and trailers after it
  std::uint64_t epoch = 0;
  std::uint64_t epochBegin = 0;
};

/** Reads the number in a header line of this name; others, and larger numbers, change nothing. */
void ReadNumber(std::string_view aLine,
                const char* aName,
                std::uint64_t aMost,
                std::uint64_t& aNumber)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !SameHeaderName(aLine.substr(0, colon), aName)) {
    return;
  }
  const std::size_t begin = std::min(aLine.find_first_not_of(' ', colon + 1), aLine.size());
  std::uint64_t n = 0;
  const auto result = std::from_chars(aLine.data() + begin, aLine.data() + aLine.size(), n);
  if (result.ec == std::errc() && n <= aMost) {
    aNumber = n;
  }
}

std::size_t ReadHeadLine(char* aData, std::size_t aSize, std::size_t aCount, void* aHead)
{
  const std::string_view line(aData, aSize * aCount);
  auto& head = *static_cast<HeadSink*>(aHead);
  head.whole = line == "\r\n" || line == "\n" || (head.whole && !line.starts_with("HTTP/"));
  ReadNumber(line, kPlatformEpochHeader, kMaxPlatformEpoch, head.epoch);
  ReadNumber(line, kPlatformEpochBeginHeader, kMaxPlatformNumber, head.epochBegin);
  return line.size();
}

std::string EpochHeader(std::uint64_t aVersion)
{
  return std::string(kPlatformEpochHeader) + ": " + std::to_string(PlatformEpochOf(aVersion));
}

/** Puts the epoch of the answer into the versions that it holds. */
void SetEpoch(PlatformObject& aObject, const HttpAnswer& aAnswer)
{
  aObject.copied = aObject.version <= aAnswer.epochBegin;
  aObject.version = MakePlatformVersion(aAnswer.epoch, aObject.version);
  aObject.specVersion = MakePlatformVersion(aAnswer.epoch, aObject.specVersion);
}

void SetEpoch(PlatformChanges& aChanges, const HttpAnswer& aAnswer)
{
  aChanges.revision += aAnswer.epoch << kPlatformNumberBits;
  aChanges.epochBegin = MakePlatformVersion(aAnswer.epoch, aAnswer.epochBegin);
  for (PlatformObject& it : aChanges.objects) {
    SetEpoch(it, aAnswer);
  }
}

void InitCurlOnce()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

HeaderList MakeHeaders(const std::vector<std::string>& aHeaders)
{
  HeaderList list(nullptr, &curl_slist_free_all);
  for (const std::string& it : aHeaders) {
    curl_slist* longer = curl_slist_append(list.get(), it.c_str());
    if (longer != nullptr) {
      static_cast<void>(list.release());
      list.reset(longer);
    }
  }
  return list;
}

std::string JoinKinds(const std::vector<std::string>& aKinds)
{
  std::string text;
  for (const std::string& it : aKinds) {
    text += text.empty() ? "" : ",";
    text += it;
  }
  return text;
}

std::string ObjectPath(const std::string& aKind, const std::string& aName)
{
  return "/objects/" + aKind + "/" + aName;
}

/** A failure that the status of an answer stands for; kOk if it is a success. */
ResultCode CodeOfStatus(long aStatus)
{
  switch (aStatus) {
    case kHttpOk:
      return ResultCode::kOk;
    case kHttpNotFound:
      return ResultCode::kPlatformNotFound;
    case kHttpConflict:
      return ResultCode::kPlatformConflict;
    case kHttpGone:
      return ResultCode::kPlatformCompacted;
    case kHttpTooManyRequests:
      return ResultCode::kPlatformUnavailable;
    default:
      break;
  }
  if (aStatus >= kHttpFirstServerError) {
    return ResultCode::kPlatformUnavailable;
  }
  const bool rejected = aStatus >= kHttpFirstClientError;
  return rejected ? ResultCode::kPlatformRejected : ResultCode::kPlatformBadAnswer;
}

/** The failure of an answer that is none of the wanted kind; the text is cut to one short line. */
Failure FailureOf(const HttpAnswer& aAnswer)
{
  constexpr std::size_t kMaxDetail = 200;
  const std::string status = "HTTP " + std::to_string(aAnswer.status);
  return { CodeOfStatus(aAnswer.status), status + ": " + aAnswer.body.substr(0, kMaxDetail) };
}

template<typename T>
Result<T> ReadAnswer(const Result<HttpAnswer>& aAnswer, Result<T> (*aRead)(std::string_view))
{
  if (!aAnswer) {
    return aAnswer.Error();
  }
  if (CodeOfStatus(aAnswer.Value().status) != ResultCode::kOk) {
    return FailureOf(aAnswer.Value());
  }
  Result<T> value = aRead(aAnswer.Value().body);
  if (value) {
    SetEpoch(value.Value(), aAnswer.Value());
  }
  return value;
}

/** Guards against an answer that belongs to another request. */
Result<PlatformObject> OnlyIfNamed(Result<PlatformObject> aObject,
                                   const std::string& aKind,
                                   const std::string& aName)
{
  if (aObject && (aObject.Value().kind != aKind || aObject.Value().name != aName)) {
    return { ResultCode::kPlatformBadAnswer, "the answer is about another object" };
  }
  return aObject;
}

bool AreKinds(const std::vector<std::string>& aKinds)
{
  for (const std::string& it : aKinds) {
    if (!IsPlatformName(it)) {
      return false;
    }
  }
  return true;
}

Failure BadName()
{
  return { ResultCode::kPlatformRejected, "a kind or name has a character that is not allowed" };
}

} // namespace

std::shared_ptr<HttpPlatform> HttpPlatform::Make(std::vector<Address> aAddresses,
                                                 HttpPlatformOptions aOptions)
{
  if (aAddresses.empty()) {
    return nullptr;
  }
  InitCurlOnce();
  return std::shared_ptr<HttpPlatform>(new HttpPlatform(std::move(aAddresses), aOptions));
}

HttpPlatform::HttpPlatform(std::vector<Address> aAddresses, HttpPlatformOptions aOptions)
  : mAddresses(std::move(aAddresses))
  , mOptions(aOptions)
{
}

Result<PlatformObject> HttpPlatform::Get(const std::string& aKind, const std::string& aName)
{
  if (!IsPlatformName(aKind) || !IsPlatformName(aName)) {
    return BadName();
  }
  HttpCall call;
  call.method = "GET";
  call.path = ObjectPath(aKind, aName);
  call.timeout = mOptions.callTimeout;
  return OnlyIfNamed(ReadAnswer(Call(call), ObjectFromText), aKind, aName);
}

Result<PlatformChanges> HttpPlatform::List(const std::vector<std::string>& aKinds)
{
  if (!AreKinds(aKinds)) {
    return BadName();
  }
  HttpCall call;
  call.method = "GET";
  call.path = "/objects?kinds=" + JoinKinds(aKinds);
  call.timeout = mOptions.listTimeout;
  return ReadAnswer(Call(call), ChangesFromText);
}

Result<PlatformObject> HttpPlatform::Write(const PlatformWrite& aWrite)
{
  if (const auto failure = CheckWrite(aWrite)) {
    return *failure;
  }
  HttpCall call;
  call.method = aWrite.part == PlatformWrite::Part::kDelete ? "DELETE" : "PUT";
  call.path = ObjectPath(aWrite.kind, aWrite.name);
  if (aWrite.part == PlatformWrite::Part::kStatus) {
    call.path += "/status";
  }
  call.headers = { "If-Match: " + std::to_string(PlatformNumberOf(aWrite.expectedVersion)),
                   EpochHeader(aWrite.expectedVersion),
                   "Content-Type: application/json",
                   "Expect:" };
  call.body = DumpJson(WriteBodyToJson(aWrite));
  call.timeout = mOptions.callTimeout;
  call.isWrite = true;
  return OnlyIfNamed(ReadAnswer(Call(call), ObjectFromText), aWrite.kind, aWrite.name);
}

Result<PlatformChanges> HttpPlatform::Watch(const std::vector<std::string>& aKinds,
                                            std::uint64_t aRevision,
                                            Milliseconds aWait)
{
  if (!AreKinds(aKinds)) {
    return BadName();
  }
  HttpCall call;
  call.method = "GET";
  call.path = "/watch?kinds=" + JoinKinds(aKinds) +
              "&from=" + std::to_string(PlatformNumberOf(aRevision)) +
              "&wait_ms=" + std::to_string(aWait.count());
  call.headers = { EpochHeader(aRevision) };
  call.timeout = aWait + mOptions.watchSlack;
  return ReadAnswer(Call(call), ChangesFromText);
}

Result<HttpAnswer> HttpPlatform::Call(const HttpCall& aCall)
{
  const std::size_t first = mCurrent.load();
  Result<HttpAnswer> answer(ResultCode::kPlatformUnavailable);
  for (std::size_t i = 0; i < mAddresses.size(); ++i) {
    const std::size_t n = (first + i) % mAddresses.size();
    bool sent = false;
    answer = CallAddress(mAddresses[n], aCall, sent);
    if (sent) {
      // A call that was sent is not sent again; the next one goes elsewhere if this one failed.
      mCurrent.store(answer ? n : (n + 1) % mAddresses.size());
      return answer;
    }
  }
  return answer;
}

void HttpPlatform::NoteEpoch(std::uint64_t aEpoch)
{
  std::uint64_t known = mEpoch.load();
  while (known < aEpoch && !mEpoch.compare_exchange_weak(known, aEpoch)) {
  }
}

Result<HttpAnswer> HttpPlatform::CallAddress(const Address& aAddress,
                                             const HttpCall& aCall,
                                             bool& aSent)
{
  const CurlPool::Handle handle = mPool.Take();
  if (handle == nullptr) {
    return { ResultCode::kPlatformUnavailable, "libcurl gives no handle" };
  }
  CURL* curl = handle.get();
  const std::string url = "http://" + aAddress.ToString() + aCall.path;
  const HeaderList headers = MakeHeaders(aCall.headers);
  BodySink sink{ {}, mOptions.maxAnswerBytes };
  HeadSink head;

  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aCall.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, long{ mOptions.connectTimeout.count() });
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, long{ aCall.timeout.count() });
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &sink);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &ReadHeadLine);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
  if (aCall.isWrite) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(aCall.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aCall.body.c_str());
    // On a reused connection that closes without an answer libcurl sends the request again, and the
    // second try of a write that took effect would be told of a conflict with itself.
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  }

  const CURLcode code = curl_easy_perform(curl);
  curl_off_t sentAfter = 0;
  curl_easy_getinfo(curl, CURLINFO_PRETRANSFER_TIME_T, &sentAfter);
  aSent = sentAfter > 0;
  if (code == CURLE_WRITE_ERROR) {
    return { ResultCode::kPlatformBadAnswer, aAddress.ToString() + ": the answer is too long" };
  }
  if (code != CURLE_OK) {
    return { ResultCode::kPlatformUnavailable,
             aAddress.ToString() + ": " + curl_easy_strerror(code) };
  }
  if (!head.whole) { // libcurl reports no error for an end inside the head
    return { ResultCode::kPlatformUnavailable, aAddress.ToString() + ": the head was cut" };
  }
  HttpAnswer answer;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
  answer.body = std::move(sink.body);
  answer.epoch = head.epoch;
  NoteEpoch(head.epoch);
  answer.epochBegin = head.epochBegin;
  return answer;
}

} // namespace mustardwinch
