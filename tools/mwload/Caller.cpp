#include "mwload/Caller.h"

#include "base/Sha256.h"
#include "history/WallTime.h"
#include "mwload/Exchange.h"

#include <curl/curl.h>

#include <string>

namespace mustardwinch::load {

namespace {

std::size_t ReadBody(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aExchange)
{
  return static_cast<Exchange*>(aExchange)->Produce(aBuffer, aSize * aCount);
}

std::size_t WriteBody(char* aBytes, std::size_t aSize, std::size_t aCount, void* aExchange)
{
  static_cast<Exchange*>(aExchange)->Consume({ aBytes, aSize * aCount });
  return aSize * aCount;
}

std::size_t WriteHeader(char* aBytes, std::size_t aSize, std::size_t aCount, void* aExchange)
{
  static_cast<Exchange*>(aExchange)->TakeHeader({ aBytes, aSize * aCount });
  return aSize * aCount;
}

int SeekBody(void* aExchange, curl_off_t aOffset, int aOrigin)
{
  if (aOffset != 0 || aOrigin != SEEK_SET) {
    return CURL_SEEKFUNC_FAIL;
  }
  static_cast<Exchange*>(aExchange)->Rewind();
  return CURL_SEEKFUNC_OK;
}

std::string UrlOf(const PlannedCall& aCall)
{
  const PlannedRoute& route = *aCall.route;
  std::string url = "http://" + aCall.node + route.path;
  if (route.echo) {
    url += "?echo=1";
  } else if (route.method == "GET") {
    url += "?size=" + std::to_string(route.size);
  }
  return url;
}

CallRecord RecordOf(const PlannedCall& aCall)
{
  CallRecord record;
  record.id = aCall.id;
  record.organisation = aCall.organisation->name;
  record.keyHash = aCall.organisation->key.empty() ? "" : Sha256::Of(aCall.organisation->key);
  record.node = aCall.node;
  record.method = aCall.route->method;
  record.path = aCall.route->path;
  record.idempotent = aCall.route->idempotent;
  return record;
}

curl_slist* HeadersOf(const PlannedCall& aCall)
{
  curl_slist* list = curl_slist_append(nullptr, ("X-Request-Id: " + aCall.id).c_str());
  if (!aCall.organisation->key.empty()) {
    list = curl_slist_append(list, ("X-Api-Key: " + aCall.organisation->key).c_str());
  }
  if (aCall.route->chunked) {
    list = curl_slist_append(list, "Transfer-Encoding: chunked");
  }
  return curl_slist_append(list, "Expect:");
}

void SetBody(CURL* aCurl, const PlannedCall& aCall, Exchange& aExchange)
{
  const PlannedRoute& route = *aCall.route;
  if (route.method == "GET") {
    return;
  }
  curl_easy_setopt(aCurl, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(aCurl, CURLOPT_CUSTOMREQUEST, route.method.c_str());
  curl_easy_setopt(aCurl, CURLOPT_READFUNCTION, ReadBody);
  curl_easy_setopt(aCurl, CURLOPT_READDATA, &aExchange);
  curl_easy_setopt(aCurl, CURLOPT_SEEKFUNCTION, SeekBody);
  curl_easy_setopt(aCurl, CURLOPT_SEEKDATA, &aExchange);
  const curl_off_t size = route.chunked ? -1 : static_cast<curl_off_t>(route.size);
  curl_easy_setopt(aCurl, CURLOPT_INFILESIZE_LARGE, size);
  curl_easy_setopt(
    aCurl, CURLOPT_MAX_SEND_SPEED_LARGE, static_cast<curl_off_t>(route.bytesPerSecond));
}

} // namespace

struct Caller::Handle
{
  CURL* curl = curl_easy_init();

  Handle() = default;
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
  ~Handle() { curl_easy_cleanup(curl); }
};

Caller::Caller(std::uint64_t aTimeoutMs)
  : mTimeoutMs(aTimeoutMs)
  , mHandle(std::make_unique<Handle>())
{
}

Caller::~Caller() = default;

CallRecord Caller::Call(const PlannedCall& aCall)
{
  CURL* curl = mHandle->curl;
  Exchange exchange(aCall);
  CallRecord record = RecordOf(aCall);
  curl_easy_reset(curl); // keeps the connections
  curl_easy_setopt(curl, CURLOPT_URL, UrlOf(aCall).c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(mTimeoutMs));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, WriteBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &exchange);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, WriteHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &exchange);
  // libcurl sends a request again when a kept connection closes unanswered.
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, aCall.route->idempotent ? 0L : 1L);
  SetBody(curl, aCall, exchange);
  curl_slist* headers = HeadersOf(aCall);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);

  record.sentUs = WallTimeUs();
  const CURLcode result = curl_easy_perform(curl);
  record.answeredUs = WallTimeUs();
  curl_slist_free_all(headers);

  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  record.status = static_cast<int>(status);
  record.whole = result == CURLE_OK;
  if (result != CURLE_OK) {
    record.error = curl_easy_strerror(result);
    record.outcome = result == CURLE_COULDNT_CONNECT ? "unconnected" : "unknown";
  }
  exchange.Finish(record);
  return record;
}

} // namespace mustardwinch::load
