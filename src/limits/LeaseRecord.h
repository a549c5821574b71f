#pragma once

#include "limits/CarriedLevel.h"
#include "limits/LeaseHolder.h"
#include "limits/LeaseTail.h"
#include "limits/LeaseTerms.h"
#include "limits/ShareMask.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace mustardwinch {

/** Content of a lease object on the platform: who may grant the tokens of one slice. */
struct LeaseRecord
{
  LeaseHolder holder;
  bool released = false; //!< the holder has stopped granting; `levels` is its final state
  LeaseTerms terms;      //!< terms that the holder applies
  ShareMask share = ShareMask::Whole();
  std::vector<LeaseTail> tails; //!< disjoint from `share` and from each other
  std::vector<CarriedLevel> levels;

  bool operator==(const LeaseRecord&) const = default;

  nlohmann::json ToJson() const;

  /** Returns nullopt if the JSON is not a valid lease. */
  static std::optional<LeaseRecord> FromJson(const nlohmann::json& aJson);
};

} // namespace mustardwinch
