#include "base/UntrustedJson.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace mustardwinch {
namespace {

using nlohmann::json;

/** Documents of the platform are nested less than ten deep. */
constexpr int kMaxDepth = 64;

json ParseBounded(std::string_view aText)
{
  const auto isShallow = [](int aDepth, json::parse_event_t aEvent, json&) {
    const bool opens =
      aEvent == json::parse_event_t::object_start || aEvent == json::parse_event_t::array_start;
    return !opens || aDepth < kMaxDepth;
  };
  return json::parse(aText, isShallow, false);
}

/** Copies JSON text and replaces what the parser would reject in a single value. */
class TextRepair
{
public:
  explicit TextRepair(std::string_view aText)
    : mText(aText)
  {
  }

  std::string Run()
  {
    while (mAt < mText.size()) {
      const char c = mText[mAt];
      if (c == '"') {
        CopyString();
      } else if (c == '-' || (c >= '0' && c <= '9')) {
        CopyNumber();
      } else {
        mOut += c;
        ++mAt;
      }
    }
    return std::move(mOut);
  }

private:
  void CopyNumber()
  {
    const std::size_t end = mText.find_first_not_of("+-.eE0123456789", mAt);
    const std::string number(mText.substr(mAt, end - mAt));
    mOut += std::isfinite(std::strtod(number.c_str(), nullptr)) ? number : "null";
    mAt += number.size();
  }

  void CopyString()
  {
    mOut += mText[mAt++];
    while (mAt < mText.size() && mText[mAt] != '"') {
      if (mText[mAt] == '\\') {
        CopyEscape();
      } else {
        CopyCharacter();
      }
    }
    if (mAt < mText.size()) {
      mOut += mText[mAt++];
    }
  }

  /** Half a surrogate pair is no character. */
  void CopyEscape()
  {
    constexpr std::size_t kUnicodeEscapeSize = 6; // \uXXXX
    if (mText.substr(mAt, 2) != "\\u") {
      mOut += mText.substr(mAt, 2);
      mAt += std::min<std::size_t>(2, mText.size() - mAt);
      return;
    }
    const bool isHigh = IsSurrogate(mAt, "89abAB");
    const bool isPair = isHigh && IsSurrogate(mAt + kUnicodeEscapeSize, "cdefCDEF");
    const std::size_t n = isPair ? 2 * kUnicodeEscapeSize : kUnicodeEscapeSize;
    const bool isLone = !isPair && (isHigh || IsSurrogate(mAt, "cdefCDEF"));
    mOut += isLone ? "?" : mText.substr(mAt, n);
    mAt += std::min(n, mText.size() - mAt);
  }

  /** Whether an escape of \uDXXX with a third digit out of aDigits begins at aAt. */
  bool IsSurrogate(std::size_t aAt, std::string_view aDigits) const
  {
    const std::string_view text = aAt < mText.size() ? mText.substr(aAt, 4) : std::string_view();
    return text.size() == 4 && (text.starts_with("\\ud") || text.starts_with("\\uD")) &&
           aDigits.find(text[3]) != std::string_view::npos;
  }

  void CopyCharacter()
  {
    constexpr unsigned char kFirstPrintable = 0x20;
    const char* begin = mText.data() + mAt;
    const char* it = begin;
    const auto point =
      boost::locale::utf::utf_traits<char>::decode(it, mText.data() + mText.size());
    const bool isText = point != boost::locale::utf::illegal &&
                        point != boost::locale::utf::incomplete && point >= kFirstPrintable;
    const std::size_t n = isText ? static_cast<std::size_t>(it - begin) : 1;
    mOut += isText ? std::string_view(begin, n) : "?";
    mAt += n;
  }

  const std::string_view mText;
  std::size_t mAt = 0;
  std::string mOut;
};

} // namespace

json ParseUntrustedJson(std::string_view aText)
{
  json value = ParseBounded(aText);
  return value.is_discarded() ? ParseBounded(TextRepair(aText).Run()) : value;
}

} // namespace mustardwinch
