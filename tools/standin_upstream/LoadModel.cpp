#include "standin_upstream/LoadModel.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mustardwinch::standin {

namespace {

constexpr double kColdShare = 0.25;      // of the slots, at the start of the cold time
constexpr std::uint32_t kShedFactor = 2; // sheds beyond this many times what it can bear

} // namespace

LoadModel::LoadModel(Clock& aClock, Settings aSettings)
  : mClock(aClock)
  , mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mColdSince(aClock.Now())
{
}

LoadModel::Admission LoadModel::Begin()
{
  std::lock_guard lock(mMutex);
  Admission admission;
  admission.capacity = Capacity();
  admission.cold = IsCold();
  admission.concurrency = mRunning + 1;
  if (admission.cold && admission.concurrency > kShedFactor * admission.capacity) {
    admission.shed = true;
    return admission;
  }
  ++mRunning;
  std::lognormal_distribution<double> jitter(0, mSettings.jitter);
  double ms = static_cast<double>(mSettings.median.count()) * jitter(mRandom);
  const double overload = static_cast<double>(admission.concurrency) / admission.capacity;
  if (overload > 1) {
    ms *= std::pow(overload, admission.cold ? 3 : 2);
  }
  admission.serviceTime = Milliseconds(std::llround(ms));
  return admission;
}

void LoadModel::End()
{
  std::lock_guard lock(mMutex);
  assert(mRunning > 0);
  --mRunning;
}

void LoadModel::TurnCold()
{
  std::lock_guard lock(mMutex);
  mColdSince = mClock.Now();
}

std::uint32_t LoadModel::Running() const
{
  std::lock_guard lock(mMutex);
  return mRunning;
}

double LoadModel::Random()
{
  std::lock_guard lock(mMutex);
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

std::uint32_t LoadModel::Capacity() const
{
  if (!IsCold()) {
    return mSettings.slots;
  }
  const double warmed = std::chrono::duration<double>(mClock.Now() - mColdSince) /
                        std::chrono::duration<double>(mSettings.coldTime);
  const double share = kColdShare + (1 - kColdShare) * warmed;
  return std::max(1U, static_cast<std::uint32_t>(share * mSettings.slots));
}

bool LoadModel::IsCold() const
{
  return mClock.Now() - mColdSince < mSettings.coldTime;
}

} // namespace mustardwinch::standin
