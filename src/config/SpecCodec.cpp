#include "config/SpecCodec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr std::size_t kHashBytes = 32;
constexpr std::string_view kDigits = "0123456789abcdef";

bool IsHash(const std::string& aText)
{
  return aText.size() == 2 * kHashBytes &&
         aText.find_first_not_of(kDigits.data(), 0, kDigits.size()) == std::string::npos;
}

std::vector<std::uint8_t> BytesOf(const std::string& aHash)
{
  std::vector<std::uint8_t> bytes;
  for (std::size_t n = 0; n < aHash.size(); n += 2) {
    const std::size_t high = kDigits.find(aHash[n]);
    bytes.push_back(static_cast<std::uint8_t>(high * 16 + kDigits.find(aHash[n + 1])));
  }
  return bytes;
}

std::string HexOf(const std::vector<std::uint8_t>& aBytes)
{
  std::string text;
  for (const std::uint8_t it : aBytes) {
    text += kDigits[it / 16];
    text += kDigits[it % 16];
  }
  return text;
}

/** Calls aVisit on every value that is neither an object nor an array. */
template<typename Visit>
void ForEachLeaf(json& aValue, Visit&& aVisit)
{
  if (aValue.is_structured()) {
    for (json& it : aValue) {
      ForEachLeaf(it, aVisit);
    }
  } else {
    aVisit(aValue);
  }
}

} // namespace

std::string SpecCodec::Encode(json aSpec)
{
  ForEachLeaf(aSpec, [](json& aLeaf) {
    if (aLeaf.is_string() && IsHash(aLeaf.get_ref<const std::string&>())) {
      aLeaf = json::binary(BytesOf(aLeaf.get_ref<const std::string&>()));
    }
  });
  std::string bytes;
  json::to_msgpack(aSpec, bytes);
  return bytes;
}

std::optional<json> SpecCodec::Decode(std::string_view aBytes)
{
  json spec = json::from_msgpack(aBytes.begin(), aBytes.end(), true, false);
  if (spec.is_discarded()) {
    return std::nullopt;
  }
  ForEachLeaf(spec, [](json& aLeaf) {
    if (aLeaf.is_binary()) {
      aLeaf = HexOf(aLeaf.get_binary());
    }
  });
  return spec;
}

} // namespace mustardwinch
