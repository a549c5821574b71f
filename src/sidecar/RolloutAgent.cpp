#include "sidecar/RolloutAgent.h"

#include "base/UntrustedJson.h"
#include "fleet/FleetCodec.h"
#include "mustardwinch/Event.h"
#include "quota/RateOwner.h"
#include "sidecar/RolloutCodec.h"
#include "sidecar/TrafficSplit.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mustardwinch {
namespace {

using nlohmann::json;

/** Reports and steps; a step holds for three of them. */
constexpr Milliseconds kRound{ 500 };

/** Pause between attempts to write a status, since calls to the store are charged. */
constexpr Milliseconds kWriteRetry{ 500 };

const char* NameOf(RolloutPhase aPhase)
{
  constexpr const char* kNames[] = { "waiting", "canary", "ramp", "new-only", "rolled-back" };
  return kNames[static_cast<std::size_t>(aPhase)];
}

const char* NameOf(RolloutState aState)
{
  constexpr const char* kNames[] = { "running", "completed", "rolled-back" };
  return kNames[static_cast<std::size_t>(aState)];
}

const char* NameOf(VersionVerdict aVerdict)
{
  constexpr const char* kNames[] = { "undecided", "good", "bad" };
  return kNames[static_cast<std::size_t>(aVerdict)];
}

std::string FormatShare(double aShare)
{
  constexpr int kPerMille = 1'000;
  return std::to_string(static_cast<int>(aShare * kPerMille));
}

json ToJson(const StoredObject& aObject)
{
  return { { "name", aObject.name },
           { "revision", aObject.revision },
           { "created", aObject.createRevision },
           { "spec", aObject.spec },
           { "status", aObject.status } };
}

std::optional<StoredObject> FromJson(const json& aValue)
{
  const bool valid = aValue.is_object() && aValue.contains("name") && aValue["name"].is_string() &&
                     aValue.contains("revision") && aValue["revision"].is_number_unsigned() &&
                     aValue.contains("created") && aValue["created"].is_number_unsigned();
  if (!valid) {
    return std::nullopt;
  }
  StoredObject object;
  object.name = aValue["name"].get<std::string>();
  object.revision = aValue["revision"].get<std::uint64_t>();
  object.createRevision = aValue["created"].get<std::uint64_t>();
  object.spec = aValue.value("spec", json());
  object.status = aValue.value("status", json());
  return object;
}

std::vector<RolloutCoordinator::LiveGate> GatesOf(const std::string& aService,
                                                  const std::vector<RolloutAgent::Member>& aMembers)
{
  std::vector<RolloutCoordinator::LiveGate> gates;
  for (const RolloutAgent::Member& it : aMembers) {
    if (it.service == aService) {
      gates.push_back({ it.vm, it.version });
    }
  }
  return gates;
}

} // namespace

RolloutAgent::RolloutAgent(Clock& aClock,
                           const RolloutSettings& aSettings,
                           const PlatformBinding& aBinding,
                           const ObjectStore& aStore,
                           std::string aVm,
                           Delegate aDelegate)
  : mClock(aClock)
  , mSettings(aSettings)
  , mBinding(aBinding)
  , mStore(aStore)
  , mVm(std::move(aVm))
  , mDelegate(std::move(aDelegate))
  , mTable(InitialSplitPosition(XXH64(mVm.data(), mVm.size(), 0)))
{
}

void RolloutAgent::Remember(const StoredObject& aObject)
{
  mObjects[aObject.name] = aObject;
}

void RolloutAgent::OnList(const std::vector<StoredObject>& aObjects, StorePosition aAt)
{
  std::vector<StoredRollout> rollouts;
  std::map<std::string, StoredObject> objects;
  for (const StoredObject& it : aObjects) {
    if (!it.removed) {
      rollouts.push_back(mBinding.decodeRollout(it));
      objects[it.name] = it;
    }
  }
  if (mTable.SetAll(rollouts, aAt, mClock.Now())) {
    mObjects = std::move(objects);
    mDelegate.onChange();
  }
}

void RolloutAgent::OnChange(const StoredObject& aObject, StorePosition aAt)
{
  if (aObject.removed) {
    mObjects.erase(aObject.name);
    mTable.Remove(aObject.name, aAt);
  } else {
    Remember(aObject);
    mTable.Set(mBinding.decodeRollout(aObject), aAt, mClock.Now());
  }
  mDelegate.onChange();
}

void RolloutAgent::ApplyPush(const StatePushMessage& aPush)
{
  const json document = ParseUntrustedJson(aPush.document);
  if (!document.is_array()) {
    return;
  }
  std::vector<StoredObject> objects;
  for (const json& it : document) {
    if (auto object = FromJson(it)) {
      objects.push_back(std::move(*object));
    }
  }
  OnList(objects, { aPush.epoch, aPush.version });
}

StatePushMessage RolloutAgent::MakePush() const
{
  json document = json::array();
  for (const auto& [name, object] : mObjects) {
    document.push_back(ToJson(object));
  }
  const StorePosition at = mTable.At();
  return {
    static_cast<std::uint8_t>(SharedState::kRollouts), at.revision, document.dump(), at.epoch
  };
}

void RolloutAgent::OnStep(const RolloutStepMessage& aMessage)
{
  if (const auto step = FromMessage(aMessage); step && mSettings.enabled) {
    Obey(*step);
    const auto it = mCoordinators.find(step->order.service);
    if (it != mCoordinators.end()) {
      it->second->OnStep(*step, mClock.Now());
    }
  }
}

void RolloutAgent::Obey(const RolloutStep& aStep)
{
  if (!mTable.OnStep(aStep, mClock.Now())) {
    return;
  }
  ++mSteps;
  LogEvent(LogLevel::kInfo,
           Event::kRolloutObeyed,
           { { "service", aStep.order.service },
             { "version", aStep.order.target },
             { "step", std::to_string(aStep.number) },
             { "phase", NameOf(aStep.phase) },
             { "per_mille", FormatShare(aStep.share) } });
  mDelegate.onChange();
}

void RolloutAgent::OnReport(const RolloutReportMessage& aMessage)
{
  const auto it = mCoordinators.find(aMessage.service);
  if (it != mCoordinators.end()) {
    it->second->OnReport(FromMessage(aMessage), mClock.Now());
  }
}

std::string RolloutAgent::CoordinatorOf(const std::string& aService,
                                        const std::vector<Member>& aMembers) const
{
  const bool someReachStore = std::any_of(
    aMembers.begin(), aMembers.end(), [](const Member& aMember) { return aMember.reachesStore; });
  std::vector<std::string> vms;
  for (const Member& it : aMembers) {
    if (it.reachesStore || !someReachStore) {
      vms.push_back(it.vm);
    }
  }
  SortByRank("rollout/" + aService, vms);
  return vms.empty() ? mVm : vms.front();
}

void RolloutAgent::Tick()
{
  const TimePoint now = mClock.Now();
  if (!mSettings.enabled || now < mNextRound) {
    return;
  }
  mNextRound = now + kRound;
  const std::vector<StoredRollout> running = mTable.Running();
  if (running.empty()) {
    mCoordinators.clear();
    return;
  }
  const std::vector<Member> members = mDelegate.members();
  for (const StoredRollout& it : running) {
    const std::string coordinator = CoordinatorOf(it.order.service, members);
    Report(it, coordinator);
    if (coordinator == mVm) {
      Lead(it, members);
    } else {
      mCoordinators.erase(it.order.service);
    }
  }
}

/** Tells the coordinator what the gate beside this node has seen, if the order concerns it. */
void RolloutAgent::Report(const StoredRollout& aRollout, const std::string& aCoordinator)
{
  RolloutReport report = mDelegate.report();
  if (report.service != aRollout.order.service) {
    return;
  }
  if (mEvidenceOrder != aRollout.order.id) {
    mEvidenceOrder = aRollout.order.id;
    mDelegate.beginEvidence();
    report.routes.clear();
  }
  report.orderId = aRollout.order.id;
  const RolloutStep* step = mTable.StepOf(aRollout.order.service);
  report.step = step != nullptr ? step->number : 0;
  if (aCoordinator == mVm) {
    CoordinatorFor(aRollout.order).OnReport(report, mClock.Now());
  } else {
    mDelegate.send(aCoordinator,
                   EncodeFleetMessage(FleetMessage::kRolloutReport, ToMessage(report)));
  }
}

RolloutCoordinator& RolloutAgent::CoordinatorFor(const RolloutOrder& aOrder)
{
  std::unique_ptr<RolloutCoordinator>& coordinator = mCoordinators[aOrder.service];
  if (!coordinator || !(coordinator->Order() == aOrder)) {
    const TimePoint now = mClock.Now();
    coordinator =
      std::make_unique<RolloutCoordinator>(aOrder, mSettings, mTable.BeginOf(aOrder.service), now);
    if (const RolloutStep* step = mTable.StepOf(aOrder.service)) {
      RolloutStep heard = *step;
      heard.age = std::chrono::duration_cast<Milliseconds>(now - mTable.BeginOf(aOrder.service));
      coordinator->OnStep(heard, now);
    }
  }
  return *coordinator;
}

void RolloutAgent::Lead(const StoredRollout& aRollout, const std::vector<Member>& aMembers)
{
  const std::string& service = aRollout.order.service;
  const bool isKnown = mDelegate.isServiceKnown(service);
  if (!aRollout.problem.empty() || !isKnown) {
    const std::string reason = aRollout.problem.empty() ? "unknown service" : aRollout.problem;
    WriteStatus(
      aRollout,
      { RolloutState::kRolledBack, aRollout.order.target, {}, reason, aRollout.order.id });
    return;
  }
  RolloutCoordinator& coordinator = CoordinatorFor(aRollout.order);
  const auto gates = GatesOf(service, aMembers);
  if (coordinator.Update(gates, mClock.Now())) {
    const RolloutFacts& facts = coordinator.Facts();
    const RolloutStep step = coordinator.Step(mClock.Now());
    LogEvent(LogLevel::kInfo,
             Event::kRolloutStep,
             { { "service", service },
               { "version", aRollout.order.target },
               { "step", std::to_string(step.number) },
               { "phase", NameOf(step.phase) },
               { "per_mille", FormatShare(step.share) },
               { "gates", std::to_string(step.gates.size()) },
               { "verdict", NameOf(coordinator.Verdict()) },
               { "requests", std::to_string(facts.requests) },
               { "exposed", std::to_string(facts.exposed) },
               { "new", std::to_string(facts.newGates) },
               { "old", std::to_string(facts.oldGates) },
               { "age_ms", std::to_string(step.age.count()) },
               { "why", coordinator.Reason() } });
  }
  TellStep(coordinator.Step(mClock.Now()), aMembers);
  const RolloutStatus status = NextStatus(aRollout, coordinator, gates);
  if (!(aRollout.status == status)) {
    WriteStatus(aRollout, status);
  }
}

void RolloutAgent::TellStep(const RolloutStep& aStep, const std::vector<Member>& aMembers)
{
  const std::string frame = EncodeFleetMessage(FleetMessage::kRolloutStep, ToMessage(aStep));
  for (const Member& it : aMembers) {
    if (it.vm != mVm) {
      mDelegate.send(it.vm, frame);
    }
  }
  Obey(aStep);
}

RolloutStatus RolloutAgent::NextStatus(
  const StoredRollout& aRollout,
  const RolloutCoordinator& aCoordinator,
  const std::vector<RolloutCoordinator::LiveGate>& aGates) const
{
  const bool begun = aRollout.State().has_value();
  RolloutStatus status;
  status.target = aRollout.order.target;
  status.base = begun ? aRollout.status->base : aCoordinator.BaseVersion(aGates);
  status.orderId = aRollout.order.id;
  if (aCoordinator.Step(mClock.Now()).phase == RolloutPhase::kRolledBack) {
    status.state = RolloutState::kRolledBack;
    status.reason = aCoordinator.Reason();
  } else if (aCoordinator.MayComplete(aGates, mClock.Now())) {
    status.state = RolloutState::kCompleted;
  }
  return status;
}

/** Writes under the revision that the decision was made on, so that a second one fails. */
void RolloutAgent::WriteStatus(const StoredRollout& aRollout, const RolloutStatus& aStatus)
{
  if (mWriting || mClock.Now() < mNextWrite) {
    return;
  }
  mWriting = true;
  mNextWrite = mClock.Now() + kWriteRetry;
  StoredObject object;
  object.name = aRollout.order.service;
  object.revision = aRollout.revision;
  object.status = mBinding.encodeRolloutStatus(aStatus);
  const std::weak_ptr<bool> alive = mAlive;
  mStore.putStatus(
    StoredKind::kRollouts,
    object,
    [this, alive, service = object.name, status = aStatus](const StoreReply& aReply) {
      if (!alive.expired()) {
        OnStatusWritten(service, status, aReply);
      }
    });
}

void RolloutAgent::OnStatusWritten(const std::string& aService,
                                   const RolloutStatus& aStatus,
                                   const StoreReply& aReply)
{
  mWriting = false;
  const bool done = aReply.status == StoreStatus::kDone;
  LogEvent(done ? LogLevel::kInfo : LogLevel::kWarn,
           Event::kRolloutStatus,
           { { "service", aService },
             { "version", aStatus.target },
             { "state", NameOf(aStatus.state) },
             { "written", done ? "yes" : "no" },
             { "why", aStatus.reason },
             { "detail", aReply.detail } });
  // The answer holds the object as it is now, also where another write came first.
  const bool told = done || aReply.status == StoreStatus::kConflict;
  if (told && !aReply.objects.empty()) {
    const StoredObject& object = aReply.objects.front();
    OnChange(object, { aReply.epoch.value_or(mTable.At().epoch), object.revision });
  }
}

bool RolloutAgent::DrawTarget(const std::string& aService)
{
  const bool drawn = mSettings.enabled && mTable.DrawTarget(aService, mClock.Now());
  mDrawn += drawn ? 1 : 0;
  return drawn;
}

VersionRule RolloutAgent::RuleFor(const std::string& aService, bool aDrawn) const
{
  return mSettings.enabled ? mTable.RuleFor(aService, aDrawn, mClock.Now()) : VersionRule{};
}

bool RolloutAgent::MayRun(const std::string& aService,
                          const std::string& aVersion,
                          const std::string& aMeantFor) const
{
  return !mSettings.enabled || mTable.MayRun(aService, aVersion, aMeantFor, mClock.Now());
}

bool RolloutAgent::IsInUse(const std::string& aService, const std::string& aVersion) const
{
  return !mSettings.enabled ||
         (mTable.IsKnown() && mTable.IsInUse(aService, aVersion, mClock.Now()));
}

std::string RolloutAgent::MetricsText() const
{
  return "mw_rollouts_running " + std::to_string(mTable.Running().size()) +
         "\nmw_rollouts_coordinated " + std::to_string(mCoordinators.size()) +
         "\nmw_rollout_steps_total " + std::to_string(mSteps) +
         "\nmw_rollout_requests_drawn_total " + std::to_string(mDrawn) + "\n";
}

} // namespace mustardwinch
