#include "platform/AnnouncementDecoder.h"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace mustardwinch;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const auto announcement = platform::DecodeAnnouncement("i-1", text);
  if (announcement && announcement.Value().instance != "i-1") {
    __builtin_trap();
  }
  (void)platform::DecodeAnnouncePath(text);
  (void)platform::DecodeLeaveBorn(text);
  return 0;
}
