#include "soak/SoakRun.h"

#include <netinet/in.h>
#include <unistd.h>

#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr std::size_t kCallersPerNode = 4;
constexpr Milliseconds kTick{ 20 };
constexpr Milliseconds kStartLimit{ 20'000 };
constexpr Milliseconds kSettle{ 7'000 }; //!< cold times, take-overs and restarts are over
constexpr Milliseconds kCalmTime{ 3'000 };
constexpr double kLeastCalmShare = 0.9; //!< of the calls to a fleet without faults

/** An organisation that sends more than its rate all the time. */
constexpr const char* kHot = "south";
constexpr double kHotRate = 15;

bool IsServed(const CallCounts& aCounts)
{
  return aCounts.sent > 0 &&
         static_cast<double>(aCounts.served) >= kLeastCalmShare * static_cast<double>(aCounts.sent);
}

} // namespace

SoakRun::SoakRun(SoakOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mUploadRandom(~mOptions.seed)
{
}

/** 127.x.y.n: x and y from the process id, so that runs at the same time have their own numbers. */
NodePlace SoakRun::PlaceOf(std::size_t aNumber) const
{
  constexpr std::uint32_t kFirstNode = 10;
  constexpr std::uint32_t kNet = 127U << 24;
  constexpr std::uint32_t kRunBits = 14;
  const auto run = static_cast<std::uint32_t>(getpid()) & ((1U << kRunBits) - 1);
  const std::uint32_t ip = kNet + (run << 8U) + kFirstNode + static_cast<std::uint32_t>(aNumber);
  NodePlace place;
  place.number = aNumber;
  place.failureDomain = kSoakDomains[aNumber % 2];
  place.service = aNumber % 3 == 2 ? "dispatch" : "booking";
  place.link = { ip, 7'000 };
  place.relay = { ip, 7'001 };
  place.callers = { ip, 7'002 };
  place.readiness = { ip, 7'003 };
  place.control = { ip, 7'004 };
  place.metrics = { ip, 7'005 };
  place.store = { kNet + (run << 8U) + 1, 7'100 };
  return place;
}

void SoakRun::Build()
{
  mStore = std::make_unique<StandinStore>(mLoop, mClock, PlaceOf(0).store);
  const double northRate = mOptions.callsPerSecond * static_cast<double>(mOptions.nodes) * 2;
  mOrganisations = { { "north", { "key-north" }, northRate, northRate },
                     { kHot, { "key-south" }, kHotRate, kHotRate } };
  for (const SoakOrganisation& it : mOrganisations) {
    mJudge.OnRate(it.name, it.ratePerSecond, it.burst);
  }
  WriteConfig();
  for (std::size_t i = 0; i < mOptions.nodes; ++i) {
    const NodePlace place = PlaceOf(i);
    mNodes.push_back(std::make_unique<SoakNode>(mLoop, mClock, place, mOptions.paths, mJudge));
    const Address upstream{ place.link.ip, 7'200 };
    mUpstreams.push_back(std::make_unique<SoakUpstream>(
      mLoop,
      mClock,
      UpstreamPlace{ i, place.service, place.failureDomain, upstream, place.control },
      mJudge,
      mOptions.seed + i));
  }
}

void SoakRun::WriteConfig()
{
  mVersion += 1 + mRandom() % 5; // versions grow in uneven steps
  mConfig = ConfigSpec(mVersion, mOrganisations, mAddedRoutes);
  mStore->Put("config", "main", mConfig);
}

void SoakRun::AddCallers()
{
  for (std::size_t i = 0; i < mOptions.nodes * kCallersPerNode; ++i) {
    const std::size_t node = i % mOptions.nodes;
    const auto choose = [this](SoakRequest& aRequest) { return ChooseCall(aRequest); };
    mCallers.push_back(std::make_shared<SoakCaller>(mLoop,
                                                    mClock,
                                                    node,
                                                    mNodes[node]->Place().callers,
                                                    mJudge,
                                                    mCounts,
                                                    choose,
                                                    mOptions.seed * 1'000 + i));
    mCallers.back()->Run(mOptions.callsPerSecond / kCallersPerNode);
  }
}

std::string SoakRun::ChooseUpload(SoakRequest& aRequest)
{
  constexpr std::size_t kLeast = 20'000;
  constexpr std::size_t kMost = 990'000;
  const SoakOrganisation& it = mOrganisations.front();
  aRequest.service = "booking";
  aRequest.organisation = it.name;
  aRequest.key = it.keys.back();
  aRequest.bodyBytes = std::uniform_int_distribution<std::size_t>(kLeast, kMost)(mUploadRandom);
  return "/upload/" + aRequest.id;
}

std::string SoakRun::ChooseAddedRoute(SoakRequest& aRequest)
{
  const SoakOrganisation& it = mOrganisations.front();
  aRequest.service = "booking";
  aRequest.organisation = it.name;
  aRequest.key = it.keys.back();
  aRequest.idempotent = true;
  aRequest.addedRoute = mAddedRoutes[mUploadRandom() % mAddedRoutes.size()];
  return "/" + aRequest.addedRoute + "/" + aRequest.id;
}

std::string SoakRun::ChooseCall(SoakRequest& aRequest)
{
  constexpr double kUploadShare = 0.1;
  constexpr double kAddedShare = 0.15;
  constexpr double kOpen = 0.1;
  constexpr double kHotShare = 0.4;
  constexpr double kOldKeyShare = 0.1;
  std::uniform_real_distribution<> share(0, 1);
  aRequest.id = "q" + std::to_string(mOptions.seed) + "-" + std::to_string(++mCalls);
  if (mOptions.wire && share(mUploadRandom) < kUploadShare) {
    return ChooseUpload(aRequest);
  }
  if (!mAddedRoutes.empty() && share(mUploadRandom) < kAddedShare) {
    return ChooseAddedRoute(aRequest);
  }
  const double route = share(mRandom);
  std::string name = route < 0.3 ? "safe" : route < 0.7 ? "unsafe" : "dispatch";
  aRequest.service = name == "dispatch" ? "dispatch" : "booking";
  if (share(mRandom) < kOpen) {
    name = "open";
    aRequest.service = "booking";
  } else {
    const SoakOrganisation& it = mOrganisations[share(mRandom) < kHotShare ? 1 : 0];
    aRequest.organisation = it.name;
    aRequest.key = it.keys.back();
    aRequest.owed = it.name != kHot;
    if (it.name == kHot && !mWithdrawnKey.empty() && share(mRandom) < kOldKeyShare) {
      aRequest.key = mWithdrawnKey;
    }
  }
  aRequest.idempotent = name == "safe" || name == "open";
  return "/" + name + "/" + aRequest.id;
}

void SoakRun::Later(Milliseconds aDelay, std::function<void()> aAction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mLoop, aDelay);
  timer->async_wait([timer, action = std::move(aAction)](const boost::system::error_code& aError) {
    if (!aError) {
      action();
    }
  });
}

void SoakRun::RunFor(Milliseconds aTime)
{
  const TimePoint end = mClock.Now() + aTime;
  while (mClock.Now() < end) {
    mLoop.run_for(kTick);
    mLoop.restart();
    for (const auto& it : mNodes) {
      it->Tick();
    }
  }
}

/** Calls until nearly all are served. */
bool SoakRun::AwaitServing()
{
  const TimePoint limit = mClock.Now() + kStartLimit;
  while (mClock.Now() < limit) {
    mCounts = {};
    RunFor(Milliseconds(500));
    if (IsServed(mCounts)) {
      return true;
    }
  }
  return false;
}

SoakReport SoakRun::Play()
{
  Build();
  bool started = mStore->IsListening();
  for (const auto& it : mNodes) {
    started = started && it->IsRelaying() && it->Start();
  }
  AddCallers();
  if (!started || !AwaitServing()) {
    mReport.violations.emplace_back("the fleet does not begin to serve");
    return mReport;
  }
  mCounts = {};
  PlayFaults();
  HealAll();
  mReport.faulty = mCounts;
  RunFor(kSettle);
  mCounts = {};
  RunFor(kCalmTime);
  mReport.calm = mCounts;
  if (!IsServed(mReport.calm)) {
    mReport.violations.emplace_back("recovery: the fleet does not serve after the faults");
  }
  for (const auto& it : mNodes) {
    it->BeginEnd();
  }
  for (const auto& it : mNodes) {
    if (!it->AwaitEnd()) {
      mReport.violations.push_back("node " + std::to_string(it->Place().number) +
                                   " does not end within its grace");
    }
  }
  const auto& found = mJudge.Violations();
  mReport.violations.insert(mReport.violations.end(), found.begin(), found.end());
  mReport.runs = mJudge.Runs();
  return mReport;
}

} // namespace mustardwinch::soak
