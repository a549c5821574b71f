#include "health/LatencyQuantile.h"

#include <cassert>

namespace mustardwinch {
namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kWindowSamples = 200;
constexpr std::size_t kMinSamples = 20;

} // namespace

LatencyQuantile::LatencyQuantile(double aProbability)
  : mProbability(aProbability)
  , mCurrent(MakeWindow())
{
  assert(aProbability > 0 && aProbability < 1);
}

LatencyQuantile::Window LatencyQuantile::MakeWindow() const
{
  return Window(acc::quantile_probability = mProbability);
}

void LatencyQuantile::Add(Duration aSample)
{
  mCurrent(static_cast<double>(aSample.count()));
  ++mCount;
  if (mCount == kWindowSamples) {
    mPrevious = Duration(static_cast<Duration::rep>(acc::p_square_quantile(mCurrent)));
    mCurrent = MakeWindow();
    mCount = 0;
  }
}

std::optional<Duration> LatencyQuantile::Value() const
{
  if (mCount < kMinSamples) {
    return mPrevious;
  }
  return Duration(static_cast<Duration::rep>(acc::p_square_quantile(mCurrent)));
}

} // namespace mustardwinch
