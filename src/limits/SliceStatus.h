#pragma once

#include "limits/LeaseHolder.h"
#include "limits/LevelReport.h"
#include "limits/ShareMask.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <vector>

namespace mustardwinch {

/** Status of one slice on a node, for operators. */
struct SliceStatus
{
  enum class Term : std::uint8_t
  {
    kNone, //!< this node may not grant
    kFull,
    kTail, //!< the lease was not renewed in time; only the tail part may be granted
  };

  std::uint32_t shard = 0;
  std::uint32_t slice = 0;
  LeaseHolder holder; //!< as last read; empty if unknown
  Term term = Term::kNone;
  ShareMask share;                 //!< what this node may grant now
  std::uint32_t tails = 0;         //!< number of former holders that still have a tail
  Milliseconds termLeft{ 0 };      //!< until the current term ends
  std::vector<LevelReport> levels; //!< empty unless this node holds the lease

  bool operator==(const SliceStatus&) const = default;
};

} // namespace mustardwinch
