#pragma once

#include <set>
#include <string>
#include <string_view>

namespace mustardwinch::standin {

/** Finds keys of organisations, known only by their SHA-256, in the text of requests. */
class KeyDetector
{
public:
  /** @param aHashes SHA-256 in lower-case hex, separated by commas */
  explicit KeyDetector(const std::string& aHashes);

  /** Whether the text, or a word of it, is a key. */
  bool Finds(std::string_view aText) const;

private:
  std::set<std::string, std::less<>> mHashes;
};

} // namespace mustardwinch::standin
