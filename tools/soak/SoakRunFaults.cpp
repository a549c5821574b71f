#include "soak/SoakRun.h"

#include <algorithm>
#include <fstream>

namespace mustardwinch::soak {
namespace {

constexpr Milliseconds kKeyOverlap{ 2'500 }; //!< both keys are good: more than a change takes

bool IsOneOf(FaultKind aKind, FaultKind aFirst, FaultKind aLast)
{
  return aKind >= aFirst && aKind <= aLast;
}

} // namespace

void SoakRun::PlayFaults()
{
  const TimePoint begin = mClock.Now();
  PlanWireFaults();
  PlanStoreSteps();
  for (const FaultStep& it : MakeFaultPlan(mOptions.seed, mOptions.nodes, mOptions.length)) {
    const auto passed = std::chrono::duration_cast<Milliseconds>(mClock.Now() - begin);
    RunFor(std::max(Milliseconds(0), it.at - passed));
    Begin(it);
  }
  RunFor(mOptions.length - std::chrono::duration_cast<Milliseconds>(mClock.Now() - begin));
}

void SoakRun::PlanWireFaults()
{
  if (!mOptions.wire) {
    return;
  }
  for (WireStep it : MakeWirePlan(mOptions.seed, mOptions.nodes, mOptions.length)) {
    if (mOptions.onlyWire != WireFault::kNone) {
      it.fault = mOptions.onlyWire;
    }
    Later(it.at, [this, it] { BeginWireFault(it); });
  }
}

void SoakRun::BeginWireFault(const WireStep& aStep)
{
  Log(aStep.at, NameOf(aStep.fault), aStep.target, aStep.length);
  SoakUpstream& upstream = *mUpstreams[aStep.target];
  upstream.SetWireFault(aStep.fault);
  Later(aStep.length, [&upstream] { upstream.SetWireFault(WireFault::kNone); });
}

void SoakRun::Log(Milliseconds aAt, const char* aName, std::size_t aTarget, Milliseconds aLength)
{
  const auto now = std::chrono::duration_cast<Milliseconds>(mClock.Now().time_since_epoch());
  std::ofstream(mOptions.paths.folder + "/faults.log", std::ios::app)
    << now.count() << " ms, " << aAt.count() << " from the begin: " << aName << " " << aTarget
    << " for " << aLength.count() << " ms\n";
}

void SoakRun::Begin(const FaultStep& aStep)
{
  Log(aStep.at, NameOf(aStep.kind), aStep.target, aStep.length);
  if (IsOneOf(aStep.kind, FaultKind::kStopNode, FaultKind::kReloadNode)) {
    BeginNodeFault(aStep);
  } else if (IsOneOf(aStep.kind, FaultKind::kSilenceLink, FaultKind::kResetLink)) {
    BeginLinkFault(aStep);
  } else if (IsOneOf(aStep.kind, FaultKind::kStoreBusy, FaultKind::kStoreForgets)) {
    BeginStoreFault(aStep);
  } else if (IsOneOf(aStep.kind, FaultKind::kUpstreamGray, FaultKind::kUpstreamDrain)) {
    BeginUpstreamFault(aStep);
  } else {
    BeginChange(aStep);
  }
}

void SoakRun::BeginNodeFault(const FaultStep& aStep)
{
  SoakNode& node = *mNodes[aStep.target];
  switch (aStep.kind) {
    case FaultKind::kStopNode:
      node.Stop();
      break;
    case FaultKind::kKillNode:
      node.Kill();
      break;
    case FaultKind::kKillAllNodes:
      for (const auto& it : mNodes) {
        it->Kill();
      }
      break;
    case FaultKind::kPauseNode:
      node.Pause(aStep.length);
      break;
    default:
      node.Reload(aStep.target % 2 == 0);
      break;
  }
}

void SoakRun::BeginLinkFault(const FaultStep& aStep)
{
  constexpr Milliseconds kDelay{ 150 };
  SoakNode& node = *mNodes[aStep.target];
  RelayFaults faults;
  switch (aStep.kind) {
    case FaultKind::kSilenceLink:
      node.Relay().Silence();
      return;
    case FaultKind::kResetLink:
      node.Relay().Reset();
      return;
    case FaultKind::kCutToNode:
      faults.holdsThere = true;
      break;
    case FaultKind::kCutFromNode:
      faults.holdsBack = true;
      break;
    default:
      faults.delay = kDelay;
      break;
  }
  node.Relay().SetFaults(faults);
  Later(aStep.length, [&node] { node.Relay().SetFaults({}); });
}

void SoakRun::BeginStoreFault(const FaultStep& aStep)
{
  using Fault = StandinStore::Fault;
  mJudge.OnStoreFault(mClock.Now() + aStep.length);
  if (aStep.kind == FaultKind::kStoreForgets) {
    mStore->Compact();
    return;
  }
  constexpr Fault kFaults[] = {
    Fault::kBusy, Fault::kTooMany, Fault::kSilent, Fault::kLostReply, Fault::kMalformed
  };
  const auto index =
    static_cast<std::size_t>(aStep.kind) - static_cast<std::size_t>(FaultKind::kStoreBusy);
  mStore->SetFault(kFaults[index]);
  Later(aStep.length, [this] { mStore->SetFault(Fault::kNone); });
}

void SoakRun::BeginUpstreamFault(const FaultStep& aStep)
{
  SoakUpstream& upstream = *mUpstreams[aStep.target];
  switch (aStep.kind) {
    case FaultKind::kUpstreamCrash:
      upstream.Crash(aStep.length / 2);
      return;
    case FaultKind::kUpstreamDrain:
      upstream.Drain();
      return;
    case FaultKind::kUpstreamGray:
      upstream.SetFault(UpstreamFault::kGray);
      break;
    case FaultKind::kUpstreamHangs:
      upstream.SetFault(UpstreamFault::kHangs);
      break;
    default:
      upstream.SetFault(UpstreamFault::kSheds);
      break;
  }
  Later(aStep.length, [&upstream] { upstream.SetFault(UpstreamFault::kNone); });
}

void SoakRun::BeginChange(const FaultStep& aStep)
{
  if (aStep.kind == FaultKind::kReplaceKey) {
    ReplaceKey();
    return;
  }
  const std::string domain = kSoakDomains[aStep.target % 2];
  WriteWhenBack([this, domain] { SetEvacuated(domain, true); });
  Later(aStep.length * 2,
        [this, domain] { WriteWhenBack([this, domain] { SetEvacuated(domain, false); }); });
}

void SoakRun::SetEvacuated(const std::string& aDomain, bool aOut)
{
  if (!aOut) {
    mOut.erase(aDomain);
    mJudge.OnEvacuated(aDomain, false, mClock.Now());
    mStore->Remove("evacuations", aDomain);
    return;
  }
  mOut.insert(aDomain);
  mStore->Put("evacuations", aDomain, nlohmann::json::object());
  mJudge.OnEvacuated(aDomain, true, mClock.Now());
}

/** A new key is added; when it is in force everywhere, callers change to it and the old one goes.
 */
void SoakRun::ReplaceKey()
{
  SoakOrganisation& hot = mOrganisations[1];
  if (hot.keys.size() > 1) {
    return; // a replacement is under way
  }
  const std::string old = hot.keys.front();
  const std::string fresh = "key-south-" + std::to_string(++mKeys);
  hot.keys.insert(hot.keys.begin(), fresh); // callers take the last one
  WriteWhenBack([this, old, fresh] {
    WriteConfig();
    mJudge.OnKeyAdded(fresh, mClock.Now());
    Later(kKeyOverlap + PromiseBounds{}.contact,
          [this, old, fresh] { WriteWhenBack([this, old, fresh] { Withdraw(old, fresh); }); });
  });
}

void SoakRun::Withdraw(const std::string& aOld, const std::string& aFresh)
{
  mOrganisations[1].keys = { aFresh };
  mWithdrawnKey = aOld;
  WriteConfig();
  mJudge.OnKeyWithdrawn(aOld, mClock.Now());
}

void SoakRun::HealAll()
{
  mStore->SetFault(StandinStore::Fault::kNone);
  for (const char* it : kSoakDomains) {
    SetEvacuated(it, false);
  }
  for (const auto& it : mNodes) {
    it->Relay().SetFaults({});
  }
  for (const auto& it : mUpstreams) {
    it->SetFault(UpstreamFault::kNone);
    it->SetWireFault(WireFault::kNone);
  }
}

} // namespace mustardwinch::soak
