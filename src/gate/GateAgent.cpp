#include "gate/GateAgent.h"

#include "health/EjectionPolicy.h"
#include "mustardwinch/Event.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Milliseconds kStepInterval{ 500 };
constexpr Seconds kReadWhileEjected{ 5 };
constexpr Seconds kRetryWhileAway{ 5 };

bool Has(const std::vector<Address>& aList, const Address& aAddress)
{
  return std::find(aList.begin(), aList.end(), aAddress) != aList.end();
}

} // namespace

GateAgent::GateAgent(Clock& aClock,
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

GateAgent::~GateAgent()
{
  Stop();
}

void GateAgent::Start()
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

void GateAgent::Stop()
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

bool GateAgent::OnEvidence(const Address& aFrom, std::string_view aPayload)
{
  const std::optional<UpstreamEvidence> evidence = UpstreamEvidence::Decode(aPayload);
  if (!evidence) {
    return false;
  }
  if (aFrom != mGate) { // this node's own ingress is no second observer
    std::lock_guard lock(mMutex);
    mEvidence.Report(aFrom, *evidence, mClock.Now());
  }
  return true;
}

void GateAgent::OnProbe(const Address& aUpstream, bool aGood)
{
  std::lock_guard lock(mMutex);
  mEvidence.ReportProbe(aUpstream, aGood);
}

std::uint64_t GateAgent::NowMs() const
{
  if (mWallClock) {
    return mWallClock();
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

std::map<std::string, GateAgent::Statuses> GateAgent::ByService() const
{
  std::map<std::string, Statuses> services;
  for (GateUpstreamStatus& it : mScheduler.Status()) {
    services[it.service].push_back(std::move(it));
  }
  return services;
}

void GateAgent::Step()
{
  const auto services = ByService();
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

bool GateAgent::ShouldEject(const GateUpstreamStatus& aStatus) const
{
  if (aStatus.ejected || !aStatus.verdict.IsBad()) {
    return false;
  }
  std::lock_guard lock(mMutex);
  return mEvidence.Confirms(aStatus.upstream, aStatus.verdict.reason, mClock.Now());
}

bool GateAgent::NeedsUpdate(const ServiceState& aState,
                            const UpstreamDirectory::List& aList,
                            const ConfigSnapshot& aConfig,
                            const Statuses& aOwn) const
{
  const bool passed = std::any_of(
    aOwn.begin(), aOwn.end(), [](const GateUpstreamStatus& aOne) { return aOne.passedTrials; });
  if (passed && !aState.away) {
    return true;
  }
  const bool mayRead = mClock.Now() >= aState.nextRead;
  if (!aState.known) {
    return mayRead;
  }
  const EjectionPolicy policy(aList, aConfig, aState.lastKnown);
  return mayRead && std::any_of(aOwn.begin(), aOwn.end(), [&](const GateUpstreamStatus& aOne) {
           return aOne.ejected || aState.lastKnown.Find(aOne.upstream) != nullptr ||
                  (ShouldEject(aOne) && policy.MayEject(aOne.upstream));
         });
}

EjectionSet GateAgent::Decide(const UpstreamDirectory::List& aList,
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
    const bool ends = Has(released, it.upstream) || Has(aReleased, it.upstream);
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

void GateAgent::StepService(const std::string& aService, const Statuses& aOwn)
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
    state.away = true;
    state.nextRead = mClock.Now() + kRetryWhileAway;
    ReleaseLocally(aOwn, state);
    return;
  }
  const bool anyOwn = std::any_of(aOwn.begin(), aOwn.end(), [&](const GateUpstreamStatus& aOne) {
    return result.Value().Find(aOne.upstream) != nullptr;
  });
  state.lastKnown = result.Value();
  state.known = true;
  state.away = false;
  state.released.clear();
  state.nextRead = mClock.Now() + (anyOwn ? Duration(kReadWhileEjected) : Duration::zero());
  Apply(aOwn, result.Value());
}

void GateAgent::ReleaseLocally(const Statuses& aOwn, ServiceState& aState)
{
  const auto config = mConfig.Current();
  for (const GateUpstreamStatus& it : aOwn) {
    const UpstreamDirectory::List list = mDirectory.Of(it.service);
    const EjectionPolicy policy(list, *config, aState.lastKnown);
    // The end of an ejection cannot break the floor, so it needs no agreement.
    const bool ends = it.passedTrials || Has(policy.EjectionsToRelease(), it.upstream);
    if (it.ejected && ends) {
      aState.released.push_back(it.upstream);
      SetEjected(it, nullptr);
    }
  }
}

void GateAgent::Apply(const Statuses& aOwn, const EjectionSet& aSet)
{
  for (const GateUpstreamStatus& it : aOwn) {
    const Ejection* ejection = aSet.Find(it.upstream);
    const bool applies = ejection != nullptr && ejection->instance == it.instance;
    SetEjected(it, applies ? ejection : nullptr);
  }
}

void GateAgent::SetEjected(const GateUpstreamStatus& aStatus, const Ejection* aEjection)
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

nlohmann::json GateAgent::Status() const
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
