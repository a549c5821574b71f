#include "config/ResourceDocument.h"
#include "config/ResourceSchema.h"
#include "config/ResourceStatus.h"
#include "platform/JsonText.h"
#include "platform/PlatformJson.h"

#include <cstdint>
#include <cstdlib>

using namespace mustardwinch;

/** The first byte chooses the kind, the rest is the spec as JSON, an answer, or operators' YAML. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const auto& kinds = ResourceKinds();
  const std::string& kind = kinds[aData[0] % kinds.size()];
  const std::string text(reinterpret_cast<const char*>(aData + 1), aSize - 1);

  const nlohmann::json spec = ParseJson(text);
  if (!spec.is_discarded()) {
    const std::string name = kind == "leaving" ? "10.0.0.1:80" : "name";
    const auto resource = ParseResource(kind, name, spec);
    if (resource &&
        ParseResource(kind, name, SpecOf(resource.Value())).Value() != resource.Value()) {
      std::abort();
    }
    static_cast<void>(StatusFromJson(spec));
  }
  static_cast<void>(ChangesFromText(text));
  static_cast<void>(ObjectFromText(text));
  static_cast<void>(ParseResourceDocuments(text, "file"));
  return 0;
}
