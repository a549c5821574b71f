#include "platform/ConfigDecoder.h"
#include "routing/RoutingTable.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace mustardwinch;
  const auto spec = nlohmann::json::parse(aData, aData + aSize, nullptr, false);
  const auto config = platform::DecodeConfig(spec);
  if (config) {
    const RoutingTable table(config.Value());
    (void)table.FindRoute("h", "/a/b");
    (void)table.FindOrganisationByKey("k");
  }
  return 0;
}
