#include "sidecar/SidecarNode.h"

#include "mustardwinch/Event.h"
#include "quota/RateOwner.h"

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

namespace mustardwinch {
namespace {

/** Several round trips between failure domains on a busy VM. */
constexpr Milliseconds kCurrencyAskGap{ 300 };

/** Peers asked at a time: one of them may be the one that is cut off. */
constexpr std::size_t kPeersAsked = 2;

} // namespace

CurrencyReplyMessage SidecarNode::Currency() const
{
  CurrencyReplyMessage reply;
  reply.configVersion = mState.ConfigVersion();
  const auto confirmedAt = mKeys.ConfirmedAt();
  reply.confirmed = confirmedAt.has_value();
  if (confirmedAt) {
    const auto age = std::chrono::duration_cast<Milliseconds>(mClock.Now() - *confirmedAt);
    reply.ageMs = static_cast<std::uint32_t>(
      std::min<std::int64_t>(age.count() + 1, std::numeric_limits<std::uint32_t>::max()));
  }
  return reply;
}

void SidecarNode::ConfirmConfig()
{
  if (!mKeys.IsStrict()) {
    return;
  }
  const TimePoint now = mClock.Now();
  if (mKeys.ShouldAskStore(now)) {
    ConfigureWatchers();
  }
  if (!mKeys.ShouldAskPeers(now)) {
    mCurrencyAsks = 0;
  } else if (now >= mNextCurrencyAsk) {
    mNextCurrencyAsk = now + kCurrencyAskGap;
    AskPeersForCurrency();
  }
  LogKeyState();
}

/** Asks the VMs of the own failure domain first, the one that polls the store before the others. */
void SidecarNode::AskPeersForCurrency()
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [vm, link] : mLinks.All()) {
    if (link->IsLive()) {
      (link->Member().failureDomain == mSettings.failureDomain ? near : far).push_back(vm);
    }
  }
  SortByRank("watch", near);
  near.insert(near.end(), far.begin(), far.end());
  for (std::size_t i = 0; i < std::min(kPeersAsked, near.size()); ++i) {
    mLinks.Find(near[(mCurrencyAsks + i) % near.size()])->AskCurrency();
  }
  ++mCurrencyAsks;
}

void SidecarNode::LogKeyState()
{
  const TimePoint now = mClock.Now();
  const bool accepted = mKeys.MayAcceptKeys(now);
  if (accepted == mKeysAccepted) {
    return;
  }
  mKeysAccepted = accepted;
  const auto confirmedAt = mKeys.ConfirmedAt();
  const auto age = std::chrono::duration_cast<Milliseconds>(now - confirmedAt.value_or(now));
  LogEvent(accepted ? LogLevel::kInfo : LogLevel::kWarn,
           accepted ? Event::kKeysAccepted : Event::kKeysSuspended,
           { { "config", std::to_string(mState.ConfigVersion()) },
             { "age_ms", confirmedAt ? std::to_string(age.count()) : "never" } });
}

} // namespace mustardwinch
