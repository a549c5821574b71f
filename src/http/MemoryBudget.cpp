#include "http/MemoryBudget.h"

#include <utility>

namespace mustardwinch {

MemoryHolding::MemoryHolding(std::shared_ptr<MemoryBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

MemoryHolding::~MemoryHolding()
{
  Set(0);
}

bool MemoryHolding::TrySet(std::size_t aBytes)
{
  if (mBudget && aBytes > mBytes) {
    const MemoryBudget::Part& before = mBudget->PartFor(mBytes);
    const MemoryBudget::Part& after = mBudget->PartFor(aBytes);
    const std::size_t others = after.used - (&before == &after ? mBytes : 0);
    if (others + aBytes > after.limit) {
      return false;
    }
  }
  Set(aBytes);
  return true;
}

void MemoryHolding::Set(std::size_t aBytes)
{
  if (mBudget) {
    mBudget->PartFor(mBytes).used -= mBytes;
    mBudget->PartFor(aBytes).used += aBytes;
  }
  mBytes = aBytes;
}

} // namespace mustardwinch
