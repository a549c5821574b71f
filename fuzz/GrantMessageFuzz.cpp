#include "limits/GrantCodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace mustardwinch;

/** Whatever can be read must be written and read again as the same message. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto message = DecodeGrantMessage(bytes);
  if (message && DecodeGrantMessage(EncodeGrantMessage(*message)) != message) {
    std::abort();
  }
  const auto reply = DecodeGrantReply(bytes);
  if (reply && DecodeGrantReply(EncodeGrantReply(*reply)) != reply) {
    std::abort();
  }
  return 0;
}
