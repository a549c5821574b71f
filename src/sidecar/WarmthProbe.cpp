#include "sidecar/WarmthProbe.h"

#include "http/HttpText.h"

#include <charconv>
#include <utility>

namespace mustardwinch {
namespace {

/** The request waits for a slot as others do; a later answer would prove little. */
constexpr Milliseconds kTimeout{ 500 };

/** Each probe costs the upstream some work, so a failing one is not repeated at once. */
constexpr Milliseconds kMinInterval{ 250 };

constexpr std::size_t kMaxAnswerBytes = 4'096;

Milliseconds ParseMilliseconds(std::string_view aText)
{
  std::int64_t n = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return Milliseconds(result.ec == std::errc() ? n : 0);
}

} // namespace

WarmthProbe::WarmthProbe(boost::asio::io_context& aLoop,
                         Clock& aClock,
                         const HttpNames& aNames,
                         ReplyFn aOnReply)
  : mLoop(aLoop)
  , mClock(aClock)
  , mNames(aNames)
  , mOnReply(std::move(aOnReply))
  , mTimer(aLoop)
{
}

void WarmthProbe::Ask(const Address& aUpstream, const std::string& aPath)
{
  const TimePoint now = mClock.Now();
  if (mPending || (mCount != 0 && now - mAsked < kMinInterval)) {
    return;
  }
  mPending = true;
  mAsked = now;
  ++mCount;
  const std::shared_ptr<HttpChannel> kept = std::exchange(mChannel, nullptr);
  const bool usable = kept && kept->IsOpen() && aUpstream == mAddress;
  mAddress = aUpstream;
  mChannel = usable ? kept : std::make_shared<HttpChannel>(mLoop);
  mTimer.expires_after(kTimeout);
  mTimer.async_wait([channel = mChannel](const boost::system::error_code& aError) {
    if (!aError) {
      channel->Close(); // its exchange, or its attempt to connect, ends with an error
    }
  });
  if (usable) {
    Send(aPath);
    return;
  }
  if (kept) {
    kept->Close();
  }
  mChannel->Connect(aUpstream, [this, aPath](const boost::system::error_code& aError) {
    if (!aError) {
      Send(aPath);
      return;
    }
    HttpChannelResult failed;
    failed.error = aError;
    OnResult(failed);
  });
}

void WarmthProbe::Send(const std::string& aPath)
{
  mAsked = mClock.Now();
  mChannel->Exchange(FormatRequest({ "GET", aPath, {}, {} }, mAddress.ToString()),
                     kMaxAnswerBytes,
                     false,
                     nullptr,
                     [this](const HttpChannelResult& aResult) { OnResult(aResult); });
}

void WarmthProbe::OnResult(const HttpChannelResult& aResult)
{
  mPending = false;
  mTimer.cancel();
  if (!aResult.reusable) {
    mChannel->Close();
    mChannel = nullptr;
  }
  if (!aResult.error) {
    mOnReply({ mAsked,
               std::string(HeaderValue(aResult.answer.headers, mNames.instance)),
               ParseMilliseconds(HeaderValue(aResult.answer.headers, mNames.coldRemaining)) });
  }
}

} // namespace mustardwinch
