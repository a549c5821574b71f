#include "fleet/LinkTable.h"

#include "fleet/AliveVote.h"
#include "fleet/VmTag.h"
#include "mustardwinch/Event.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace mustardwinch {
namespace {

constexpr Milliseconds kNearPeriod{ 500 };
constexpr Milliseconds kFarPeriod{ 1'200 }; //!< bytes between failure domains are dear

/** Views are brought up to date several times a second; a busy node is late. */
constexpr Milliseconds kTickSlack{ 200 };

/** Above this many nodes heartbeats get rarer, so that each node sends about as many a second. */
constexpr std::size_t kUsualNodes = 90;

} // namespace

LinkTable::LinkTable(boost::asio::io_context& aLoop,
                     Clock& aClock,
                     MemberInfo aSelf,
                     PeerLink::Surroundings aSurroundings)
  : mLoop(aLoop)
  , mClock(aClock)
  , mSelf(std::move(aSelf))
  , mSurroundings(std::move(aSurroundings))
{
}

Milliseconds LinkTable::PeriodFor(const MemberInfo& aMember) const
{
  return Scaled(aMember.failureDomain == mSelf.failureDomain ? kNearPeriod : kFarPeriod);
}

Milliseconds LinkTable::Scaled(Milliseconds aPeriod) const
{
  const std::size_t nodes = std::max(kUsualNodes, mLinks.size());
  return aPeriod * nodes / kUsualNodes;
}

void LinkTable::Put(const MemberInfo& aMember)
{
  if (aMember.vm == mSelf.vm) {
    return;
  }
  const auto it = mLinks.find(aMember.vm);
  if (it == mLinks.end()) {
    LogEvent(LogLevel::kInfo,
             Event::kMemberJoined,
             { { "vm", aMember.vm }, { "link", aMember.link.ToString() } });
    const auto link =
      std::make_shared<PeerLink>(mLoop, mClock, aMember, PeriodFor(aMember), mSurroundings);
    mLinks.emplace(aMember.vm, link);
    mVotersOutdated = true;
    link->Tick();
    return;
  }
  if (aMember.at >= it->second->Member().at) {
    const bool moved = aMember.failureDomain != it->second->Member().failureDomain;
    it->second->SetMember(aMember);
    mVotersOutdated = mVotersOutdated || moved;
  }
}

void LinkTable::Remove(const std::string& aVm)
{
  const auto it = mLinks.find(aVm);
  if (it != mLinks.end()) {
    LogEvent(LogLevel::kInfo, Event::kMemberLeft, { { "vm", aVm } });
    it->second->Close();
    mLinks.erase(it);
    mUnheard.erase(aVm);
    mVotersOutdated = true;
  }
}

void LinkTable::SetAll(const std::vector<MemberInfo>& aMembers, Unlisted aUnlisted)
{
  std::set<std::string> names;
  for (const MemberInfo& it : aMembers) {
    names.insert(it.vm);
    Put(it);
  }
  std::vector<std::string> gone;
  for (const auto& [vm, link] : mLinks) {
    if (names.count(vm) != 0 || !link->Member().IsStored()) {
      continue;
    }
    if (aUnlisted == Unlisted::kRemove) {
      gone.push_back(vm);
    } else {
      MemberInfo member = link->Member();
      member.at = {};
      link->SetMember(member);
    }
  }
  for (const std::string& it : gone) {
    Remove(it);
  }
}

void LinkTable::Tick()
{
  UpdateVoters();
  for (const auto& [vm, link] : mLinks) {
    link->SetHeartbeatPeriod(PeriodFor(link->Member()));
    link->Tick();
  }
}

void LinkTable::Announce()
{
  for (const auto& [vm, link] : mLinks) {
    link->Announce();
  }
}

PeerLink* LinkTable::Find(const std::string& aVm) const
{
  const auto it = mLinks.find(aVm);
  return it != mLinks.end() ? it->second.get() : nullptr;
}

std::vector<std::string> LinkTable::LiveVms() const
{
  std::vector<std::string> live{ mSelf.vm };
  for (const auto& [vm, link] : mLinks) {
    if (link->IsLive()) {
      live.push_back(vm);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

std::vector<std::string> LinkTable::UnheardVms() const
{
  std::vector<std::string> unheard;
  for (const auto& [vm, link] : mLinks) {
    if (!link->IsLive()) {
      unheard.push_back(vm);
    }
  }
  return unheard;
}

void LinkTable::UpdateVoters()
{
  if (!mVotersOutdated) {
    return;
  }
  mVotersOutdated = false;
  VmsByDomain vms;
  vms[mSelf.failureDomain].push_back(mSelf.vm);
  for (const auto& [vm, link] : mLinks) {
    vms[link->Member().failureDomain].push_back(vm);
  }
  mVoters = ChooseVoters(vms);
}

std::vector<std::string> LinkTable::HeardVoters() const
{
  std::vector<std::string> voters;
  for (const std::string& it : mVoters) {
    const PeerLink* link = Find(it);
    if (link != nullptr && link->IsLive()) {
      voters.push_back(it);
    }
  }
  return voters;
}

std::vector<std::uint32_t> LinkTable::UnheardTags() const
{
  std::vector<std::uint32_t> tags;
  if (mVoters.count(mSelf.vm) == 0) {
    return tags;
  }
  for (const std::string& it : UnheardVms()) {
    tags.push_back(VmTag(it));
  }
  return tags;
}

void LinkTable::NoteUnheard(const std::string& aVm, const std::vector<std::uint32_t>& aUnheard)
{
  std::set<std::string>& unheard = mUnheard[aVm];
  unheard.clear();
  if (aUnheard.empty()) {
    return;
  }
  const std::set<std::uint32_t> tags(aUnheard.begin(), aUnheard.end());
  for (const auto& [vm, link] : mLinks) {
    if (tags.count(VmTag(vm)) != 0) {
      unheard.insert(vm);
    }
  }
}

bool LinkTable::MostBeganSince(TimePoint aTime) const
{
  std::size_t heard = 0;
  for (const auto& [vm, link] : mLinks) {
    if (!link->IsLive()) {
      continue;
    }
    if (link->Began() < aTime) {
      return false;
    }
    ++heard;
  }
  return heard > 0 && 2 * heard >= mLinks.size();
}

TimePoint LinkTable::MajorityHeard() const
{
  std::vector<TimePoint> heard{ mClock.Now() };
  for (const auto& [vm, link] : mLinks) {
    heard.push_back(link->LastHeard());
  }
  const auto median = heard.begin() + static_cast<std::ptrdiff_t>(heard.size() / 2);
  std::nth_element(heard.begin(), median, heard.end(), std::greater<>());
  return *median;
}

Duration LinkTable::DetectionTime() const
{
  return PeerLink::SuspicionTime(Scaled(kFarPeriod)) + kTickSlack;
}

std::vector<std::string> LinkTable::AgreedVms() const
{
  return AgreeOnAlive(LiveVms(), HeardVoters(), UnheardVms(), mUnheard);
}

} // namespace mustardwinch
