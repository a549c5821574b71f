#pragma once

#include "soak/FaultPlan.h"
#include "soak/SoakCaller.h"
#include "soak/SoakNode.h"
#include "soak/SoakUpstream.h"
#include "soak/StandinStore.h"
#include "soak/StorePlan.h"
#include "soak/WireFaultPlan.h"
#include "soak/WireTexts.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch::soak {

constexpr const char* kSoakDomains[] = { "a", "b" };

/** What a run is made from: with the same values the same faults come again. */
struct SoakOptions
{
  std::uint64_t seed = 1;
  std::size_t nodes = 8;
  Milliseconds length{ 15'000 };         //!< time in which faults begin
  double callsPerSecond = 15;            //!< at each node
  bool wire = true;                      //!< upstreams have wire faults, and callers upload
  bool restores = true;                  //!< the store comes back from copies
  WireFault onlyWire = WireFault::kNone; //!< that all wire faults are; none: each is its own
  SoakPaths paths;
};

/** What a run found. */
struct SoakReport
{
  std::vector<std::string> violations; //!< a line each; none: all promises were kept
  CallCounts faulty;                   //!< while faults came
  CallCounts calm;                     //!< after the last fault had healed
  std::size_t runs = 0;                //!< that upstreams began
};

/**
 * A fleet of real node processes on loopback under random faults. The store, the upstreams, the
 * callers and the relays run on one event loop of this process; the promises are judged from what
 * they see.
 */
class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);

  SoakReport Play();

private:
  void Build();
  NodePlace PlaceOf(std::size_t aNumber) const;
  void AddCallers();
  std::string ChooseUpload(SoakRequest& aRequest);
  std::string ChooseAddedRoute(SoakRequest& aRequest);
  std::string ChooseCall(SoakRequest& aRequest);
  bool AwaitServing();
  void PlayFaults();
  void Log(Milliseconds aAt, const char* aName, std::size_t aTarget, Milliseconds aLength);
  void Begin(const FaultStep& aStep);
  void PlanWireFaults();
  void BeginWireFault(const WireStep& aStep);
  void BeginNodeFault(const FaultStep& aStep);
  void BeginLinkFault(const FaultStep& aStep);
  void BeginStoreFault(const FaultStep& aStep);
  void BeginUpstreamFault(const FaultStep& aStep);
  void BeginChange(const FaultStep& aStep);
  void ReplaceKey();
  void Withdraw(const std::string& aOld, const std::string& aFresh);
  void WriteConfig();
  void SetEvacuated(const std::string& aDomain, bool aOut);
  void AddRoute();

  // The store is away and comes back from a copy.
  void PlanStoreSteps();
  /** Others use the store as well, so its revision grows all the time. */
  void WriteOthers();
  void BeginAway(const StoreStep& aStep);
  void RewriteLost();
  /** Writes now, or when the store is back and all that was lost is written again. */
  void WriteWhenBack(std::function<void()> aWrite);
  void Later(Milliseconds aDelay, std::function<void()> aAction);
  void HealAll();
  void RunFor(Milliseconds aTime);

  const SoakOptions mOptions;
  boost::asio::io_context mLoop{ 1 };
  Clock mClock;
  PromiseJudge mJudge;
  std::mt19937_64 mRandom;
  std::mt19937_64 mUploadRandom;
  std::unique_ptr<StandinStore> mStore;
  std::vector<std::unique_ptr<SoakNode>> mNodes;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::vector<std::shared_ptr<SoakCaller>> mCallers;
  std::vector<SoakOrganisation> mOrganisations;
  std::string mWithdrawnKey; //!< some callers go on using it
  std::vector<std::string> mAddedRoutes;
  nlohmann::json mConfig;     //!< as last acknowledged
  std::set<std::string> mOut; //!< failure domains that are evacuated, as last acknowledged
  std::vector<std::function<void()>> mHeldWrites;
  std::uint64_t mRevisionLost = 0; //!< of the store when it went away
  bool mAway = false;              //!< the store is, or what it lost has not been written again
  SoakReport mReport;
  CallCounts mCounts;
  std::uint64_t mVersion = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mKeys = 0;
};

} // namespace mustardwinch::soak
