#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace mustardwinch {

/**
 * Bytes that the connections of one kind may hold for their peers together.
 *
 * Load pattern: many callers send bodies of legal size that never end, or read their answers
 * slowly. Each connection is within its limits, but together they would exceed the memory of the
 * VM. Small holdings have a part of their own, so that ordinary requests are served while large
 * bodies wait.
 */
class MemoryBudget
{
public:
  /** Holdings up to this size are small: a request with a usual head and a short body. */
  static constexpr std::size_t kSmallHolding = 16U << 10;

  MemoryBudget(std::size_t aSmall, std::size_t aLarge)
    : mSmall{ aSmall }
    , mLarge{ aLarge }
  {
  }

  std::size_t Used() const { return mSmall.used + mLarge.used; }
  std::size_t Limit() const { return mSmall.limit + mLarge.limit; }

  /** More is held than allowed, since it was there already. */
  bool IsExceeded() const { return mSmall.used > mSmall.limit || mLarge.used > mLarge.limit; }

private:
  friend class MemoryHolding;

  struct Part
  {
    std::size_t limit = 0;
    std::size_t used = 0;
  };

  Part& PartFor(std::size_t aBytes) { return aBytes <= kSmallHolding ? mSmall : mLarge; }

  Part mSmall;
  Part mLarge;
};

/** What one connection holds of a budget; given back at its end. */
class MemoryHolding
{
public:
  /** @param aBudget null: not limited */
  explicit MemoryHolding(std::shared_ptr<MemoryBudget> aBudget);
  ~MemoryHolding();
  MemoryHolding(const MemoryHolding&) = delete;
  MemoryHolding& operator=(const MemoryHolding&) = delete;

  /** Holds this many bytes from now on. False, and nothing changes, if the budget lacks them. */
  bool TrySet(std::size_t aBytes);

  /** The same for bytes that are there already, also beyond the budget. */
  void Set(std::size_t aBytes);

  std::size_t Bytes() const { return mBytes; }

private:
  const std::shared_ptr<MemoryBudget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace mustardwinch
