#include "node/StatusReporter.h"

#include "config/ResourceSchema.h"

#include <algorithm>
#include <vector>

namespace mustardwinch {
namespace {

constexpr Milliseconds kRoundPeriod{ 1000 };

/** Resources reported in a round; each costs the platform a read and a write. */
constexpr std::size_t kReportsPerRound = 20;

/** A node that is not the reporter forgets a change after this time. */
constexpr Seconds kForgetAfter{ 120 };

} // namespace

StatusReporter::StatusReporter(Clock& aClock,
                               std::shared_ptr<PlatformApi> aPlatform,
                               const FleetAgent& aFleet,
                               std::string aVmName,
                               std::string aWriter)
  : mClock(aClock)
  , mPlatform(std::move(aPlatform))
  , mFleet(aFleet)
  , mVmName(std::move(aVmName))
  , mWriter(std::move(aWriter))
{
}

StatusReporter::~StatusReporter()
{
  Stop();
}

void StatusReporter::OnObject(const ConfigRecord& aObject)
{
  std::lock_guard lock(mMutex);
  const Key key{ aObject.kind, aObject.name };
  if (aObject.deleted) {
    mPending.erase(key);
    return;
  }
  mPending[key] = { aObject.version, mClock.Now(), false, {} };
}

bool StatusReporter::IsReporter() const
{
  const std::vector<VmIdentity> live = mFleet.LiveMembers();
  return std::all_of(
    live.begin(), live.end(), [this](const VmIdentity& aOne) { return mVmName <= aOne.name; });
}

ResourceStatus StatusReporter::Describe(const PlatformObject& aObject, std::uint64_t aVersion) const
{
  const InForceReport inForce = mFleet.InForce();
  const std::size_t alive = mFleet.LiveMembers().size();
  std::vector<std::string> lagging = inForce.lagging;
  lagging.insert(lagging.end(), inForce.unheard.begin(), inForce.unheard.end());
  std::sort(lagging.begin(), lagging.end());

  ResourceStatus status;
  status.specVersion = aVersion;
  status.nodesAlive = static_cast<std::uint32_t>(alive);
  const Result<Resource> parsed = ParseResource(aObject);
  if (!parsed) {
    status.error = parsed.Error().detail;
    return status;
  }
  status.inForceVersion = aVersion;
  status.nodesInForce = static_cast<std::uint32_t>(alive - std::min(alive, lagging.size()));
  lagging.resize(std::min(lagging.size(), ResourceStatus::kMaxNamedNodes));
  status.laggingNodes = std::move(lagging);
  return status;
}

bool StatusReporter::Report(const Key& aKey, Pending& aPending)
{
  const Result<PlatformObject> object = mPlatform->Get(aKey.first, aKey.second);
  if (!object) {
    return object.Error().code == ResultCode::kPlatformNotFound;
  }
  const ResourceStatus status = Describe(object.Value(), aPending.version);
  const bool isFinal = !status.error.empty() || status.IsInForceEverywhere();
  if (object.Value().specVersion != aPending.version) {
    return true; // a newer version is on its way here
  }
  if (aPending.reported && aPending.last == status) {
    return isFinal;
  }
  PlatformWrite write;
  write.kind = aKey.first;
  write.name = aKey.second;
  write.part = PlatformWrite::Part::kStatus;
  write.expectedVersion = object.Value().version;
  write.body = ToJson(status);
  write.writer = mWriter;
  write.operation = mWriter + "/status-" + std::to_string(++mOperations);
  const bool written = object.Value().status == write.body || mPlatform->WriteConfirmed(write);
  aPending.reported = written;
  aPending.last = status;
  return written && isFinal;
}

void StatusReporter::Step()
{
  const bool isReporter = IsReporter();
  const TimePoint now = mClock.Now();
  std::vector<std::pair<Key, Pending>> round;
  {
    std::lock_guard lock(mMutex);
    if (!isReporter) {
      std::erase_if(mPending,
                    [now](const auto& aOne) { return now - aOne.second.since > kForgetAfter; });
      return;
    }
    for (const auto& [key, it] : mPending) {
      if (round.size() < kReportsPerRound) {
        round.emplace_back(key, it);
      }
    }
  }
  for (auto& [key, it] : round) {
    const bool done = Report(key, it);
    std::lock_guard lock(mMutex);
    const auto current = mPending.find(key);
    if (current == mPending.end() || current->second.version != it.version) {
      continue;
    }
    if (done) {
      mPending.erase(current);
    } else {
      current->second = it;
    }
  }
}

void StatusReporter::Start()
{
  mThread = std::thread([this] { Loop(); });
}

void StatusReporter::Loop()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWake.wait_for(lock, kRoundPeriod, [this] { return mStopping; });
    if (!mStopping) {
      lock.unlock();
      Step();
      lock.lock();
    }
  }
}

void StatusReporter::Stop()
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

} // namespace mustardwinch
