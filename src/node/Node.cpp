#include "node/Node.h"

#include "config/ResourceSchema.h"
#include "limits/PlatformLeaseStore.h"
#include "link/PeerStream.h"
#include "mustardwinch/Event.h"
#include "node/AnnouncementCodec.h"
#include "node/StatusJson.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace mustardwinch {
namespace {

constexpr Milliseconds kTickPeriod{ 50 };

/** Calls of upstreams under way at the same time, all upstreams beside the node together. */
constexpr int kGateWorkers = 96;

/** Callers learn within this time that the node stops; new connections are served until then. */
constexpr Milliseconds kStopQuiet{ 1000 };

constexpr Milliseconds kEvidencePeriod{ 1000 };
constexpr Milliseconds kEvidenceTimeout{ 1000 };
constexpr Seconds kReleaseLimit{ 3 };

VmIdentity IdentityOf(const NodeSettings& aSettings)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  VmIdentity identity;
  identity.name = aSettings.vmName;
  identity.failureDomain = aSettings.failureDomain;
  identity.region = aSettings.region;
  identity.link = aSettings.link;
  identity.incarnation =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  return identity;
}

void LogListenFailure(const char* aWhat, const Address& aAddress)
{
  LogEvent(LogLevel::kError,
           Event::kListenFailed,
           { { "for", aWhat }, { "address", aAddress.ToString() } });
}

} // namespace

std::unique_ptr<Node> Node::Make(const NodeSettings& aSettings)
{
  std::unique_ptr<Node> node(new Node(aSettings));
  if (!node->Start()) {
    return nullptr;
  }
  return node;
}

Node::Node(const NodeSettings& aSettings)
  : mSettings(aSettings)
  , mIdentity(IdentityOf(aSettings))
  , mProcessName(mIdentity.name + "/" + std::to_string(mIdentity.incarnation))
  , mPicker(mClock, mDirectory, mIdentity.failureDomain)
  , mRetries(mClock)
  , mScheduler(mClock, mConfig, mIdentity.link, mIdentity.failureDomain)
  , mGate(mScheduler, kGateWorkers)
{
}

Node::~Node()
{
  Stop();
}

bool Node::Start()
{
  if (!StartLinks() || !StartFleet() || !StartRates()) {
    return false;
  }
  StartGate();
  if (!StartServers()) {
    return false;
  }
  mFleet->Start();
  mRates->Start();
  mReporter->Start();
  mTicker = std::thread([this] { TickLoop(); });
  LogEvent(LogLevel::kInfo,
           Event::kProcessStarted,
           { { "vm", mIdentity.name }, { "callers", mSettings.callers.front().ToString() } });
  return true;
}

bool Node::StartLinks()
{
  PeerLinks::Options options;
  options.listen = mIdentity.link;
  mLinks = PeerLinks::Make(options);
  if (!mLinks) {
    LogListenFailure("links", mIdentity.link);
    return false;
  }
  mLinks->OnStream([this](std::shared_ptr<PeerStream> aStream, const std::string& aHead) {
    mGate.OnStream(std::move(aStream), aHead);
  });
  return true;
}

bool Node::StartFleet()
{
  auto http = HttpPlatform::Make(mSettings.platform);
  if (!http) {
    LogEvent(LogLevel::kError, Event::kSettingsRejected, { { "field", "platform" } });
    return false;
  }
  mPlatform = std::make_shared<PlatformApi>(std::move(http));
  FleetAgent::Options options;
  options.self = mIdentity;
  options.seeds = mSettings.seeds;
  options.kinds = ResourceKinds();
  const auto parse = [](const std::string& aKind,
                        const std::string& aName,
                        const nlohmann::json& aSpec) { return ParseResource(aKind, aName, aSpec); };
  mFleet = FleetAgent::Make(std::move(options),
                            { mClock, *mLinks, mConfig, mDirectory },
                            PlatformReader::Of(mPlatform),
                            parse,
                            [this] { return mScheduler.Records(); });
  if (!mFleet) {
    LogListenFailure("gossip", mIdentity.link);
    return false;
  }
  mReporter =
    std::make_unique<StatusReporter>(mClock, mPlatform, *mFleet, mIdentity.name, mProcessName);
  for (const std::string& it : ResourceKinds()) {
    mFleet->OnObject(it, [this](const ConfigRecord& aObject) { mReporter->OnObject(aObject); });
  }
  mFleet->OnMemberChange([this](const MemberChange&) { mRates->OnMemberChange(); });
  return true;
}

bool Node::StartRates()
{
  RateAgentOptions options;
  options.self = mFleet->Self();
  options.layout = { mSettings.limits.shards, mSettings.limits.slices };
  const auto send = [this](const Address& aTo,
                           PeerMessage aKind,
                           std::string aPayload,
                           Milliseconds aTimeout,
                           PeerLinks::ReplyFn aReply) {
    mLinks->Request(aTo, aKind, std::move(aPayload), aTimeout, std::move(aReply));
  };
  mRates = RateAgent::Make(
    mClock, mConfig, options, MakePlatformLeaseStore(mPlatform, mProcessName), send, [this] {
      return mFleet->LiveMembers();
    });
  if (!mRates) {
    LogEvent(LogLevel::kError, Event::kSettingsRejected, { { "field", "limits" } });
    return false;
  }
  mRates->Attach(*mLinks);
  return true;
}

void Node::StartGate()
{
  mEjectionUpdater = std::make_unique<EjectionUpdater>(MakeEjectionStore(*mPlatform), mProcessName);
  mEjectionController = std::make_unique<EjectionController>(
    mClock, mScheduler, mDirectory, mConfig, *mEjectionUpdater, mIdentity.link);
  mLinks->OnRequest(
    PeerMessage::kGateEvidence,
    [this](const Address& aFrom, const std::string& aPayload, const PeerLinks::ReplyFn& aReply) {
      const bool good = mEjectionController->OnEvidence(aFrom, aPayload);
      aReply(good ? Result<std::string>(std::string())
                  : Result<std::string>(ResultCode::kLinkBadFrame));
    });
  mEjectionController->Start();
}

bool Node::StartServers()
{
  mForwarder = std::make_unique<Forwarder>(Forwarder::Parts{ mClock,
                                                             mConfig,
                                                             mPicker,
                                                             mRetries,
                                                             mRates->Limiter(),
                                                             *mLinks,
                                                             [this] { return mFleet->Current(); },
                                                             mIdentity.name });
  mControl = ControlServer::Make(mSettings.control, ControlHandlers());
  if (!mControl) {
    LogListenFailure("control", mSettings.control);
    return false;
  }
  mCallers = CallerServer::Make(
    { mSettings.callers, static_cast<int>(mSettings.workers) }, mClock, *mForwarder);
  if (!mCallers) {
    LogListenFailure("callers", mSettings.callers.front());
    return false;
  }
  return true;
}

std::map<std::string, ControlServer::Handler> Node::ControlHandlers()
{
  return {
    { "POST /announce", [this](const std::string& aBody) { return Announce(aBody); } },
    { "GET /status", [this](const std::string&) { return Status(); } },
    { "GET /metrics", [this](const std::string&) { return Metrics(); } },
    { "GET /health",
      [](const std::string&) {
        return ControlAnswer{ 200, "text/plain", "ok\n" };
      } },
  };
}

ControlAnswer Node::Announce(const std::string& aBody)
{
  const Result<Announcement> announcement = ParseAnnouncement(aBody);
  if (!announcement) {
    const nlohmann::json error{ { "error", announcement.Error().detail } };
    return { 400, "application/json", error.dump() + "\n" };
  }
  mScheduler.Announce(announcement.Value());
  return { 200, "application/json", "{}\n" };
}

ControlAnswer Node::Status() const
{
  const nlohmann::json status{
    { "vm", mIdentity.name },
    { "failureDomain", mIdentity.failureDomain },
    { "requestsRunning", mCallers ? mCallers->Running() : 0 },
    { "callsRunning", mScheduler.Running() },
    { "fleet", FleetStatusJson(*mFleet) },
    { "rates", RateStatusJson(mRates->Status()) },
    { "upstreams", mEjectionController->Status() },
    { "control",
      { { "linkBytes", mLinks->ControlBytes() }, { "gossipBytes", mFleet->ControlBytes() } } },
  };
  return { 200, "application/json", status.dump(2) + "\n" };
}

ControlAnswer Node::Metrics() const
{
  return { 200, "text/plain", mScheduler.MetricsText() + RateMetricsText(mRates->Status()) };
}

void Node::SendEvidence()
{
  for (const auto& [gate, evidence] : mPicker.TakeEvidence()) {
    mLinks->Request(gate,
                    PeerMessage::kGateEvidence,
                    evidence.Encode(),
                    kEvidenceTimeout,
                    [](const Result<std::string>&) {});
  }
}

void Node::TickLoop()
{
  TimePoint nextEvidence = mClock.Now();
  while (!mStopped) {
    mScheduler.Tick();
    if (mClock.Now() >= nextEvidence) {
      nextEvidence = mClock.Now() + kEvidencePeriod;
      SendEvidence();
    }
    std::this_thread::sleep_for(kTickPeriod);
  }
}

/** Waits until no request runs; answers how many still ran when the grace period was over. */
std::size_t Node::AwaitQuiet()
{
  const TimePoint begin = mClock.Now();
  while (mClock.Now() - begin < mSettings.stopGrace) {
    const bool quiet = mCallers->Running() == 0 && mScheduler.Running() == 0;
    if (quiet && mClock.Now() - begin >= kStopQuiet) {
      return 0;
    }
    std::this_thread::sleep_for(kTickPeriod);
  }
  return mCallers->Running() + mScheduler.Running();
}

void Node::Stop()
{
  if (mStopped) {
    return;
  }
  std::size_t unfinished = 0;
  if (mCallers) {
    LogEvent(LogLevel::kInfo, Event::kProcessStopping, { { "vm", mIdentity.name } });
    mScheduler.StopAccepting();
    mFleet->PublishSoon();
    mCallers->Quiesce();
    unfinished = AwaitQuiet();
    mForwarder->StopAccepting();
    mCallers->Stop();
    mRates->Release(mClock.Now() + kReleaseLimit);
    mFleet->Leave();
  }
  mStopped = true;
  if (mTicker.joinable()) {
    mTicker.join();
  }
  StopParts();
  LogEvent(LogLevel::kInfo,
           Event::kProcessStopped,
           { { "vm", mIdentity.name }, { "unfinished", std::to_string(unfinished) } });
}

void Node::StopParts()
{
  if (mControl) {
    mControl->Stop();
  }
  if (mEjectionController) {
    mEjectionController->Stop();
  }
  mGate.Join();
  if (mReporter) {
    mReporter->Stop();
  }
  if (mRates) {
    mRates->Stop();
  }
  if (mFleet) {
    mFleet->Stop();
  }
  // The agents answer until the links stop, and are destroyed after that.
  if (mLinks) {
    mLinks->Stop();
  }
}

} // namespace mustardwinch
