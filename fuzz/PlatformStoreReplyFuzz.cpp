#include "fleet/MemberRegistrar.h"
#include "platform/StoreClient.h"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace mustardwinch;
  HttpAnswer answer;
  answer.status = 200;
  answer.body.assign(reinterpret_cast<const char*>(aData), aSize);
  const StoreReply reply = platform::DecodeStoreReply(answer);
  for (const StoredObject& it : reply.objects) {
    (void)MemberOf(it);
  }
  return 0;
}
