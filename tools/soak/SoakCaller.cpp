#include "soak/SoakCaller.h"

#include "http/HttpText.h"
#include "platform/PlatformNames.h"
#include "soak/WireTexts.h"

#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr Milliseconds kPatience{ 2'000 };
constexpr Milliseconds kConnectTimeout{ 1'000 };
constexpr std::size_t kMaxAnswerBytes = 100'000;

} // namespace

SoakCaller::SoakCaller(boost::asio::io_context& aLoop,
                       Clock& aClock,
                       std::size_t aNode,
                       const Address& aCallers,
                       PromiseJudge& aJudge,
                       CallCounts& aCounts,
                       ChooseFn aChoose,
                       std::uint64_t aSeed)
  : mLoop(aLoop)
  , mClock(aClock)
  , mNode(aNode)
  , mCallers(aCallers)
  , mJudge(aJudge)
  , mCounts(aCounts)
  , mChoose(std::move(aChoose))
  , mRandom(aSeed)
  , mPause(aLoop)
  , mLimit(aLoop)
{
}

void SoakCaller::Run(double aPerSecond)
{
  mPerSecond = aPerSecond;
  CallLater();
}

void SoakCaller::CallLater()
{
  const double seconds = std::exponential_distribution<>(mPerSecond)(mRandom);
  mPause.expires_after(Milliseconds(static_cast<std::int64_t>(seconds * 1'000)));
  mPause.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->Call();
    }
  });
}

void SoakCaller::Call()
{
  mGaveUp = false;
  if (mChannel && mChannel->IsOpen()) {
    Send();
    return;
  }
  mChannel = std::make_shared<HttpChannel>(mLoop);
  mLimit.expires_after(kConnectTimeout);
  mLimit.async_wait([channel = mChannel](const boost::system::error_code& aError) {
    if (!aError) {
      channel->Close();
    }
  });
  mChannel->Connect(mCallers, [self = shared_from_this()](const boost::system::error_code& aError) {
    self->mLimit.cancel();
    if (aError) { // the node is down; nothing was sent
      self->mChannel.reset();
      self->CallLater();
      return;
    }
    self->Send();
  });
}

void SoakCaller::Send()
{
  mRequest = {};
  mRequest.node = mNode;
  HttpRequest request;
  request.target = mChoose(mRequest);
  request.method = mRequest.idempotent ? "GET" : "POST";
  const HttpNames names = platform::MakeHttpNames();
  request.headers = { { names.requestId, mRequest.id },
                      { names.remaining, std::to_string(kPatience.count()) },
                      { names.callerService, "forged" },
                      { names.organisation, "forged" } };
  request.body = std::string(mRequest.bodyBytes, 'u');
  if (!mRequest.key.empty()) {
    request.headers.push_back({ names.key, mRequest.key });
  }
  mCounts.sent += mRequest.owed ? 1 : 0;
  mJudge.OnSent(mRequest, mClock.Now());
  mLimit.expires_after(kPatience);
  mLimit.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->mGaveUp = true;
      self->mChannel->Close();
    }
  });
  mChannel->Exchange(
    FormatRequest(request, kHost),
    kMaxAnswerBytes,
    false,
    nullptr,
    [self = shared_from_this()](const HttpChannelResult& aResult) { self->OnDone(aResult); });
}

void SoakCaller::OnDone(const HttpChannelResult& aResult)
{
  mLimit.cancel();
  if (!aResult.error) {
    mCounts.served += mRequest.owed && aResult.answer.status == 200 ? 1 : 0;
    mJudge.OnAnswer(mRequest.id, aResult.answer, mClock.Now());
  } else if (!mGaveUp) {
    mJudge.OnCut(mRequest.id, mClock.Now());
  }
  if (aResult.error || !aResult.reusable) {
    mChannel->Close();
    mChannel.reset();
  }
  CallLater();
}

} // namespace mustardwinch::soak
