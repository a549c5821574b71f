#include "mwload/Exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace mustardwinch::load {

namespace {

constexpr std::size_t kTextBytes = 4096;
constexpr int kStatusOk = 200;

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aA, char aB) {
    return std::tolower(static_cast<unsigned char>(aA)) ==
           std::tolower(static_cast<unsigned char>(aB));
  });
}

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const std::size_t begin = aText.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kBlanks) - begin + 1);
}

} // namespace

Exchange::Exchange(const PlannedCall& aCall)
  : mCall(aCall)
  , mPattern(aCall.id)
{
}

std::size_t Exchange::Produce(char* aBuffer, std::size_t aSize)
{
  const std::size_t n = std::min<std::uint64_t>(aSize, mCall.route->size - mSent);
  mPattern.Fill(mSent, aBuffer, n);
  mSent += n;
  return n;
}

void Exchange::Consume(std::string_view aBytes)
{
  mMatches = mMatches && mPattern.Matches(mReceived, aBytes);
  mReceived += aBytes.size();
  mText += aBytes.substr(0, kTextBytes - std::min(kTextBytes, mText.size()));
}

void Exchange::TakeHeader(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string value(Trim(aLine.substr(colon + 1)));
  if (EqualsIgnoringCase(name, "X-Mustardwinch-Code")) {
    mCode = static_cast<std::uint32_t>(std::strtoul(value.c_str(), nullptr, 10));
  } else if (EqualsIgnoringCase(name, "X-Mustardwinch-Outcome")) {
    mOutcome = value;
  }
}

void Exchange::Finish(CallRecord& aRecord) const
{
  aRecord.code = mCode;
  aRecord.bytes = mReceived;
  aRecord.sentBytes = mSent;
  aRecord.hashOk = IsAnswerRight(aRecord);
  if (!mOutcome.empty()) {
    aRecord.outcome = mOutcome;
  } else if (aRecord.outcome.empty()) {
    aRecord.outcome = aRecord.whole ? "answered" : "unknown";
  }
}

bool Exchange::IsAnswerRight(const CallRecord& aRecord) const
{
  if (aRecord.status != kStatusOk || !aRecord.whole) {
    return false;
  }
  const PlannedRoute& route = *mCall.route;
  if (route.method == "GET" || route.echo) {
    return mMatches && mReceived == route.size;
  }
  return IsHashAnswerRight();
}

bool Exchange::IsHashAnswerRight() const
{
  const nlohmann::json answer = nlohmann::json::parse(mText, nullptr, false);
  return answer.is_object() && answer.value("id", "") == mCall.id &&
         answer.value("bytes", std::uint64_t{ 0 }) == mCall.route->size &&
         answer.value("sha256", "") == mPattern.HashOf(mCall.route->size);
}

} // namespace mustardwinch::load
