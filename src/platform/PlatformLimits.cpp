#include "platform/PlatformLimits.h"

#include "platform/JsonText.h"

#include <algorithm>

namespace mustardwinch {
namespace {

bool IsAlphanumeric(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

bool IsNameChar(char aChar)
{
  constexpr std::string_view kPunctuation = "._:@-";
  return IsAlphanumeric(aChar) || kPunctuation.find(aChar) != std::string_view::npos;
}

Failure Rejected(std::string aDetail)
{
  return { ResultCode::kPlatformRejected, std::move(aDetail) };
}

} // namespace

bool IsPlatformName(std::string_view aName)
{
  const bool sized = !aName.empty() && aName.size() <= kMaxPlatformNameLength;
  return sized && IsAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), IsNameChar);
}

std::optional<Failure> CheckWrite(const PlatformWrite& aWrite)
{
  if (!IsPlatformName(aWrite.kind) || !IsPlatformName(aWrite.name)) {
    return Rejected("kind or name has a character that is not allowed, or a wrong length");
  }
  if (aWrite.expectedVersion == 0 && aWrite.part != PlatformWrite::Part::kSpec) {
    return Rejected("only a spec can be written to an object that does not exist");
  }
  if (DumpJson(aWrite.body).size() > kMaxPlatformBodyBytes) {
    return Rejected("the value is larger than a megabyte");
  }
  return std::nullopt;
}

} // namespace mustardwinch
