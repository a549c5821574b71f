#include "platform/PlatformServer.h"

#include "platform/JsonText.h"
#include "platform/PlatformJson.h"
#include "platform/PlatformLimits.h"
#include "platform/PlatformVersion.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardwinch {
namespace {

constexpr Milliseconds kMaxWatchWait{ 60'000 };
constexpr const char* kConnectionTimeoutMs = "65000"; //!< longer than the longest watch
constexpr int kOkStatus = 200;
constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kEnvelopeBytes = 4 * 1024; //!< what surrounds the value in a write's body

/** What a request is answered with. */
struct Reply
{
  int status = 200;
  std::string body;
  bool silent = false; //!< the connection is closed without an answer
  std::uint64_t epoch = 0;
  std::uint64_t epochBegin = 0; //!< as a number of that epoch
};

struct Request
{
  std::string_view method;
  std::vector<std::string> segments; //!< of the path
  std::string_view query;
  std::string_view ifMatch;
  std::uint64_t epoch = 0; //!< of the history that versions in the request are of
  std::string body;
};

std::string_view OrEmpty(const char* aText)
{
  return aText == nullptr ? std::string_view() : std::string_view(aText);
}

std::vector<std::string> Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(aSeparator), aText.size());
    if (end > 0) {
      parts.emplace_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t n = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  return ec == std::errc() && rest == end ? std::optional(n) : std::nullopt;
}

/** The value of a query variable; empty if it is absent or too long. */
std::string QueryVariable(std::string_view aQuery, const char* aName)
{
  std::array<char, 4096> buf{};
  const int n = mg_get_var(aQuery.data(), aQuery.size(), aName, buf.data(), buf.size());
  return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
}

/** The object with its versions as numbers of their history. */
PlatformObject AsNumbered(PlatformObject aObject)
{
  aObject.version = PlatformNumberOf(aObject.version);
  aObject.specVersion = PlatformNumberOf(aObject.specVersion);
  return aObject;
}

Reply BadRequest(const std::string& aText)
{
  return { 400, aText };
}

Reply ReplyOf(const Failure& aFailure)
{
  switch (static_cast<ResultCode>(aFailure.code.value())) {
    case ResultCode::kPlatformNotFound:
      return { 404, aFailure.detail };
    case ResultCode::kPlatformConflict:
      return { 409, aFailure.detail };
    case ResultCode::kPlatformCompacted:
      return { 410, aFailure.detail };
    case ResultCode::kPlatformBadAnswer:
      return { 200, "{\"kind\": 7, " };
    case ResultCode::kPlatformUnavailable:
      return { 0, {}, true };
    default:
      return BadRequest(aFailure.detail);
  }
}

/** Versions leave as the numbers of their history, whose epoch stands in a header. */
Reply ReplyOf(const Result<PlatformObject>& aResult, std::uint64_t aEpochBegin)
{
  if (!aResult) {
    return ReplyOf(aResult.Error());
  }
  const std::uint64_t epoch = PlatformEpochOf(aResult.Value().version);
  const bool same = epoch == PlatformEpochOf(aEpochBegin);
  const std::uint64_t begin = same ? PlatformNumberOf(aEpochBegin) : 0;
  return { 200, DumpJson(ToJson(AsNumbered(aResult.Value()))), false, epoch, begin };
}

Reply ReplyOf(const Result<PlatformChanges>& aResult)
{
  if (!aResult) {
    return ReplyOf(aResult.Error());
  }
  PlatformChanges changes = aResult.Value();
  const std::uint64_t epoch = PlatformEpochOf(changes.revision);
  changes.revision = PlatformNumberOf(changes.revision);
  for (PlatformObject& it : changes.objects) {
    it = AsNumbered(std::move(it));
  }
  return { 200, DumpJson(ToJson(changes)), false, epoch, PlatformNumberOf(changes.epochBegin) };
}

Reply HandleWrite(MemoryPlatform& aPlatform, const Request& aRequest)
{
  const auto expected = ParseNumber(aRequest.ifMatch);
  if (!expected) {
    return BadRequest("the header If-Match must hold a version");
  }
  PlatformWrite write;
  write.kind = aRequest.segments[1];
  write.name = aRequest.segments[2];
  write.expectedVersion = MakePlatformVersion(aRequest.epoch, *expected);
  if (aRequest.method == "DELETE") {
    write.part = PlatformWrite::Part::kDelete;
  } else if (aRequest.segments.size() == 4) {
    write.part = PlatformWrite::Part::kStatus;
  }
  const Result<PlatformWrite> whole = WriteFromText(aRequest.body, std::move(write));
  return whole ? ReplyOf(aPlatform.Write(whole.Value()), aPlatform.EpochBegin())
               : ReplyOf(whole.Error());
}

Reply HandleObject(MemoryPlatform& aPlatform, const Request& aRequest)
{
  const std::size_t depth = aRequest.segments.size();
  const bool isStatus = depth == 4 && aRequest.segments[3] == "status";
  if (aRequest.method == "GET" && depth == 3) {
    return ReplyOf(aPlatform.Get(aRequest.segments[1], aRequest.segments[2]),
                   aPlatform.EpochBegin());
  }
  if (aRequest.method == "PUT" && (depth == 3 || isStatus)) {
    return HandleWrite(aPlatform, aRequest);
  }
  if (aRequest.method == "DELETE" && depth == 3) {
    return HandleWrite(aPlatform, aRequest);
  }
  return BadRequest("no such object path or method");
}

std::vector<std::string> KindsOf(const Request& aRequest)
{
  return Split(QueryVariable(aRequest.query, "kinds"), ',');
}

Reply HandleWatch(MemoryPlatform& aPlatform, const Request& aRequest)
{
  const auto from = ParseNumber(QueryVariable(aRequest.query, "from"));
  const auto wait = ParseNumber(QueryVariable(aRequest.query, "wait_ms"));
  const auto maxWait = static_cast<std::uint64_t>(kMaxWatchWait.count());
  if (!from || !wait || *wait > maxWait) {
    return BadRequest("from must be a revision and wait_ms at most " + std::to_string(maxWait));
  }
  const Milliseconds span(static_cast<std::int64_t>(*wait));
  const std::uint64_t revision = (aRequest.epoch << kPlatformNumberBits) + *from;
  return ReplyOf(aPlatform.Watch(KindsOf(aRequest), revision, span));
}

Reply HandleFaults(MemoryPlatform& aPlatform, const Request& aRequest)
{
  if (aRequest.method == "POST") {
    const Result<PlatformFaults> faults = FaultsFromText(aRequest.body);
    if (!faults) {
      return ReplyOf(faults.Error());
    }
    aPlatform.SetFaults(faults.Value());
  }
  return { 200, DumpJson(ToJson(aPlatform.Faults())) };
}

/** What befalls the platform's history, for tests. */
Reply HandleHistory(MemoryPlatform& aPlatform, const std::string& aWhat)
{
  if (aWhat == "compact") {
    aPlatform.Compact();
  } else if (aWhat == "copy") {
    aPlatform.TakeCopy();
  } else if (aWhat == "restore") {
    aPlatform.RestoreCopy();
  } else {
    return { 404, "no such path" };
  }
  return { 200, "{}", false, aPlatform.Epoch() };
}

Reply Dispatch(MemoryPlatform& aPlatform, const Request& aRequest)
{
  const std::string area = aRequest.segments.empty() ? "" : aRequest.segments.front();
  const bool alone = aRequest.segments.size() == 1;
  if (area == "objects" && alone && aRequest.method == "GET") {
    return ReplyOf(aPlatform.List(KindsOf(aRequest)));
  }
  if (area == "objects" && !alone) {
    return HandleObject(aPlatform, aRequest);
  }
  if (area == "watch" && alone && aRequest.method == "GET") {
    return HandleWatch(aPlatform, aRequest);
  }
  if (area == "faults" && alone) {
    return HandleFaults(aPlatform, aRequest);
  }
  if (area == "counts" && alone) {
    return { 200, DumpJson(ToJson(aPlatform.Counts())) };
  }
  if (alone && aRequest.method == "POST") {
    return HandleHistory(aPlatform, area);
  }
  return { 404, "no such path" };
}

/** Reads the body; nothing if it is too long or ends early. */
std::optional<std::string> ReadBody(mg_connection* aConnection, long long aLength)
{
  constexpr std::size_t kMaxBody = kMaxPlatformBodyBytes + kEnvelopeBytes;
  std::string body;
  std::array<char, kReadChunkBytes> buf{};
  for (;;) {
    const int n = mg_read(aConnection, buf.data(), buf.size());
    if (n <= 0) {
      break;
    }
    body.append(buf.data(), static_cast<std::size_t>(n));
    if (body.size() > kMaxBody) {
      return std::nullopt;
    }
  }
  const bool whole = aLength < 0 || body.size() == static_cast<std::size_t>(aLength);
  return whole ? std::optional(std::move(body)) : std::nullopt;
}

void SendReply(mg_connection* aConnection, const Reply& aReply)
{
  if (aReply.silent) {
    return;
  }
  const char* type = aReply.status == 200 ? "application/json" : "text/plain";
  mg_printf(aConnection,
            "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
            "%s: %llu\r\n%s: %llu\r\nConnection: close\r\n\r\n",
            aReply.status,
            mg_get_response_code_text(aConnection, aReply.status),
            type,
            aReply.body.size(),
            kPlatformEpochHeader,
            static_cast<unsigned long long>(aReply.epoch),
            kPlatformEpochBeginHeader,
            static_cast<unsigned long long>(aReply.epochBegin));
  mg_write(aConnection, aReply.body.data(), aReply.body.size());
}

} // namespace

std::unique_ptr<PlatformServer> PlatformServer::Make(const Address& aListen,
                                                     std::shared_ptr<MemoryPlatform> aPlatform,
                                                     int aThreads)
{
  assert(aPlatform != nullptr && aThreads > 0);
  std::unique_ptr<PlatformServer> server(new PlatformServer(std::move(aPlatform)));
  const std::string address = aListen.ToString();
  const std::string threads = std::to_string(aThreads);
  const std::array<const char*, 11> options{
    "listening_ports",
    address.c_str(),
    "num_threads",
    threads.c_str(),
    "enable_keep_alive",
    "no",
    "tcp_nodelay",
    "1",
    "request_timeout_ms",
    kConnectionTimeoutMs,
    nullptr,
  };
  const mg_callbacks callbacks{};
  // CivetWeb takes the options as a pointer to non-const pointers, but does not change them.
  server->mContext = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
  if (server->mContext == nullptr) {
    return nullptr;
  }
  mg_server_port port{};
  mg_get_server_ports(server->mContext, 1, &port);
  server->mListen = Address{ aListen.ip, static_cast<std::uint16_t>(port.port) };
  mg_set_request_handler(server->mContext, "/", &PlatformServer::HandleRequest, server.get());
  return server;
}

PlatformServer::PlatformServer(std::shared_ptr<MemoryPlatform> aPlatform)
  : mPlatform(std::move(aPlatform))
{
}

PlatformServer::~PlatformServer()
{
  if (mContext != nullptr) {
    Platform()->Close();
    mg_stop(mContext);
  }
}

std::shared_ptr<MemoryPlatform> PlatformServer::Platform() const
{
  std::lock_guard lock(mMutex);
  return mPlatform;
}

void PlatformServer::Replace(std::shared_ptr<MemoryPlatform> aPlatform)
{
  assert(aPlatform != nullptr);
  std::unique_lock lock(mMutex);
  const auto before = std::exchange(mPlatform, std::move(aPlatform));
  lock.unlock();
  before->Close();
}

int PlatformServer::HandleRequest(mg_connection* aConnection, void* aServer)
{
  const auto* server = static_cast<PlatformServer*>(aServer);
  const mg_request_info* info = mg_get_request_info(aConnection);
  std::optional<std::string> body = ReadBody(aConnection, info->content_length);
  const auto platform = server->Platform();
  Reply reply{ 413, "the body is too large or ended early" };
  if (body) {
    Request request;
    request.method = OrEmpty(info->request_method);
    request.segments = Split(OrEmpty(info->local_uri), '/');
    request.query = OrEmpty(info->query_string);
    request.ifMatch = OrEmpty(mg_get_header(aConnection, "If-Match"));
    request.body = std::move(*body);
    const auto epoch = ParseNumber(OrEmpty(mg_get_header(aConnection, kPlatformEpochHeader)));
    request.epoch = std::min(epoch.value_or(platform->Epoch()), kMaxPlatformEpoch);
    reply = Dispatch(*platform, request);
  }
  if (reply.status != kOkStatus) {
    reply.epoch = platform->Epoch();
    reply.epochBegin = PlatformNumberOf(platform->EpochBegin());
  }
  SendReply(aConnection, reply);
  constexpr int kHandled = 200;
  return kHandled;
}

} // namespace mustardwinch
