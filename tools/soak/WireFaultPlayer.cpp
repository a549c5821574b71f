#include "soak/WireFaultPlayer.h"

#include "http/HttpText.h"
#include "platform/PlatformNames.h"
#include "soak/PromiseJudge.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace mustardwinch::soak {
namespace {

constexpr double kStrikeShare = 0.4; //!< the upstream stays in use
constexpr std::size_t kLongestDelayMs = 40;
constexpr std::size_t kPartOfBody = 1'000;
constexpr unsigned kRefusals[] = { 408, 421, 429, 503 };

HttpAnswer SignedAnswer(unsigned aStatus, const std::string& aId, const std::string& aInstance)
{
  const HttpNames names = platform::MakeHttpNames();
  return { aStatus,
           { { names.requestId, aId }, { names.signature, SignatureFor(aId, aInstance) } },
           aStatus == 200 ? BodyFor(aId) : "" };
}

/** A whole success without a length, so that only the end of the connection ends it. */
std::string FormatUnbounded(const HttpAnswer& aAnswer)
{
  HttpAnswer bodiless = aAnswer;
  bodiless.status = 204; // the only way to be given no length
  std::string text = FormatAnswer(bodiless, true, false);
  text.replace(0, text.find("\r\n"), "HTTP/1.1 200 OK");
  return text + aAnswer.body;
}

bool IsLate(WireFault aFault)
{
  return aFault == WireFault::kLateRejection || aFault == WireFault::kLateFailure ||
         aFault == WireFault::kLateSuccess;
}

} // namespace

bool WireFaultPlayer::Strikes()
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < kStrikeShare;
}

std::size_t WireFaultPlayer::Below(std::size_t aEnd)
{
  return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(mRandom);
}

void WireFaultPlayer::OnRequest(const std::shared_ptr<WireSession>& aSession)
{
  if (!IsLate(mFault) || !aSession->LastAnswer() || !Strikes()) {
    return;
  }
  HttpAnswer copy = *aSession->LastAnswer();
  if (Below(2) == 0) {
    const std::string name = platform::MakeHttpNames().requestId;
    std::erase_if(copy.headers,
                  [&](const HttpHeader& aHeader) { return SameHeaderName(aHeader.name, name); });
  }
  const std::string bytes = FormatAnswer(copy, false, false);
  if (Below(2) == 0) {
    aSession->WriteStray(bytes);
    return;
  }
  const Milliseconds delay(static_cast<std::int64_t>(Below(kLongestDelayMs)));
  auto timer = std::make_shared<boost::asio::steady_timer>(mLoop, delay);
  timer->async_wait([timer, aSession, bytes](const auto&) { aSession->WriteStray(bytes); });
}

void WireFaultPlayer::Reject(const std::shared_ptr<WireSession>& aSession,
                             unsigned aStatus,
                             const std::string& aId)
{
  const HttpNames names = platform::MakeHttpNames();
  aSession->Answer({ aStatus, { { names.requestId, aId }, { names.notRun, "1" } }, "" });
}

void WireFaultPlayer::End(const std::shared_ptr<WireSession>& aSession,
                          const std::string& aId,
                          const std::string& aInstance)
{
  const HttpAnswer whole = SignedAnswer(200, aId, aInstance);
  const std::string text = FormatAnswer(whole, false, false);
  const std::size_t head = text.size() - whole.body.size();
  switch (Strikes() ? mFault : WireFault::kNone) {
    case WireFault::kLateFailure:
      aSession->Answer(SignedAnswer(500, aId, aInstance));
      return;
    case WireFault::kRefusesAfterRun:
      aSession->Answer(SignedAnswer(kRefusals[Below(std::size(kRefusals))], aId, aInstance));
      return;
    case WireFault::kStopsInHead:
      aSession->WriteAndEnd(text.substr(0, 1 + Below(head - 1)), WireSession::End::kClose);
      return;
    case WireFault::kStopsInBody:
      aSession->WriteAndEnd(text.substr(0, head + Below(whole.body.size())),
                            WireSession::End::kClose);
      return;
    case WireFault::kResetsUnbounded:
      aSession->WriteAndEnd(
        FormatUnbounded({ 200, whole.headers, whole.body.substr(0, kPartOfBody) }),
        WireSession::End::kReset);
      return;
    default:
      aSession->Answer(whole);
      return;
  }
}

} // namespace mustardwinch::soak
