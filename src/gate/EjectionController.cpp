#include "gate/EjectionController.h"

#include "health/EjectionPolicy.h"
#include "mustardwinch/Event.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Milliseconds kStepInterval{ 500 };
constexpr Seconds kReadIntervalWhileEjected{ 5 };
constexpr Seconds kRetryIntervalWhileUnreachable{ 5 };

bool Contains(const std::vector<Address>& aList, const Address& aAddress)
{
  return std::find(aList.begin(), aList.end(), aAddress) != aList.end();
}

} // namespace

EjectionController::EjectionController(Clock& aClock,
                                       GateScheduler& aScheduler,
                                       const UpstreamDirectory& aDirectory,
                                       const ConfigSource& aConfig,
                                       EjectionUpdater& aEjectionUpdater,
                                       Address aGate,
                                       WallClock aWallClock)
  : mClock(aClock)
  , mScheduler(aScheduler)
  , mDirectory(aDirectory)
  , mConfig(aConfig)
  , mEjectionUpdater(aEjectionUpdater)
  , mGate(aGate)
  , mWallClock(std::move(aWallClock))
{
}

EjectionController::~EjectionController()
{
  Stop();
}

void EjectionController::Start()
{
  mThread = std::thread([this] {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      lock.unlock();
      Step();
      lock.lock();
      mWake.wait_for(lock, kStepInterval, [this] { return mStopping; });
    }
  });
}

void EjectionController::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool EjectionController::OnEvidence(const Address& aFrom, std::string_view aPayload)
{
  const std::optional<UpstreamEvidence> evidence = UpstreamEvidence::Decode(aPayload);
  if (!evidence) {
    return false;
  }
  if (aFrom != mGate) { // this node's own ingress is not an independent observer
    std::lock_guard lock(mMutex);
    mEvidence.Report(aFrom, *evidence, mClock.Now());
  }
  return true;
}

void EjectionController::OnProbe(const Address& aUpstream, bool aSucceeded)
{
  std::lock_guard lock(mMutex);
  mEvidence.ReportProbe(aUpstream, aSucceeded);
}

std::uint64_t EjectionController::NowMs() const
{
  if (mWallClock) {
    return mWallClock();
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

std::map<std::string, EjectionController::Statuses> EjectionController::StatusByService() const
{
  std::map<std::string, Statuses> services;
  for (GateUpstreamStatus& it : mScheduler.Status()) {
    services[it.service].push_back(std::move(it));
  }
  return services;
}

void EjectionController::Step()
{
  const auto services = StatusByService();
  std::erase_if(mServices, [&](const auto& aEntry) { return !services.contains(aEntry.first); });
  for (const auto& [service, own] : services) {
    const UpstreamDirectory::List list = mDirectory.Of(service);
    for (const GateUpstreamStatus& it : own) {
      mScheduler.SetPeers(it.upstream, SummarisePeers(list, it.upstream));
    }
    StepService(service, own);
  }
  std::lock_guard lock(mMutex);
  mEvidence.RemoveExpired(mClock.Now());
}

bool EjectionController::ShouldEject(const GateUpstreamStatus& aStatus) const
{
  if (aStatus.ejected || !aStatus.verdict.IsBad()) {
    return false;
  }
  std::lock_guard lock(mMutex);
  return mEvidence.Confirms(aStatus.upstream, aStatus.verdict.reason, mClock.Now());
}

bool EjectionController::NeedsUpdate(const ServiceState& aState,
                                     const UpstreamDirectory::List& aList,
                                     const ConfigSnapshot& aConfig,
                                     const Statuses& aOwn) const
{
  const bool passed = std::any_of(
    aOwn.begin(), aOwn.end(), [](const GateUpstreamStatus& aOne) { return aOne.passedTrials; });
  if (passed && !aState.platformUnreachable) {
    return true;
  }
  const bool mayRead = mClock.Now() >= aState.nextRead;
  if (!aState.everRead) {
    return mayRead;
  }
  const EjectionPolicy policy(aList, aConfig, aState.lastKnown);
  return mayRead && std::any_of(aOwn.begin(), aOwn.end(), [&](const GateUpstreamStatus& aOne) {
           return aOne.ejected || aState.lastKnown.Find(aOne.upstream) != nullptr ||
                  (ShouldEject(aOne) && policy.MayEject(aOne.upstream));
         });
}

EjectionSet EjectionController::Decide(const UpstreamDirectory::List& aList,
                                       const ConfigSnapshot& aConfig,
                                       const Statuses& aOwn,
                                       const std::vector<Address>& aReleased,
                                       const EjectionSet& aCurrent) const
{
  EjectionSet set = aCurrent;
  const EjectionPolicy before(aList, aConfig, aCurrent);
  const std::vector<Address> released = before.EjectionsToRelease();
  for (const Address& it : before.StaleEjections()) {
    set = set.Without(it);
  }
  for (const GateUpstreamStatus& it : aOwn) {
    const bool restarted = !set.Contains(it.upstream, it.instance);
    const bool ends = Contains(released, it.upstream) || Contains(aReleased, it.upstream);
    if (it.passedTrials || restarted || ends) {
      set = set.Without(it.upstream);
    }
  }
  for (const GateUpstreamStatus& it : aOwn) {
    const EjectionPolicy policy(aList, aConfig, set);
    if (ShouldEject(it) && policy.MayEject(it.upstream)) {
      set = set.With({ it.upstream, it.instance, it.verdict.reason, it.verdict.badness, NowMs() });
    }
  }
  return set;
}

void EjectionController::StepService(const std::string& aService, const Statuses& aOwn)
{
  ServiceState& state = mServices[aService];
  const UpstreamDirectory::List list = mDirectory.Of(aService);
  const auto config = mConfig.Current();
  if (!NeedsUpdate(state, list, *config, aOwn)) {
    ReleaseLocally(aOwn, state);
    return;
  }
  const Result<EjectionSet> result =
    mEjectionUpdater.Update(aService, [&](const EjectionSet& aCurrent) {
      return Decide(list, *config, aOwn, state.released, aCurrent);
    });
  if (!result) {
    state.platformUnreachable = true;
    state.nextRead = mClock.Now() + kRetryIntervalWhileUnreachable;
    ReleaseLocally(aOwn, state);
    return;
  }
  const bool anyOwn = std::any_of(aOwn.begin(), aOwn.end(), [&](const GateUpstreamStatus& aOne) {
    return result.Value().Find(aOne.upstream) != nullptr;
  });
  state.lastKnown = result.Value();
  state.everRead = true;
  state.platformUnreachable = false;
  state.released.clear();
  state.nextRead = mClock.Now() + (anyOwn ? Duration(kReadIntervalWhileEjected) : Duration::zero());
  ApplySet(aOwn, result.Value());
}

void EjectionController::ReleaseLocally(const Statuses& aOwn, ServiceState& aState)
{
  const auto config = mConfig.Current();
  for (const GateUpstreamStatus& it : aOwn) {
    const UpstreamDirectory::List list = mDirectory.Of(it.service);
    const EjectionPolicy policy(list, *config, aState.lastKnown);
    // Ending an ejection cannot break the capacity floor, so the updater need not agree.
    const bool ends = it.passedTrials || Contains(policy.EjectionsToRelease(), it.upstream);
    if (it.ejected && ends) {
      aState.released.push_back(it.upstream);
      SetEjected(it, nullptr);
    }
  }
}

void EjectionController::ApplySet(const Statuses& aOwn, const EjectionSet& aSet)
{
  for (const GateUpstreamStatus& it : aOwn) {
    const Ejection* ejection = aSet.Find(it.upstream);
    const bool applies = ejection != nullptr && ejection->instance == it.instance;
    SetEjected(it, applies ? ejection : nullptr);
  }
}

void EjectionController::SetEjected(const GateUpstreamStatus& aStatus, const Ejection* aEjection)
{
  const bool ejected = aEjection != nullptr;
  if (ejected == aStatus.ejected) {
    return;
  }
  mScheduler.SetEjected(aStatus.upstream, ejected);
  LogEvent(
    ejected ? LogLevel::kWarn : LogLevel::kInfo,
    ejected ? Event::kUpstreamEjected : Event::kUpstreamReturned,
    { { "upstream", aStatus.upstream.ToString() },
      { "service", aStatus.service },
      { "reason", std::string(NameOf(ejected ? aEjection->reason : EjectionReason::kNone)) } });
}

nlohmann::json EjectionController::Status() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const GateUpstreamStatus& it : mScheduler.Status()) {
    list.push_back({ { "service", it.service },
                     { "upstream", it.upstream.ToString() },
                     { "instance", it.instance },
                     { "running", it.running },
                     { "waiting", it.waiting },
                     { "limit", it.limit },
                     { "slots", it.slots },
                     { "cold", it.cold },
                     { "ejected", it.ejected },
                     { "verdict", std::string(NameOf(it.verdict.reason)) },
                     { "distrustsPool", it.distrustsPool },
                     { "failureShare", it.failureShare } });
  }
  return list;
}

} // namespace mustardwinch
