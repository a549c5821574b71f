#include "gate/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxIdleAccounts = 64;
constexpr double kMaxCost = 10; // caps how long one very slow request holds back its organisation

} // namespace

FairQueue::AccountMap::iterator FairQueue::FindLongest()
{
  return std::max_element(
    mOrganisations.begin(), mOrganisations.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.entries.size() < aRight.second.entries.size();
    });
}

std::optional<FairQueue::Entry> FairQueue::Push(Entry aEntry, std::size_t aLimit)
{
  if (mOrganisations.size() > kMaxIdleAccounts) {
    EraseIdleAccounts();
  }
  Account& account = mOrganisations[aEntry.request.organisation];
  std::optional<Entry> evicted;
  if (mSize >= aLimit) {
    const auto longest = FindLongest();
    const bool ownIsLongest = account.entries.size() >= longest->second.entries.size();
    if (ownIsLongest) {
      return aEntry;
    }
    evicted = std::move(longest->second.entries.back());
    longest->second.entries.pop_back();
    --mSize;
  }
  if (account.entries.empty()) {
    // An organisation earns no credit while it has no queued requests.
    account.virtualTime = std::max(account.virtualTime, mVirtualTime);
  }
  account.entries.push_back(std::move(aEntry));
  ++mSize;
  return evicted;
}

std::optional<FairQueue::Entry> FairQueue::Pop()
{
  Account* next = nullptr;
  for (auto& [name, account] : mOrganisations) {
    const bool earlier = next == nullptr || account.virtualTime < next->virtualTime;
    if (!account.entries.empty() && earlier) {
      next = &account;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  Entry entry = std::move(next->entries.front());
  next->entries.pop_front();
  --mSize;
  mVirtualTime = std::max(mVirtualTime, next->virtualTime);
  next->virtualTime += 1;
  return entry;
}

bool FairQueue::Remove(std::uint64_t aTicket)
{
  return !TakeIf([&](const Entry& aOne) { return aOne.ticket == aTicket; }).empty();
}

std::vector<FairQueue::Entry> FairQueue::TakeIf(const std::function<bool(const Entry&)>& aPredicate)
{
  std::vector<Entry> taken;
  for (auto& [name, account] : mOrganisations) {
    const auto first = std::stable_partition(account.entries.begin(),
                                             account.entries.end(),
                                             [&](const Entry& aOne) { return !aPredicate(aOne); });
    std::move(first, account.entries.end(), std::back_inserter(taken));
    account.entries.erase(first, account.entries.end());
  }
  assert(taken.size() <= mSize);
  mSize -= taken.size();
  return taken;
}

void FairQueue::Charge(const std::string& aOrganisation, double aCost)
{
  const auto it = mOrganisations.find(aOrganisation);
  if (it != mOrganisations.end()) {
    it->second.virtualTime += std::clamp(aCost, 0.0, kMaxCost) - 1;
  }
}

std::map<std::string, std::size_t> FairQueue::QueuedCounts() const
{
  std::map<std::string, std::size_t> counts;
  for (const auto& [name, account] : mOrganisations) {
    if (!account.entries.empty()) {
      counts[name] = account.entries.size();
    }
  }
  return counts;
}

void FairQueue::EraseIdleAccounts()
{
  std::erase_if(mOrganisations, [&](const auto& aEntry) {
    return aEntry.second.entries.empty() && aEntry.second.virtualTime <= mVirtualTime;
  });
}

} // namespace mustardwinch
