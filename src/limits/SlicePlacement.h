#pragma once

#include "limits/RateLayout.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Returns the shard of an organisation. */
std::uint32_t ShardOf(std::string_view aOrganisation, std::uint32_t aShards);

/**
 * Assigns slices to live members by rendezvous hashing. The slices of one shard are placed in
 * different failure domains if there are enough. Nodes with the same membership view compute the
 * same placement without communication, and a change of one member moves only its slices.
 */
class SlicePlacement
{
public:
  explicit SlicePlacement(RateLayout aLayout);

  /** Sets the live members; recomputes only the shards that the change affects. */
  void SetMembers(std::vector<VmIdentity> aMembers);

  /** Returns the preferred owner; null if there is no member for the slice. */
  const VmIdentity* PreferredFor(std::uint32_t aShard, std::uint32_t aSlice) const;

  const RateLayout& Layout() const { return mLayout; }
  const std::vector<VmIdentity>& Members() const { return mMembers; }

private:
  struct Choice
  {
    std::uint64_t weight = 0;
    std::uint64_t memberHash = 0; //!< 0: no member
    std::size_t index = 0;        //!< in mMembers
  };

  void SortMembers(std::vector<VmIdentity> aMembers);
  void Place(std::uint32_t aShard);
  bool IsTouched(std::uint32_t aShard,
                 const std::vector<std::uint64_t>& aRemoved,
                 const std::vector<std::uint64_t>& aAdded) const;

  RateLayout mLayout;
  std::vector<VmIdentity> mMembers;    //!< ordered by hash
  std::vector<std::uint64_t> mHashes;  //!< hashes of mMembers
  std::vector<std::uint64_t> mDomains; //!< hashes of the failure domains of mMembers
  std::vector<Choice> mChoices;        //!< by shard, then slice
};

} // namespace mustardwinch
