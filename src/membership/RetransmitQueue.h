#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardwinch {

/**
 * Updates to piggyback on packets, each a bounded number of times. A new update of a key replaces
 * the queued one. The items that were sent least often go first.
 */
template<typename T>
class RetransmitQueue
{
public:
  /** Number of times that a node sends an item, per decimal digit of the number of members. */
  static constexpr std::size_t kRetransmitFactor = 3;
  static constexpr std::size_t kMaxEntries = 4'096; //!< anti-entropy transfers what exceeds this

  static std::size_t SendsFor(std::size_t aMembers)
  {
    const double digits = std::ceil(std::log10(static_cast<double>(aMembers) + 1.0));
    return kRetransmitFactor * static_cast<std::size_t>(std::max(1.0, digits));
  }

  void Add(std::string aKey, T aItem)
  {
    const auto [known, added] = mPriorities.try_emplace(std::move(aKey));
    if (!added) {
      mEntries.erase(known->second);
    }
    known->second = { 0, --mNextOrder };
    mEntries.emplace(known->second, Entry{ known->first, std::move(aItem) });
    if (mEntries.size() > kMaxEntries) {
      Remove(std::prev(mEntries.end()));
    }
  }

  /** Offers items until aTake returns false, without counting a transmission. */
  template<typename Take>
  void Peek(Take&& aTake) const
  {
    for (const auto& [priority, entry] : mEntries) {
      if (!aTake(entry.item)) {
        break;
      }
    }
  }

  /** Offers items until aTake returns false. Counts a transmission of each accepted item and
   * removes the items that reached the limit. */
  template<typename Take>
  void Offer(std::size_t aMembers, Take&& aTake)
  {
    auto end = mEntries.begin();
    while (end != mEntries.end() && aTake(end->second.item)) {
      ++end;
    }
    const std::size_t limit = SendsFor(aMembers);
    std::vector<std::pair<Priority, Entry>> retained;
    while (mEntries.begin() != end) {
      const auto it = mEntries.begin();
      const Priority next{ it->first.sent + 1, it->first.order };
      if (next.sent >= limit) {
        Remove(it);
      } else {
        retained.emplace_back(next, std::move(it->second));
        mEntries.erase(it);
      }
    }
    for (auto& [priority, entry] : retained) {
      mPriorities[entry.key] = priority;
      mEntries.emplace(priority, std::move(entry));
    }
  }

  std::size_t Size() const { return mEntries.size(); }

private:
  /** Orders by fewest transmissions, then newest first. */
  struct Priority
  {
    std::size_t sent = 0;
    std::uint64_t order = 0;

    auto operator<=>(const Priority&) const = default;
  };

  struct Entry
  {
    std::string key;
    T item;
  };

  using Entries = std::map<Priority, Entry>;

  void Remove(typename Entries::iterator aIt)
  {
    mPriorities.erase(aIt->second.key);
    mEntries.erase(aIt);
  }

  Entries mEntries;
  std::unordered_map<std::string, Priority> mPriorities;
  std::uint64_t mNextOrder = std::numeric_limits<std::uint64_t>::max();
};

} // namespace mustardwinch
