#pragma once

#include "limits/RateLayout.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** The shard that an organisation belongs to. */
std::uint32_t ShardOf(std::string_view aOrganisation, std::uint32_t aShards);

/**
 * Which live member should own which slice: rendezvous hashing, the slices of one shard in
 * different failure domains as long as there are enough. Nodes with the same view agree without a
 * message, and a change of one member moves only the slices of that member.
 */
class SlicePlacement
{
public:
  explicit SlicePlacement(RateLayout aLayout);

  /** Takes over the present members; places anew only the shards that the changes touch. */
  void SetMembers(std::vector<VmIdentity> aMembers);

  /** The preferred owner; null if there is no member for the slice. */
  const VmIdentity* PreferredFor(std::uint32_t aShard, std::uint32_t aSlice) const;

  const RateLayout& Layout() const { return mLayout; }
  const std::vector<VmIdentity>& Members() const { return mMembers; }

private:
  struct Choice
  {
    std::uint64_t weight = 0;
    std::uint64_t memberHash = 0; //!< 0: nobody
    std::size_t index = 0;        //!< in mMembers
  };

  void SortMembers(std::vector<VmIdentity> aMembers);
  void Place(std::uint32_t aShard);
  bool IsTouched(std::uint32_t aShard,
                 const std::vector<std::uint64_t>& aExpiry,
                 const std::vector<std::uint64_t>& aNew) const;

  RateLayout mLayout;
  std::vector<VmIdentity> mMembers;    //!< in order of hash
  std::vector<std::uint64_t> mHashes;  //!< of the members
  std::vector<std::uint64_t> mDomains; //!< hashes of the members' failure domains
  std::vector<Choice> mChoices;        //!< by shard, then slice
};

} // namespace mustardwinch
