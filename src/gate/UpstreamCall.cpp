#include "gate/UpstreamCall.h"

#include "base/SteadyTime.h"
#include "gate/GateCodec.h"

#include <algorithm>
#include <cstring>

namespace mustardwinch {
namespace {

constexpr int kPollIntervalMs = 1000;
constexpr long kConnectTimeoutMs = 1000;
constexpr long kMaxIdleConnectionSeconds = 15;
constexpr Milliseconds kPooledFirstByteTimeout{ 750 };
constexpr std::string_view kShedHeader = "X-Shed";
constexpr int kServiceUnavailable = 503;

bool MethodImpliesBody(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

} // namespace

UpstreamCall::UpstreamCall(UpstreamChannelPool& aPool,
                           const GateRequestHead& aHead,
                           std::shared_ptr<PeerStream> aStream,
                           TimePoint aDeadline)
  : mPool(aPool)
  , mHead(aHead)
  , mStream(std::move(aStream))
  , mDeadline(aDeadline)
  , mStart(SteadyNow())
  , mHeaderList(nullptr, &curl_slist_free_all)
  , mResponse(aHead.requestId)
{
}

AttemptResult UpstreamCall::Run()
{
  Transfer transfer = RunTransfer(!mHead.idempotent);
  const bool pooledConnectionFailed = transfer.pooled && !mFirstByte && transfer.code != CURLE_OK;
  if (pooledConnectionFailed && !mBodyConsumed && !mStream->ResetCode()) {
    // A pooled connection that failed or went silent says nothing about the upstream, so the
    // request is retried on a new one.
    mPool.CloseIdle(mHead.upstream);
    transfer = RunTransfer(true);
  }
  return ReportResult(transfer);
}

UpstreamCall::Transfer UpstreamCall::RunTransfer(bool aFreshConnection)
{
  Transfer transfer;
  std::unique_ptr<UpstreamChannel> channel = mPool.Acquire(mHead.upstream);
  if (!channel) {
    transfer.code = CURLE_OUT_OF_MEMORY;
    return transfer;
  }
  mEasy = channel->Easy();
  SetUp(mEasy, aFreshConnection);
  CURLM* multi = channel->Multi();
  mStream->SetListener([multi] { curl_multi_wakeup(multi); });
  PerformTransfer(*channel, transfer);
  mStream->SetListener(nullptr);
  // libcurl ends a transfer without an error when the upstream closes inside the head.
  if (transfer.code == CURLE_OK && mResponse.IsWhole()) {
    curl_easy_reset(channel->Easy());
    mPool.Release(mHead.upstream, std::move(channel));
  }
  return transfer;
}

void UpstreamCall::SetUp(CURL* aEasy, bool aFreshConnection)
{
  const auto left = std::chrono::duration_cast<Milliseconds>(mDeadline - SteadyNow());
  const std::string url = "http://" + mHead.upstream.ToString() + mHead.target;
  curl_easy_setopt(aEasy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(aEasy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, mHead.method.c_str());
  curl_easy_setopt(aEasy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(left.count())));
  curl_easy_setopt(aEasy, CURLOPT_FRESH_CONNECT, aFreshConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_MAXAGE_CONN, kMaxIdleConnectionSeconds);
  curl_easy_setopt(aEasy, CURLOPT_NOBODY, mHead.method == "HEAD" ? 1L : 0L);

  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(
    aEasy, CURLOPT_HEADERFUNCTION, +[](char* aData, size_t aSize, size_t aCount, void* aSelf) {
      auto* self = static_cast<UpstreamCall*>(aSelf);
      return self->OnHeaderLine({ aData, aSize * aCount });
    });
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(
    aEasy, CURLOPT_WRITEFUNCTION, +[](char* aData, size_t aSize, size_t aCount, void* aSelf) {
      return static_cast<UpstreamCall*>(aSelf)->OnBody(aData, aSize * aCount);
    });
  SetUpBody(aEasy);
  SetUpHeaders(aEasy);
}

void UpstreamCall::SetUpBody(CURL* aEasy)
{
  if (!mHead.hasBody) {
    if (MethodImpliesBody(mHead.method)) {
      curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, "");
      curl_easy_setopt(aEasy, CURLOPT_POSTFIELDSIZE, 0L);
    }
    return;
  }
  curl_easy_setopt(aEasy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(aEasy, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(mHead.bodyLength));
  curl_easy_setopt(aEasy, CURLOPT_READDATA, this);
  curl_easy_setopt(
    aEasy, CURLOPT_READFUNCTION, +[](char* aData, size_t aSize, size_t aCount, void* aSelf) {
      return static_cast<UpstreamCall*>(aSelf)->OnReadBody(aData, aSize * aCount);
    });
}

void UpstreamCall::SetUpHeaders(CURL* aEasy)
{
  curl_slist* list = nullptr;
  const auto add = [&list](const std::string& aLine) {
    list = curl_slist_append(list, aLine.c_str());
  };
  for (const HttpHeader& it : mHead.headers) {
    // libcurl drops a field given as "Name:"; "Name;" sends it with an empty value.
    add(it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
  }
  const auto left = std::chrono::duration_cast<Milliseconds>(mDeadline - SteadyNow()).count();
  add("X-Deadline-Ms: " + std::to_string(std::max<long>(0, left)));
  add("X-Request-Id: " + mHead.requestId);
  if (!mHead.organisation.empty()) {
    add("X-Organisation: " + mHead.organisation);
  }
  // Removes the fields that libcurl adds by default.
  add("Expect:");
  for (const char* it : { "Accept", "Content-Type" }) {
    if (FindHeader(mHead.headers, it) == nullptr) {
      add(std::string(it) + ":");
    }
  }
  mHeaderList.reset(list);
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, list);
}

void UpstreamCall::PerformTransfer(UpstreamChannel& aChannel, Transfer& aTransfer)
{
  CURL* easy = aChannel.Easy();
  CURLM* multi = aChannel.Multi();
  curl_multi_add_handle(multi, easy);
  bool done = false;
  int running = 1;
  while (!done) {
    curl_multi_perform(multi, &running);
    long connects = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    mRequestSent = mRequestSent || sent > 0;
    aTransfer.pooled = sent > 0 && connects == 0;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        aTransfer.code = message->data.result;
        done = true;
      }
    }
    if (done) {
      break;
    }
    if (ShouldAbort(aTransfer.pooled)) {
      aTransfer.code = CURLE_ABORTED_BY_CALLBACK;
      break;
    }
    const int wait = aTransfer.pooled && !mFirstByte ? kPollIntervalMs / 10 : kPollIntervalMs;
    curl_multi_poll(multi, nullptr, 0, wait, nullptr);
    Unpause(easy);
  }
  curl_multi_remove_handle(multi, easy);
}

bool UpstreamCall::ShouldAbort(bool aPooled) const
{
  if (mStream->ResetCode()) {
    return true;
  }
  const bool silent = aPooled && !mFirstByte && !mBodyConsumed;
  return silent && SteadyNow() - mStart > kPooledFirstByteTimeout;
}

void UpstreamCall::Unpause(CURL* aEasy)
{
  if (!mReadPaused && !mWritePaused) {
    return;
  }
  if (mWritePaused && !mStream->HasWindow() && !mReadPaused) {
    return;
  }
  mReadPaused = false;
  mWritePaused = false;
  curl_easy_pause(aEasy, CURLPAUSE_CONT);
}

std::size_t UpstreamCall::OnHeaderLine(std::string_view aLine)
{
  if (!mFirstByte) {
    mFirstByte = SteadyNow();
  }
  const bool earlier = mResponse.IsWhole();
  if (!mResponse.Add(aLine) || earlier) {
    return aLine.size();
  }
  if (mResponse.IsMalformed()) {
    return 0; // ends the transfer
  }
  const GateResponseHead& head = mResponse.Head();
  mShed = head.status == kServiceUnavailable && FindHeader(head.headers, kShedHeader) != nullptr;
  if (MayBelongToAnother()) {
    mShed = false;
    mForeign = true;
    return 0;
  }
  if (!mShed) {
    // The head is small: it may exceed the flow-control window, but never waits here.
    mStream->Send(StreamTag::kHead, EncodeResponseHead(head), TimePoint::max());
  }
  return aLine.size();
}

bool UpstreamCall::IsOnKeptConnection() const
{
  long connects = 0;
  curl_easy_getinfo(mEasy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}

bool UpstreamCall::MayBelongToAnother() const
{
  switch (mResponse.Owner()) {
    case ResponseOwner::kOwn:
      return false;
    case ResponseOwner::kAnother:
      return true;
    case ResponseOwner::kUnknown:
      break;
  }
  return mShed && IsOnKeptConnection();
}

/** libcurl ends a request at the end of the response. If that is the end of the connection, the
 * reset of an upstream that broke off is no longer seen. */
bool UpstreamCall::MayBeCut() const
{
  return mHead.hasBody && !mBodyRead && mResponse.EndsWithConnection();
}

std::size_t UpstreamCall::OnBody(const char* aData, std::size_t aSize)
{
  if (mShed) {
    return aSize;
  }
  if (mStream->ResetCode()) {
    return 0;
  }
  if (!mStream->TrySend(StreamTag::kBody, std::string(aData, aSize))) {
    mWritePaused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  return aSize;
}

std::size_t UpstreamCall::OnReadBody(char* aBuffer, std::size_t aSize)
{
  if (mUnsent.empty()) {
    StreamEvent event = mStream->TryRead();
    if (std::holds_alternative<StreamIdle>(event)) {
      mReadPaused = true;
      return CURL_READFUNC_PAUSE;
    }
    if (std::holds_alternative<StreamEnd>(event)) {
      mBodyRead = true;
      return 0;
    }
    if (std::holds_alternative<StreamReset>(event)) {
      return CURL_READFUNC_ABORT;
    }
    mUnsent = std::move(std::get<StreamChunk>(event).payload);
    mBodyConsumed = true;
  }
  const std::size_t n = std::min(aSize, mUnsent.size());
  std::memcpy(aBuffer, mUnsent.data(), n);
  mUnsent.erase(0, n);
  mBodyBytes += static_cast<std::int64_t>(n);
  mBodyRead = mBodyRead || mBodyBytes == mHead.bodyLength;
  return n;
}

ResultCode UpstreamCall::ResultCodeOf(const Transfer& aTransfer) const
{
  if (mShed) {
    return ResultCode::kGateShed;
  }
  if (aTransfer.code == CURLE_OK && mResponse.IsWhole()) {
    return MayBeCut() ? ResultCode::kAnswerCut : ResultCode::kOk;
  }
  if (mStream->ResetCode()) {
    return ResultCode::kCallerGone;
  }
  if (!mRequestSent) {
    const bool late = SteadyNow() >= mDeadline;
    return late ? ResultCode::kDeadlineBeforeRun : ResultCode::kGateConnectFailed;
  }
  if (aTransfer.code == CURLE_OPERATION_TIMEDOUT) {
    return ResultCode::kDeadlineAfterSend;
  }
  return mFirstByte && !mForeign ? ResultCode::kAnswerCut : ResultCode::kUpstreamFailed;
}

AttemptResult UpstreamCall::ReportResult(const Transfer& aTransfer)
{
  AttemptResult result;
  result.code = ResultCodeOf(aTransfer);
  result.status = mResponse.Head().status;
  result.total = SteadyNow() - mStart;
  result.firstByte = mFirstByte ? *mFirstByte - mStart : result.total;
  result.pooledConnection = aTransfer.pooled;
  if (result.code != ResultCode::kOk) {
    mStream->Send(StreamTag::kFailed,
                  std::to_string(static_cast<int>(result.code)),
                  SteadyNow() + kPooledFirstByteTimeout);
  }
  mStream->SendEnd();
  return result;
}

} // namespace mustardwinch
