// Any text: what comes back can be copied, printed and parsed again.

#include "base/UntrustedJson.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const nlohmann::json value = mustardwinch::ParseUntrustedJson(text);
  if (value.is_discarded()) {
    return 0;
  }
  const nlohmann::json copy = value; // NOLINT(performance-unnecessary-copy-initialization)
  if (nlohmann::json::parse(copy.dump(), nullptr, false).is_discarded()) {
    std::abort();
  }
  return 0;
}
