#include "mwload/ArrivalSchedule.h"

#include <algorithm>
#include <utility>

namespace mustardwinch::load {

namespace {

std::vector<double> WeightsOf(const LoadPlan& aPlan)
{
  std::vector<double> weights;
  for (const PlannedRoute& it : aPlan.routes) {
    weights.push_back(it.weight);
  }
  return weights;
}

} // namespace

ArrivalSchedule::ArrivalSchedule(const LoadPlan& aPlan, std::string aRunId)
  : mPlan(aPlan)
  , mRunId(std::move(aRunId))
  , mRandom(aPlan.seed)
{
  const std::vector<double> weights = WeightsOf(aPlan);
  mPickRoute = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  for (const PlannedOrganisation& it : aPlan.organisations) {
    mDue.push_back(Gap(it));
  }
}

std::optional<PlannedCall> ArrivalSchedule::Next()
{
  const auto due = std::min_element(mDue.begin(), mDue.end());
  if (*due >= mPlan.seconds) {
    return std::nullopt;
  }
  const auto& organisation = mPlan.organisations[static_cast<std::size_t>(due - mDue.begin())];
  std::uniform_int_distribution<std::size_t> pickNode(0, mPlan.nodes.size() - 1);
  PlannedCall call;
  call.dueSeconds = *due;
  call.id = mRunId + "-" + std::to_string(++mCount);
  call.node = mPlan.nodes[pickNode(mRandom)];
  call.organisation = &organisation;
  call.route = &mPlan.routes[mPickRoute(mRandom)];
  *due += Gap(organisation);
  return call;
}

double ArrivalSchedule::Gap(const PlannedOrganisation& aOrganisation)
{
  return std::exponential_distribution<double>(aOrganisation.rate)(mRandom);
}

} // namespace mustardwinch::load
