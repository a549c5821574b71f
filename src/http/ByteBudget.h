#pragma once

#include <cstddef>

namespace mustardwinch {

/**
 * Bytes that the unfinished answers on several connections may hold together.
 *
 * Load pattern: several upstreams send answers without end at the same time. Each answer is within
 * its own limit, but together they would exceed the memory of the VM.
 */
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /** False, and nothing is taken, if not that many bytes are left. */
  bool TryTake(std::size_t aBytes)
  {
    if (aBytes > mLimit - mTaken) {
      return false;
    }
    mTaken += aBytes;
    return true;
  }

  void Return(std::size_t aBytes) { mTaken -= aBytes; }

  std::size_t Taken() const { return mTaken; }
  std::size_t Limit() const { return mLimit; }

private:
  const std::size_t mLimit;
  std::size_t mTaken = 0;
};

} // namespace mustardwinch
