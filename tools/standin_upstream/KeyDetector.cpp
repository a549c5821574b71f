#include "standin_upstream/KeyDetector.h"

#include "base/Sha256.h"

#include <sstream>

namespace mustardwinch::standin {

namespace {

constexpr std::string_view kSeparators = " \t,;=&?/:\"'";

} // namespace

KeyDetector::KeyDetector(const std::string& aHashes)
{
  std::istringstream stream(aHashes);
  for (std::string it; std::getline(stream, it, ',');) {
    mHashes.insert(it);
  }
}

bool KeyDetector::Finds(std::string_view aText) const
{
  if (mHashes.empty()) {
    return false;
  }
  if (mHashes.contains(Sha256::Of(aText))) {
    return true;
  }
  while (!aText.empty()) {
    const std::size_t n = aText.find_first_of(kSeparators);
    if (mHashes.contains(Sha256::Of(aText.substr(0, n)))) {
      return true;
    }
    aText.remove_prefix(n == std::string_view::npos ? aText.size() : n + 1);
  }
  return false;
}

} // namespace mustardwinch::standin
