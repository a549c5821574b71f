#include "gate/ResponseHeadReader.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace mustardwinch {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kLastStatus = 599;
constexpr std::string_view kIdHeader = "X-Request-Id";

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

template<typename T>
bool ParseNumber(std::string_view aText, T& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, aNumber);
  return ec == std::errc() && rest == end;
}

} // namespace

bool ResponseHeadReader::Add(std::string_view aLine)
{
  if (mWhole) { // a trailer
    return true;
  }
  const std::string_view line = Trim(aLine);
  if (line.starts_with("HTTP/")) {
    Begin(line);
    return false;
  }
  if (line.empty()) {
    mWhole = mHead.status >= kFirstFinalStatus;
    mHead.bodyLength = mEncoded ? kUnknownLength : mLength.value_or(kUnknownLength);
    return mWhole;
  }
  const bool continuesField = aLine.starts_with(' ') || aLine.starts_with('\t');
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos && !continuesField) {
    AddField(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return false;
}

bool ResponseHeadReader::IsMalformed() const
{
  return mLengthInDoubt || mHead.status > kLastStatus;
}

bool ResponseHeadReader::MayHaveBody() const
{
  return mHead.status != kNoContent && mHead.status != kNotModified;
}

void ResponseHeadReader::Begin(std::string_view aStatusLine)
{
  *this = ResponseHeadReader(std::move(mRequestId));
  const std::size_t space = aStatusLine.find(' ');
  if (space != std::string_view::npos) {
    ParseNumber(aStatusLine.substr(space + 1, 3), mHead.status);
  }
}

void ResponseHeadReader::AddField(std::string_view aName, std::string_view aValue)
{
  // libcurl knows no field by a name with a space behind it, while others do.
  mLengthInDoubt = mLengthInDoubt || Trim(aName) != aName;
  if (SameHeaderName(aName, "Content-Length")) {
    AddLength(aValue);
    return;
  }
  if (SameHeaderName(aName, kIdHeader)) {
    const bool own = aValue == Trim(mRequestId) && mOwner != ResponseOwner::kAnother;
    mOwner = own ? ResponseOwner::kOwn : ResponseOwner::kAnother;
  }
  mEncoded = mEncoded || SameHeaderName(aName, "Transfer-Encoding");
  if (!IsHopByHopHeader(aName) && !IsNodeHeader(aName)) {
    mHead.headers.push_back({ std::string(aName), std::string(aValue) });
  }
}

void ResponseHeadReader::AddLength(std::string_view aValue)
{
  std::int64_t length = 0;
  const bool digits =
    std::all_of(aValue.begin(), aValue.end(), [](char aOne) { return aOne >= '0' && aOne <= '9'; });
  if (!digits || !ParseNumber(aValue, length) || (mLength && *mLength != length)) {
    mLengthInDoubt = true;
  }
  mLength = length;
}

} // namespace mustardwinch
