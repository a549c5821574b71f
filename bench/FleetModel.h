#pragma once

#include "ModelUpstream.h"
#include "gate/EjectionController.h"
#include "health/RetryPolicy.h"
#include "health/UpstreamPicker.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mustardwinch::bench {

/** How the ingresses of a run choose upstreams. */
enum class Way : std::uint8_t
{
  kRoundRobin,       //!< without ejection, without cold-start ramp
  kLeastOutstanding, //!< the same
  kMustardwinch,
};

/** What one run showed. */
struct FleetFigures
{
  std::vector<double> latenciesMs; //!< of requests that succeeded
  std::map<std::string, int> offered;
  std::map<std::string, int> succeeded;
  std::map<std::uint32_t, TimePoint> ejectedAt; //!< first ejection of each upstream
  int ejections = 0;

  double Success() const
  {
    double asked = 0;
    double got = 0;
    for (const auto& [name, n] : offered) {
      asked += n;
      const auto it = succeeded.find(name);
      got += it == succeeded.end() ? 0 : it->second;
    }
    return asked == 0 ? 0 : 100 * got / asked;
  }

  double SuccessOf(const std::string& aName) const
  {
    const auto it = succeeded.find(aName);
    return 100.0 * (it == succeeded.end() ? 0 : it->second) / std::max(1, offered.at(aName));
  }

  double P99()
  {
    if (latenciesMs.empty()) {
      return 0;
    }
    std::sort(latenciesMs.begin(), latenciesMs.end());
    return latenciesMs[latenciesMs.size() * 99 / 100];
  }
};

/**
 * One service in four failure domains under the real gates and pickers, with model upstreams and
 * simulated time. One ingress a failure domain; one gate an upstream.
 */
class FleetModel
{
public:
  struct Options
  {
    Way way = Way::kMustardwinch;
    std::uint32_t upstreams = 25;
    double medianMs = 20;
    double requestsPerSecond = 2000;
    double bigShare = 1; //!< rate of organisation "o0" against each of the seven others
    Milliseconds deadline{ 1000 };
    bool fair = true; //!< false: the gates do not tell organisations apart
    unsigned seed = 1;
  };

  explicit FleetModel(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mEjectionUpdater(Store(), "model")
  {
    mClock.Pause();
    mStart = mClock.Now();
    Configure({});
    for (std::uint32_t i = 0; i < kDomains; ++i) {
      mPickers.push_back(std::make_unique<UpstreamPicker>(
        mClock, mDirectory, DomainOf(i), aOptions.seed * kDomains + i));
    }
    for (std::uint32_t i = 0; i < aOptions.upstreams; ++i) {
      AddSite(i);
    }
    WarmUp();
  }

  /** Replaces the resources besides the service and its floor. */
  void Configure(std::vector<Resource> aResources)
  {
    const std::uint32_t ramp = IsNaive() ? 0 : 10'000;
    aResources.emplace_back(Service{ "booking", ramp, 7, 400 });
    aResources.emplace_back(CapacityFloor{ "booking", mOptions.upstreams * 7 / 2 });
    mConfig.Replace(std::make_shared<ConfigSnapshot>(++mRevision, std::move(aResources)));
  }

  /** Runs for aTime; figures are added to Figures(). */
  void Run(Duration aTime)
  {
    const TimePoint end = mClock.Now() + aTime;
    std::exponential_distribution<double> gap(mOptions.requestsPerSecond);
    while (mNextArrival <= end || (!mEvents.empty() && mEvents.top().at <= end)) {
      const bool event = !mEvents.empty() && mEvents.top().at <= mNextArrival;
      AdvanceTo(event ? mEvents.top().at : mNextArrival);
      if (event) {
        const auto action = mEvents.top().action;
        mEvents.pop();
        action();
        continue;
      }
      Arrive();
      mNextArrival += ToDuration(gap(mRandom));
    }
    AdvanceTo(end);
  }

  ModelUpstream& Upstream(std::uint32_t aIndex) { return mSites.at(aIndex)->model; }
  FleetFigures& Figures() { return mFigures; }

  /** Starts new figures; requests that arrived before do not count in them. */
  void ResetFigures()
  {
    mFigures = {};
    mCountedFrom = mClock.Now();
  }

  TimePoint Now() const { return mClock.Now(); }
  static std::string DomainOf(std::uint32_t aIndex)
  {
    return "fd" + std::to_string(aIndex % kDomains);
  }

  /** A restart of all upstreams of a domain: a new instance, cold. */
  void RestartDomain(std::uint32_t aDomain)
  {
    for (std::uint32_t i = aDomain; i < mOptions.upstreams; i += kDomains) {
      mSites[i]->announcement.instance += "'";
      mSites[i]->model.TurnCold(mClock.Now());
    }
  }

  /** Requests that ended at each upstream since the last call. */
  std::vector<int> TakeCounts()
  {
    std::vector<int> counts;
    for (const auto& it : mSites) {
      counts.push_back(it->begun);
      it->begun = 0;
    }
    return counts;
  }

private:
  static constexpr std::uint32_t kDomains = 4;
  static constexpr int kMaxAttempts = 3;

  struct Site
  {
    Site(Clock& aClock, const ConfigSource& aConfig, Address aGate, const std::string& aDomain)
      : scheduler(aClock, aConfig, aGate, aDomain)
    {
    }
    std::uint32_t index = 0;
    Announcement announcement;
    ModelUpstream model{ 0 };
    GateScheduler scheduler;
    std::unique_ptr<EjectionController> agent;
    int begun = 0;
    bool ejected = false;
  };

  struct Request
  {
    std::string organisation;
    std::uint32_t ingress = 0;
    TimePoint arrived;
    TimePoint deadline;
    std::vector<Address> tried;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  bool IsNaive() const { return mOptions.way != Way::kMustardwinch; }

  static Duration ToDuration(double aSeconds)
  {
    return Duration(static_cast<Duration::rep>(aSeconds * 1e9));
  }

  static Address At(std::uint32_t aPort)
  {
    return Address{ 0x7F000001, static_cast<std::uint16_t>(aPort) };
  }

  EjectionStore Store()
  {
    EjectionStore store;
    store.read = [this](const std::string&) -> Result<PlatformObject> {
      if (mObject.version == 0) {
        return ResultCode::kPlatformNotFound;
      }
      return mObject;
    };
    store.write = [this](const PlatformWrite& aWrite) -> Result<PlatformObject> {
      mObject.spec = aWrite.body;
      ++mObject.version;
      return mObject;
    };
    return store;
  }

  void AddSite(std::uint32_t aIndex)
  {
    const Address gate = At(500 + aIndex);
    auto site = std::make_unique<Site>(mClock, mConfig, gate, DomainOf(aIndex));
    site->index = aIndex;
    site->announcement = { "booking", At(100 + aIndex), "i", UpstreamState::kReady, 7, 400, 0 };
    site->model = ModelUpstream(mOptions.medianMs);
    site->agent = std::make_unique<EjectionController>(
      mClock, site->scheduler, mDirectory, mConfig, mEjectionUpdater, gate, [] { return 0; });
    mSites.push_back(std::move(site));
    mBySite[At(100 + aIndex)] = mSites.back().get();
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    mEvents.push({ aTime, mNextOrder++, std::move(aAction) });
  }

  void AdvanceTo(TimePoint aTime)
  {
    if (aTime > mClock.Now()) {
      mClock.Advance(aTime - mClock.Now());
    }
  }

  void WarmUp()
  {
    Control();
    mNextArrival = mClock.Now();
    Run(Seconds(20));
    ResetFigures();
  }

  /** The periodic work of all nodes. */
  void Control()
  {
    const std::uint64_t round = mRound++;
    for (const auto& site : mSites) {
      if (round % 10 == 0) {
        site->scheduler.Announce(site->announcement);
      }
      site->scheduler.Tick();
      if (round % 5 == 0 && !IsNaive()) {
        site->agent->Step();
      }
      NoteEjection(*site);
      if (round % 2 == 0) {
        mDirectory.ReplaceGate(At(500 + site->index), site->scheduler.Records());
      }
    }
    if (round % 10 == 0) {
      SendEvidence();
    }
    At(mClock.Now() + Milliseconds(100), [this] { Control(); });
  }

  void NoteEjection(Site& aSite)
  {
    const auto status = aSite.scheduler.Status();
    const bool ejected = !status.empty() && status[0].ejected;
    if (ejected && !aSite.ejected) {
      ++mFigures.ejections;
      mFigures.ejectedAt.try_emplace(aSite.index, mClock.Now());
    }
    aSite.ejected = ejected;
  }

  void SendEvidence()
  {
    for (std::uint32_t i = 0; i < kDomains; ++i) {
      for (const auto& [gate, evidence] : mPickers[i]->TakeEvidence()) {
        mBySite[evidence.upstream]->agent->OnEvidence(At(900 + i), evidence.Encode());
      }
    }
  }

  void Arrive()
  {
    auto request = std::make_shared<Request>();
    std::uniform_real_distribution<double> share(0, mOptions.bigShare + 7);
    const double drawn = share(mRandom) - mOptions.bigShare;
    request->organisation = "o" + std::to_string(drawn < 0 ? 0 : 1 + static_cast<int>(drawn));
    request->ingress = std::uniform_int_distribution<std::uint32_t>(0, kDomains - 1)(mRandom);
    request->arrived = mClock.Now();
    request->deadline = mClock.Now() + mOptions.deadline;
    ++mFigures.offered[request->organisation];
    mRetries.OnRequest("booking");
    Attempt(request);
  }

  std::optional<UpstreamRecord> Pick(const Request& aRequest)
  {
    const auto config = mConfig.Current();
    if (!IsNaive()) {
      return mPickers[aRequest.ingress]->Pick("booking", *config, aRequest.tried, true);
    }
    const auto list = mDirectory.Of("booking");
    const UpstreamRecord* best = nullptr;
    for (std::size_t i = 0; i < list->size(); ++i) {
      const UpstreamRecord& it = (*list)[(mRotation + i) % list->size()];
      const bool tried = std::find(aRequest.tried.begin(), aRequest.tried.end(), it.upstream) !=
                         aRequest.tried.end();
      if (tried || config->IsFailureDomainOut(it.failureDomain)) {
        continue;
      }
      if (best == nullptr || Outstanding(aRequest, it) < Outstanding(aRequest, *best)) {
        best = &it;
      }
      if (mOptions.way == Way::kRoundRobin) {
        break;
      }
    }
    ++mRotation;
    return best == nullptr ? std::nullopt : std::optional(*best);
  }

  int Outstanding(const Request& aRequest, const UpstreamRecord& aRecord)
  {
    return mOutstanding[{ aRequest.ingress, aRecord.upstream }];
  }

  void Attempt(const RequestPtr& aRequest)
  {
    const std::optional<UpstreamRecord> record = Pick(*aRequest);
    if (!record) {
      return;
    }
    aRequest->tried.push_back(record->upstream);
    ++mOutstanding[{ aRequest->ingress, record->upstream }];
    Site* site = mBySite[record->upstream];
    GateRequest gateRequest;
    gateRequest.organisation = mOptions.fair ? aRequest->organisation : std::string();
    gateRequest.deadline = aRequest->deadline;
    gateRequest.idempotent = true;
    gateRequest.onDecision = [this, aRequest, site, record = *record](ResultCode aCode) {
      Started(aRequest, *site, record, aCode);
    };
    site->scheduler.Submit(record->upstream, std::move(gateRequest));
  }

  void Started(const RequestPtr& aRequest,
               Site& aSite,
               const UpstreamRecord& aRecord,
               ResultCode aCode)
  {
    if (aCode != ResultCode::kOk) {
      const AttemptResult refusal{ aCode, 0, {}, {}, false };
      At(mClock.Now(), [this, aRequest, aRecord, refusal] { Ended(aRequest, aRecord, refusal); });
      return;
    }
    ++aSite.begun;
    const TimePoint began = mClock.Now();
    AttemptResult result = aSite.model.Begin(began, mRandom);
    At(began + result.total, [this, aRequest, site = &aSite, aRecord, result, began]() mutable {
      if (site->model.End(began)) {
        result.code = ResultCode::kUpstreamFailed;
        result.status = 0;
      }
      site->scheduler.Finish(aRecord.upstream, result, mOptions.fair ? aRequest->organisation : "");
      Ended(aRequest, aRecord, result);
    });
  }

  void Ended(const RequestPtr& aRequest,
             const UpstreamRecord& aRecord,
             const AttemptResult& aResult)
  {
    --mOutstanding[{ aRequest->ingress, aRecord.upstream }];
    if (!IsNaive()) {
      mPickers[aRequest->ingress]->Report(aRecord, aResult);
    }
    const bool inTime = mClock.Now() <= aRequest->deadline;
    if (aResult.code == ResultCode::kOk && aRequest->arrived < mCountedFrom) {
      return;
    }
    if (aResult.code == ResultCode::kOk && inTime) {
      ++mFigures.succeeded[aRequest->organisation];
      const auto took = std::chrono::duration<double, std::milli>(mClock.Now() - aRequest->arrived);
      mFigures.latenciesMs.push_back(took.count());
      return;
    }
    const int attempts = static_cast<int>(aRequest->tried.size());
    const Outcome outcome = OutcomeOf(aResult.code);
    const bool again = attempts < kMaxAttempts &&
                       mRetries.MayRetry("booking", outcome, true, aRequest->deadline, attempts);
    if (again) {
      Attempt(aRequest);
    }
  }

  const Options mOptions;
  Clock mClock;
  TimePoint mStart;
  std::mt19937 mRandom;
  ConfigSource mConfig;
  std::uint64_t mRevision = 0;
  UpstreamDirectory mDirectory;
  PlatformObject mObject;
  EjectionUpdater mEjectionUpdater;
  RetryPolicy mRetries{ mClock };
  std::vector<std::unique_ptr<UpstreamPicker>> mPickers;
  std::vector<std::unique_ptr<Site>> mSites;
  std::map<Address, Site*> mBySite;
  std::map<std::pair<std::uint32_t, Address>, int> mOutstanding;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextOrder = 0;
  std::uint64_t mRound = 0;
  std::size_t mRotation = 0;
  TimePoint mNextArrival{};
  FleetFigures mFigures;
  TimePoint mCountedFrom{};
};

} // namespace mustardwinch::bench
