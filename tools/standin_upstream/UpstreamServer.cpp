#include "standin_upstream/UpstreamServer.h"

#include "base/Sha256.h"
#include "history/BodyPattern.h"
#include "history/WallTime.h"
#include "standin_upstream/HttpReply.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace mustardwinch::standin {

namespace {

constexpr std::size_t kBufferBytes = 32 * 1024;
constexpr Milliseconds kStep{ 5 }; // between looks at the client while work goes on
constexpr std::uint64_t kDefaultSize = 64;

using Buffer = std::array<char, kBufferBytes>;

std::string Text(const char* aText)
{
  return aText == nullptr ? std::string() : std::string(aText);
}

ClientConnection* ClientOf(const mg_connection* aConnection)
{
  return static_cast<ClientConnection*>(mg_get_user_connection_data(aConnection));
}

/** CivetWeb leaves "Expect: 100-continue" to the handler; without an answer curl waits a second. */
void ContinueIfExpected(mg_connection* aConnection)
{
  if (mg_get_header(aConnection, "Expect") != nullptr) {
    mg_printf(aConnection, "HTTP/1.1 100 Continue\r\n\r\n");
  }
}

} // namespace

struct UpstreamServer::Request
{
  mg_connection* connection;
  Behaviour behaviour;
  RunRecord record;
  LoadModel& load;
  bool working = true; //!< takes a part of the capacity

  /** Gives its part of the capacity back. Call it before the answer, which lets the client go on.
   */
  void EndWork();
  bool ReadBody(Sha256& aHash);
  bool Echo();
  bool AnswerBody(bool aHalf);
  bool AnswerHash(Sha256& aHash, bool aHalf);
  bool AnswerText(const std::string& aText, bool aHalf);
};

void UpstreamServer::Request::EndWork()
{
  if (std::exchange(working, false)) {
    load.End();
  }
}

bool UpstreamServer::Request::ReadBody(Sha256& aHash)
{
  Buffer buf;
  int n = 0;
  while ((n = mg_read(connection, buf.data(), buf.size())) > 0) {
    aHash.Add({ buf.data(), static_cast<std::size_t>(n) });
    record.received += static_cast<std::uint64_t>(n);
  }
  const auto announced = mg_get_request_info(connection)->content_length;
  const bool whole = announced < 0 || record.received == static_cast<std::uint64_t>(announced);
  return n == 0 && whole;
}

bool UpstreamServer::Request::Echo()
{
  const auto announced = mg_get_request_info(connection)->content_length;
  SendHead(connection, 200, announced < 0 ? kChunkedLength : announced);
  Buffer buf;
  int n = 0;
  bool sent = true;
  while (sent && (n = mg_read(connection, buf.data(), buf.size())) > 0) {
    record.received += static_cast<std::uint64_t>(n);
    const std::string_view bytes(buf.data(), static_cast<std::size_t>(n));
    sent = announced < 0 ? SendChunk(connection, bytes) : SendBytes(connection, bytes);
  }
  const bool whole = announced < 0 || record.received == static_cast<std::uint64_t>(announced);
  if (!sent || n < 0 || !whole) {
    return false;
  }
  return announced >= 0 || SendChunk(connection, {});
}

bool UpstreamServer::Request::AnswerBody(bool aHalf)
{
  const std::uint64_t size = QueryNumber(connection, "size", kDefaultSize);
  const bool chunked =
    QueryNumber(connection, "chunked", 0) != 0 || (aHalf && behaviour.halfChunked);
  const std::uint64_t end = aHalf ? size / 2 : size;
  SendHead(connection, 200, chunked ? kChunkedLength : static_cast<std::int64_t>(size));
  const BodyPattern pattern(record.id);
  Buffer buf;
  for (std::uint64_t offset = 0; offset < end;) {
    const std::size_t n = std::min<std::uint64_t>(buf.size(), end - offset);
    pattern.Fill(offset, buf.data(), n);
    const std::string_view bytes(buf.data(), n);
    if (!(chunked ? SendChunk(connection, bytes) : SendBytes(connection, bytes))) {
      return false;
    }
    offset += n;
  }
  if (aHalf) {
    return false;
  }
  return !chunked || SendChunk(connection, {});
}

bool UpstreamServer::Request::AnswerHash(Sha256& aHash, bool aHalf)
{
  const nlohmann::json body{ { "id", record.id },
                             { "bytes", record.received },
                             { "sha256", aHash.Finish() } };
  return AnswerText(body.dump(), aHalf);
}

bool UpstreamServer::Request::AnswerText(const std::string& aText, bool aHalf)
{
  if (!aHalf) {
    return SendJson(connection, 200, aText);
  }
  const std::string_view half = std::string_view(aText).substr(0, aText.size() / 2);
  if (behaviour.halfChunked) {
    SendHead(connection, 200, kChunkedLength);
    SendChunk(connection, half);
  } else {
    SendHead(connection, 200, static_cast<std::int64_t>(aText.size()));
    SendBytes(connection, half);
  }
  return false;
}

std::unique_ptr<UpstreamServer> UpstreamServer::Make(Settings aSettings,
                                                     std::unique_ptr<HistoryWriter> aHistory)
{
  std::unique_ptr<UpstreamServer> server(
    new UpstreamServer(std::move(aSettings), std::move(aHistory)));
  return server->Start() ? std::move(server) : nullptr;
}

UpstreamServer::UpstreamServer(Settings aSettings, std::unique_ptr<HistoryWriter> aHistory)
  : mSettings(std::move(aSettings))
  , mHistory(std::move(aHistory))
  , mLoad(mClock, mSettings.load)
  , mKeys(mSettings.keyHashes)
  , mColdSinceUs(WallTimeUs())
  , mBehaviourSince(mClock.Now())
  , mLastBegin(mClock.Now())
{
}

UpstreamServer::~UpstreamServer()
{
  mStopping = true;
  if (mContext != nullptr) {
    mg_stop(mContext);
  }
}

bool UpstreamServer::Start()
{
  const std::string threads = std::to_string(mSettings.connections);
  const char* options[] = { "listening_ports",
                            mSettings.listen.c_str(),
                            "num_threads",
                            threads.c_str(),
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "60000",
                            "tcp_nodelay",
                            "1",
                            nullptr };
  mg_callbacks callbacks{};
  callbacks.init_connection = [](const mg_connection* aConnection, void** aData) {
    auto* self = static_cast<UpstreamServer*>(mg_get_user_data(mg_get_context(aConnection)));
    ++self->mCounts.accepted;
    *aData = new ClientConnection(self->mClock.Now());
    return 0;
  };
  callbacks.connection_closed = [](const mg_connection* aConnection) {
    delete ClientOf(aConnection);
  };
  mContext = mg_start(&callbacks, this, options);
  if (mContext == nullptr) {
    return false;
  }
  mg_set_request_handler(
    mContext,
    "**",
    [](mg_connection* aConnection, void* aSelf) {
      return static_cast<UpstreamServer*>(aSelf)->Handle(aConnection);
    },
    this);
  return true;
}

void UpstreamServer::RecordLife(const std::string& aState)
{
  mHistory->Append(LifeRecord{ WallTimeUs(),
                               mSettings.service,
                               mSettings.listen,
                               mSettings.failureDomain,
                               mSettings.instance,
                               aState,
                               mSettings.load.slots,
                               mSettings.load.coldTime.count() });
}

Duration UpstreamServer::QuietFor() const
{
  std::lock_guard lock(mMutex);
  return mClock.Now() - mLastBegin;
}

int UpstreamServer::Handle(mg_connection* aConnection)
{
  const std::string path = Text(mg_get_request_info(aConnection)->local_uri);
  if (path == "/standin") {
    HandleControl(aConnection);
  } else if (IsSilent(aConnection)) {
    KeepSilent(aConnection);
  } else if (path == "/health") {
    HandleHealth(aConnection);
  } else {
    HandleRun(aConnection);
  }
  return 200;
}

void UpstreamServer::HandleControl(mg_connection* aConnection)
{
  if (Text(mg_get_request_info(aConnection)->request_method) == "GET") {
    SendJson(aConnection, 200, CountsJson());
    return;
  }
  std::string body;
  Buffer buf;
  int n = 0;
  while ((n = mg_read(aConnection, buf.data(), buf.size())) > 0) {
    body.append(buf.data(), static_cast<std::size_t>(n));
  }
  if (!Change(nlohmann::json::parse(body, nullptr, false))) {
    SendJson(aConnection, 400, R"({"error":"unknown field or wrong type"})");
    return;
  }
  SendJson(aConnection, 200, nlohmann::json(CurrentBehaviour()).dump());
}

bool UpstreamServer::Change(nlohmann::json aJson)
{
  const bool cold = aJson.is_object() && aJson.contains("cold");
  if (cold) {
    aJson.erase("cold");
  }
  const auto changed = CurrentBehaviour().With(aJson);
  if (!changed) {
    return false;
  }
  {
    std::lock_guard lock(mMutex);
    mBehaviour = *changed;
    mBehaviourSince = mClock.Now();
  }
  if (cold) {
    mColdSinceUs = WallTimeUs();
    mTurnedCold = true;
    mLoad.TurnCold();
    RecordLife("ready");
  }
  return true;
}

void UpstreamServer::HandleHealth(mg_connection* aConnection)
{
  const bool healthy = CurrentBehaviour().healthy;
  SendJson(aConnection, healthy ? 200 : 503, healthy ? R"({"ok":true})" : R"({"ok":false})");
}

bool UpstreamServer::IsSilent(const mg_connection* aConnection) const
{
  std::lock_guard lock(mMutex);
  if (mBehaviour.silent == "pooled") {
    return ClientOf(aConnection)->OpenedAt() < mBehaviourSince;
  }
  return mBehaviour.silent == "all";
}

void UpstreamServer::KeepSilent(mg_connection* aConnection)
{
  ++mCounts.silenced;
  while (!mStopping && !ClientOf(aConnection)->IsClosedByClient(aConnection)) {
    std::this_thread::sleep_for(kStep);
  }
  mg_disable_connection_keep_alive(aConnection);
}

void UpstreamServer::HandleRun(mg_connection* aConnection)
{
  const LoadModel::Admission admission = mLoad.Begin();
  Request request{ aConnection, CurrentBehaviour(), MakeRecord(aConnection, admission), mLoad };
  {
    std::lock_guard lock(mMutex);
    mLastBegin = mClock.Now();
  }
  if (admission.shed) {
    Shed(request);
    return;
  }
  mHistory->Append(request.record);
  CountBegin(request.record);
  ContinueIfExpected(aConnection);
  ++mActive;
  Run(request, admission.serviceTime);
  request.EndWork();
  request.record.endUs = WallTimeUs();
  mHistory->Append(request.record);
  CountEnd(request.record);
  --mActive;
  if (!request.record.completed) {
    mg_disable_connection_keep_alive(aConnection);
  }
}

void UpstreamServer::Run(Request& aRequest, Milliseconds aServiceTime)
{
  const Behaviour& behaviour = aRequest.behaviour;
  const bool late = behaviour.lateShare > 0 && mLoad.Random() < behaviour.lateShare;
  const bool half = behaviour.halfShare > 0 && mLoad.Random() < behaviour.halfShare;
  const auto slowed = std::chrono::duration_cast<Milliseconds>(aServiceTime * behaviour.slow);
  const Milliseconds time = slowed + Milliseconds(late ? behaviour.lateMs : 0);
  if (FailsNow(behaviour)) {
    ++mCounts.failed;
    Sha256 hash;
    aRequest.ReadBody(hash);
    aRequest.EndWork();
    aRequest.record.completed = SendJson(aRequest.connection, 500, R"({"error":"failed"})");
    return;
  }
  if (QueryNumber(aRequest.connection, "echo", 0) != 0) {
    aRequest.record.completed = Work(aRequest, time) && aRequest.Echo();
    return;
  }
  Sha256 hash;
  const bool isGet = aRequest.record.method == "GET";
  if (!isGet && !aRequest.ReadBody(hash)) {
    aRequest.record.cancelled = true;
    return;
  }
  if (!Work(aRequest, time)) {
    aRequest.record.cancelled = true;
    return;
  }
  aRequest.EndWork();
  aRequest.record.completed = isGet ? aRequest.AnswerBody(half) : aRequest.AnswerHash(hash, half);
}

bool UpstreamServer::FailsNow(const Behaviour& aBehaviour)
{
  if (aBehaviour.flapMs > 0) {
    std::lock_guard lock(mMutex);
    const auto periods = (mClock.Now() - mBehaviourSince) / Milliseconds(aBehaviour.flapMs);
    return periods % 2 == 0;
  }
  return aBehaviour.failShare > 0 && mLoad.Random() < aBehaviour.failShare;
}

/** Takes the time of the work; false if it was given up because the client had gone. */
bool UpstreamServer::Work(Request& aRequest, Milliseconds aTime)
{
  const TimePoint end = mClock.Now() + aTime;
  for (TimePoint now = mClock.Now(); now < end; now = mClock.Now()) {
    std::this_thread::sleep_for(std::min<Duration>(end - now, kStep));
    const bool gone = ClientOf(aRequest.connection)->IsClosedByClient(aRequest.connection);
    if (gone && !aRequest.behaviour.ignoreCancel) {
      return false;
    }
  }
  return true;
}

void UpstreamServer::Shed(Request& aRequest)
{
  aRequest.record.shed = true;
  aRequest.record.endUs = WallTimeUs();
  mHistory->Append(aRequest.record);
  ++mCounts.shed;
  mg_disable_connection_keep_alive(aRequest.connection);
  SendHead(aRequest.connection, 503, 0, true);
}

void UpstreamServer::CountBegin(const RunRecord& aRecord)
{
  // Before the answer, so that a caller that has its answer finds the request counted.
  ++mCounts.runs;
  mCounts.keyLeaks += aRecord.keyLeak ? 1 : 0;
}

void UpstreamServer::CountEnd(const RunRecord& aRecord)
{
  mCounts.completed += aRecord.completed ? 1 : 0;
  mCounts.cancelled += aRecord.cancelled ? 1 : 0;
}

RunRecord UpstreamServer::MakeRecord(const mg_connection* aConnection,
                                     const LoadModel::Admission& aAdmission)
{
  static std::atomic<std::uint64_t> sCount{ 0 };
  const mg_request_info* info = mg_get_request_info(aConnection);
  RunRecord record;
  record.run = mSettings.instance + "#" + std::to_string(++sCount);
  record.id = Text(mg_get_header(aConnection, "X-Request-Id"));
  record.organisation = Text(mg_get_header(aConnection, "X-Organisation"));
  record.service = mSettings.service;
  record.upstream = mSettings.listen;
  record.failureDomain = mSettings.failureDomain;
  record.instance = mSettings.instance;
  record.method = Text(info->request_method);
  record.path = Text(info->local_uri);
  record.beginUs = WallTimeUs();
  record.cold = aAdmission.cold;
  record.turnedCold = aAdmission.cold && mTurnedCold;
  record.coldSinceUs = aAdmission.cold ? mColdSinceUs.load() : 0;
  record.concurrency = aAdmission.concurrency;
  record.capacity = aAdmission.capacity;
  record.keyLeak = SeesKey(aConnection);
  return record;
}

bool UpstreamServer::SeesKey(const mg_connection* aConnection) const
{
  const mg_request_info* info = mg_get_request_info(aConnection);
  for (int it = 0; it < info->num_headers; ++it) {
    if (mKeys.Finds(Text(info->http_headers[it].value))) {
      return true;
    }
  }
  return mKeys.Finds(Text(info->query_string)) || mKeys.Finds(Text(info->local_uri));
}

Behaviour UpstreamServer::CurrentBehaviour() const
{
  std::lock_guard lock(mMutex);
  return mBehaviour;
}

std::string UpstreamServer::CountsJson() const
{
  return nlohmann::json{
    { "instance", mSettings.instance },        { "running", mLoad.Running() },
    { "runs", mCounts.runs.load() },           { "completed", mCounts.completed.load() },
    { "cancelled", mCounts.cancelled.load() }, { "failed", mCounts.failed.load() },
    { "shed", mCounts.shed.load() },           { "silenced", mCounts.silenced.load() },
    { "keyLeaks", mCounts.keyLeaks.load() },   { "connectionsAccepted", mCounts.accepted.load() },
    { "behaviour", CurrentBehaviour() }
  }.dump();
}

} // namespace mustardwinch::standin
