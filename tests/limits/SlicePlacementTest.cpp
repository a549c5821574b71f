#include "limits/SlicePlacement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace mustardwinch;

namespace {

std::vector<VmIdentity> Members(const std::vector<std::uint8_t>& aNumbers, unsigned aDomains)
{
  std::vector<VmIdentity> members;
  for (std::uint8_t it : aNumbers) {
    const std::string domain = "fd" + std::to_string(it % aDomains);
    members.push_back({ "vm" + std::to_string(it), domain, "", { it, 1 }, 1 });
  }
  return members;
}

bool SamePlaces(const SlicePlacement& aLeft, const SlicePlacement& aRight)
{
  for (std::uint32_t shard = 0; shard < aLeft.Layout().shards; ++shard) {
    for (std::uint32_t slice = 0; slice < aLeft.Layout().slices; ++slice) {
      const VmIdentity* left = aLeft.PreferredFor(shard, slice);
      const VmIdentity* right = aRight.PreferredFor(shard, slice);
      const bool same =
        (left == nullptr) == (right == nullptr) && (left == nullptr || left->name == right->name);
      if (!same) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

TEST_CASE("SlicePlacement, any sequence of member changes, equals a newly computed placement")
{
  const bool held = rc::check([] {
    const auto domains = *rc::gen::inRange(1U, 5U);
    SlicePlacement grown({ 8, 2 });
    for (int i = 0; i < 4; ++i) {
      const auto numbers =
        *rc::gen::unique<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
      grown.SetMembers(Members(numbers, domains));
      SlicePlacement fresh({ 8, 2 });
      fresh.SetMembers(Members(numbers, domains));
      RC_ASSERT(SamePlaces(grown, fresh));
    }
  });
  CHECK(held);
}

TEST_CASE("SlicePlacement, several failure domains, puts the slices of a shard in two of them")
{
  SlicePlacement placement({ 64, 2 });
  placement.SetMembers(Members({ 1, 2, 3, 4, 5, 6, 7 }, 3));
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    CHECK(placement.PreferredFor(shard, 0)->failureDomain !=
          placement.PreferredFor(shard, 1)->failureDomain);
  }
}

TEST_CASE("SlicePlacement, no members, has no preferred owner")
{
  CHECK(SlicePlacement({ 2, 2 }).PreferredFor(1, 1) == nullptr);
}
