#include "settings/NodeSettingsReport.h"

#include <cstdint>
#include <cstdlib>

using namespace mustardwinch;

/** Any text is read as settings, or refused with at least one problem. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const NodeSettingsReport report = ParseNodeSettings(text, "file");
  if (report.settings.IsOk() != report.problems.empty()) {
    std::abort();
  }
  return 0;
}
