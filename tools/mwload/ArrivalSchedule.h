#pragma once

#include "mwload/LoadPlan.h"
#include "mwload/PlannedCall.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mustardwinch::load {

/** Poisson arrivals of each organisation, merged in order of time. The same seed gives the same. */
class ArrivalSchedule
{
public:
  /** @param aPlan must outlive the schedule @param aRunId makes the ids of two runs different */
  ArrivalSchedule(const LoadPlan& aPlan, std::string aRunId);

  /** The next call; nothing when the time of the plan is over. */
  std::optional<PlannedCall> Next();

private:
  double Gap(const PlannedOrganisation& aOrganisation);

  const LoadPlan& mPlan;
  const std::string mRunId;
  std::mt19937_64 mRandom;
  std::discrete_distribution<std::size_t> mPickRoute;
  std::vector<double> mDue; //!< next arrival of each organisation
  std::uint64_t mCount = 0;
};

} // namespace mustardwinch::load
