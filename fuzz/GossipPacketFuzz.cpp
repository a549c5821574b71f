#include "membership/GossipPacket.h"
#include "membership/NodeRecord.h"
#include "membership/RecordPull.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace mustardwinch;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto packet = GossipPacket::Decode(bytes);
  if (packet) {
    const auto again = GossipPacket::Decode(packet.Value().Encode());
    if (!again || again.Value() != packet.Value()) {
      __builtin_trap();
    }
  }
  (void)NodeRecord::Decode(bytes);
  (void)PullRequest::Decode(bytes);
  (void)PullAnswer::Decode(bytes);
  return 0;
}
