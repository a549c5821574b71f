#include "limits/SlicePlacement.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace mustardwinch {
namespace {

std::uint64_t HashOf(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

/** Hashes name, address and failure domain; a change of any of them makes a different member. */
std::uint64_t HashOfMember(const VmIdentity& aMember)
{
  const std::string text =
    aMember.name + "|" + aMember.link.ToString() + "|" + aMember.failureDomain;
  return std::max<std::uint64_t>(1, HashOf(text, 0));
}

std::uint64_t WeightOf(std::uint64_t aMemberHash, std::uint32_t aShard)
{
  return XXH3_64bits_withSeed(&aMemberHash, sizeof(aMemberHash), aShard + 1);
}

} // namespace

std::uint32_t ShardOf(std::string_view aOrganisation, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(HashOf(aOrganisation, 0) % aShards);
}

SlicePlacement::SlicePlacement(RateLayout aLayout)
  : mLayout(aLayout)
  , mChoices(static_cast<std::size_t>(aLayout.shards) * aLayout.slices)
{
}

/** Stores the members ordered by hash. */
void SlicePlacement::SortMembers(std::vector<VmIdentity> aMembers)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    order.emplace_back(HashOfMember(aMembers[i]), i);
  }
  std::sort(order.begin(), order.end());
  mMembers.clear();
  mHashes.clear();
  mDomains.clear();
  for (const auto& [hash, index] : order) {
    mHashes.push_back(hash);
    mDomains.push_back(HashOf(aMembers[index].failureDomain, 0));
    mMembers.push_back(std::move(aMembers[index]));
  }
}

void SlicePlacement::SetMembers(std::vector<VmIdentity> aMembers)
{
  const std::vector<std::uint64_t> before = std::move(mHashes);
  const std::set<std::uint64_t> domains(mDomains.begin(), mDomains.end());
  SortMembers(std::move(aMembers));
  std::vector<std::uint64_t> removed;
  std::vector<std::uint64_t> added;
  std::set_difference(
    before.begin(), before.end(), mHashes.begin(), mHashes.end(), std::back_inserter(removed));
  std::set_difference(
    mHashes.begin(), mHashes.end(), before.begin(), before.end(), std::back_inserter(added));
  // The first member of a domain, or one for a vacant slice, may be chosen despite a lower weight.
  const bool scarce = before.size() < mLayout.slices ||
                      std::set<std::uint64_t>(mDomains.begin(), mDomains.end()) != domains;
  for (std::uint32_t shard = 0; shard < mLayout.shards; ++shard) {
    if (scarce || IsTouched(shard, removed, added)) {
      Place(shard);
    }
  }
  // Membership changes shift the indexes.
  for (Choice& it : mChoices) {
    const auto found = std::lower_bound(mHashes.begin(), mHashes.end(), it.memberHash);
    it.index = static_cast<std::size_t>(found - mHashes.begin());
  }
}

bool SlicePlacement::IsTouched(std::uint32_t aShard,
                               const std::vector<std::uint64_t>& aRemoved,
                               const std::vector<std::uint64_t>& aAdded) const
{
  const Choice* choices = &mChoices[static_cast<std::size_t>(aShard) * mLayout.slices];
  for (std::uint32_t slice = 0; slice < mLayout.slices; ++slice) {
    const Choice& choice = choices[slice];
    const bool vacant = choice.memberHash == 0;
    if (vacant || std::binary_search(aRemoved.begin(), aRemoved.end(), choice.memberHash)) {
      return true;
    }
    for (std::uint64_t it : aAdded) {
      if (WeightOf(it, aShard) > choice.weight) {
        return true;
      }
    }
  }
  return false;
}

/** Assigns each slice the member of greatest weight, preferring unused failure domains. */
void SlicePlacement::Place(std::uint32_t aShard)
{
  std::vector<std::size_t> order(mMembers.size());
  std::vector<std::uint64_t> weights(mMembers.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
    weights[i] = WeightOf(mHashes[i], aShard);
  }
  std::vector<std::uint64_t> domains;
  std::vector<std::size_t> taken;
  for (std::uint32_t slice = 0; slice < mLayout.slices; ++slice) {
    // Rank by unused domain, then by having no slice of the shard, then by weight.
    const auto rank = [&](std::size_t aIndex) {
      const bool newDomain = std::count(domains.begin(), domains.end(), mDomains[aIndex]) == 0;
      const bool free = std::count(taken.begin(), taken.end(), aIndex) == 0;
      return std::tuple(newDomain, free, weights[aIndex]);
    };
    Choice& choice = mChoices[static_cast<std::size_t>(aShard) * mLayout.slices + slice];
    choice = {};
    const auto best =
      std::max_element(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return rank(aLeft) < rank(aRight);
      });
    if (best == order.end()) {
      continue;
    }
    choice = { weights[*best], mHashes[*best], *best };
    domains.push_back(mDomains[*best]);
    taken.push_back(*best);
  }
}

const VmIdentity* SlicePlacement::PreferredFor(std::uint32_t aShard, std::uint32_t aSlice) const
{
  const Choice& choice = mChoices[static_cast<std::size_t>(aShard) * mLayout.slices + aSlice];
  return choice.memberHash == 0 ? nullptr : &mMembers[choice.index];
}

} // namespace mustardwinch
