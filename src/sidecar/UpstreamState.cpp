#include "sidecar/UpstreamState.h"

#include <algorithm>

namespace mustardwinch {
namespace {

/** Maximum number of departed instances whose delayed announcements are recognised. */
constexpr std::size_t kMaxRemembered = 16;

} // namespace

void UpstreamState::Remember(const std::string& aInstance, std::uint64_t aProcessStartMs)
{
  std::erase_if(mDeparted,
                [&](const DepartedInstance& aOne) { return aOne.instance == aInstance; });
  mDeparted.push_back({ aInstance, aProcessStartMs });
  if (mDeparted.size() > kMaxRemembered) {
    mDeparted.pop_front();
  }
}

bool UpstreamState::HasDeparted(const UpstreamAnnouncement& aAnnouncement) const
{
  return std::any_of(mDeparted.begin(), mDeparted.end(), [&](const DepartedInstance& aOne) {
    const bool thisStart =
      aOne.processStartMs == 0 || aAnnouncement.processStartMs <= aOne.processStartMs;
    return aOne.instance == aAnnouncement.instance && thisStart;
  });
}

std::string UpstreamState::LeavingInstance() const
{
  if (mLeaving) {
    return mCurrent.instance;
  }
  const auto it =
    std::find_if(mDeparted.rbegin(), mDeparted.rend(), [this](const DepartedInstance& aOne) {
      // A later start of the current instance may be available.
      return aOne.instance != mCurrent.instance;
    });
  return it == mDeparted.rend() ? std::string() : it->instance;
}

UpstreamState::Change UpstreamState::Announce(const UpstreamAnnouncement& aAnnouncement,
                                              TimePoint aNow)
{
  const bool same = mKnown && aAnnouncement.instance == mCurrent.instance &&
                    aAnnouncement.processStartMs == mCurrent.processStartMs;
  if (mKnown && !same && aAnnouncement.processStartMs < mCurrent.processStartMs) {
    return Change::kStale;
  }
  if (same && aAnnouncement.sequence <= mCurrent.sequence) {
    return Change::kStale;
  }
  const bool wasLeaving = same && mLeaving;
  const bool replaced = !same;
  mKnown = true;
  mCurrent = aAnnouncement;
  mLeaving = aAnnouncement.draining || wasLeaving || HasDeparted(aAnnouncement);
  if (mLeaving && !wasLeaving) {
    Remember(aAnnouncement.instance, aAnnouncement.processStartMs);
  }
  if (replaced) {
    mWrongInstance = false;
    mColdUntil = aNow;
  }
  mColdUntil =
    aAnnouncement.coldRemaining.count() > 0 ? aNow + aAnnouncement.coldRemaining : mColdUntil;
  if (mLeaving && !wasLeaving) {
    return Change::kLeaving;
  }
  return replaced ? Change::kReplaced : Change::kUpdated;
}

UpstreamState::Change UpstreamState::Leave(const std::string& aInstance,
                                           std::uint64_t aProcessStartMs)
{
  Remember(aInstance, aProcessStartMs);
  if (!mKnown) {
    return Change::kLeaving;
  }
  const bool other = aInstance != mCurrent.instance ||
                     (aProcessStartMs != 0 && aProcessStartMs < mCurrent.processStartMs);
  if (other || mLeaving) {
    return Change::kStale;
  }
  mLeaving = true;
  return Change::kLeaving;
}

void UpstreamState::OnWrongInstance()
{
  mWrongInstance = true;
}

void UpstreamState::RememberLeaving(const std::string& aInstance)
{
  Remember(aInstance, 0);
  if (mKnown && mCurrent.instance == aInstance) {
    mLeaving = true;
  }
}

} // namespace mustardwinch
