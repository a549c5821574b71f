#include "fleet/VmTag.h"

#include <xxhash.h>

namespace mustardwinch {

std::uint32_t VmTag(const std::string& aVm)
{
  return XXH32(aVm.data(), aVm.size(), 0);
}

} // namespace mustardwinch
