#include "gate/GateScheduler.h"

#include "mustardwinch/Event.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Seconds kServiceTimeLifetime{ 5 };

} // namespace

GateScheduler::GateScheduler(Clock& aClock,
                             const ConfigSource& aConfig,
                             Address aGate,
                             std::string aFailureDomain)
  : mClock(aClock)
  , mConfig(aConfig)
  , mGate(aGate)
  , mFailureDomain(std::move(aFailureDomain))
{
}

GateContext GateScheduler::MakeContext(const ConfigSnapshot& aConfig,
                                       const std::string& aService) const
{
  const TimePoint now = mClock.Now();
  std::optional<Duration> typicalServiceTime;
  const auto it = mServiceTimes.find(aService);
  if (it != mServiceTimes.end() && now - it->second.last < kServiceTimeLifetime) {
    typicalServiceTime = it->second.median.Value();
  }
  return { now, aConfig, mAccepting, typicalServiceTime };
}

void GateScheduler::ApplyDecisions(const GateDecisions& aDecisions, const std::string& aService)
{
  for (const GateDecision& it : aDecisions) {
    mQueueTimes.Add(it.request.organisation, aService, it.queued);
    it.request.onDecision(it.code);
  }
}

void GateScheduler::Announce(const Announcement& aAnnouncement)
{
  const auto config = mConfig.Current();
  bool started = false;
  GateDecisions decisions;
  {
    std::lock_guard lock(mMutex);
    const GateContext context = MakeContext(*config, aAnnouncement.service);
    const auto [it, added] =
      mUpstreams.try_emplace(aAnnouncement.upstream, aAnnouncement, mFailureDomain, context);
    started = added || it->second.Announce(aAnnouncement, context);
    decisions = it->second.DispatchQueued(context);
  }
  if (started) {
    LogEvent(LogLevel::kInfo,
             Event::kUpstreamAnnounced,
             { { "upstream", aAnnouncement.upstream.ToString() },
               { "service", aAnnouncement.service },
               { "instance", aAnnouncement.instance } });
  }
  ApplyDecisions(decisions, aAnnouncement.service);
}

GateScheduler::Ticket GateScheduler::Submit(const Address& aUpstream, GateRequest aRequest)
{
  const auto config = mConfig.Current();
  GateDecisions decisions;
  Ticket ticket = 0;
  std::string service;
  {
    std::lock_guard lock(mMutex);
    ticket = mNextTicket++;
    const auto it = mUpstreams.find(aUpstream);
    if (it == mUpstreams.end()) {
      const ResultCode code =
        mAccepting ? ResultCode::kGateUpstreamUnknown : ResultCode::kNodeStopping;
      decisions.push_back({ std::move(aRequest), code });
    } else {
      service = it->second.LastAnnouncement().service;
      decisions = it->second.Submit(ticket, std::move(aRequest), MakeContext(*config, service));
    }
  }
  ApplyDecisions(decisions, service);
  return ticket;
}

bool GateScheduler::Cancel(const Address& aUpstream, Ticket aTicket)
{
  std::lock_guard lock(mMutex);
  const auto it = mUpstreams.find(aUpstream);
  return it != mUpstreams.end() && it->second.Cancel(aTicket);
}

void GateScheduler::Finish(const Address& aUpstream,
                           const AttemptResult& aResult,
                           const std::string& aOrganisation)
{
  const auto config = mConfig.Current();
  GateDecisions decisions;
  std::string service;
  {
    std::lock_guard lock(mMutex);
    const auto it = mUpstreams.find(aUpstream);
    if (it == mUpstreams.end()) {
      return;
    }
    service = it->second.LastAnnouncement().service;
    const GateContext context = MakeContext(*config, service);
    if (aResult.code == ResultCode::kOk) {
      ServiceTimes& times = mServiceTimes[service];
      times.median.Add(aResult.total);
      times.last = context.now;
    }
    decisions = it->second.Finish(aResult, aOrganisation, context);
  }
  mResponseTimes.Add(aOrganisation, service, aResult.total);
  ApplyDecisions(decisions, service);
}

void GateScheduler::Tick()
{
  const auto config = mConfig.Current();
  std::vector<std::pair<std::string, GateDecisions>> decided;
  std::vector<Address> removed;
  {
    std::lock_guard lock(mMutex);
    const TimePoint now = mClock.Now();
    for (auto& [address, upstream] : mUpstreams) {
      const std::string& service = upstream.LastAnnouncement().service;
      upstream.Publish(now);
      GateDecisions decisions = upstream.DispatchQueued(MakeContext(*config, service));
      if (!decisions.empty()) {
        decided.emplace_back(service, std::move(decisions));
      }
      if (upstream.CanBeRemoved(now)) {
        removed.push_back(address);
      }
    }
    for (const Address& it : removed) {
      mUpstreams.erase(it);
    }
  }
  for (const Address& it : removed) {
    LogEvent(LogLevel::kInfo, Event::kUpstreamGone, { { "upstream", it.ToString() } });
  }
  for (auto& [service, decisions] : decided) {
    ApplyDecisions(decisions, service);
  }
}

void GateScheduler::StopAccepting()
{
  {
    std::lock_guard lock(mMutex);
    mAccepting = false;
  }
  Tick();
}

std::size_t GateScheduler::Running() const
{
  std::lock_guard lock(mMutex);
  std::size_t n = 0;
  for (const auto& [address, upstream] : mUpstreams) {
    n += upstream.Running();
  }
  return n;
}

std::vector<UpstreamRecord> GateScheduler::Records() const
{
  std::lock_guard lock(mMutex);
  const TimePoint now = mClock.Now();
  std::vector<UpstreamRecord> records;
  for (const auto& [address, upstream] : mUpstreams) {
    if (!upstream.IsExpired(now)) {
      records.push_back(upstream.Record(mGate, now));
    }
  }
  return records;
}

std::vector<GateUpstreamStatus> GateScheduler::Status() const
{
  std::lock_guard lock(mMutex);
  std::vector<GateUpstreamStatus> status;
  for (const auto& [address, upstream] : mUpstreams) {
    status.push_back(upstream.Status(mClock.Now()));
  }
  return status;
}

void GateScheduler::SetPeers(const Address& aUpstream, const PeerSummary& aPeers)
{
  std::lock_guard lock(mMutex);
  const auto it = mUpstreams.find(aUpstream);
  if (it != mUpstreams.end()) {
    it->second.SetPeers(aPeers);
  }
}

void GateScheduler::SetEjected(const Address& aUpstream, bool aEjected)
{
  {
    std::lock_guard lock(mMutex);
    const auto it = mUpstreams.find(aUpstream);
    if (it == mUpstreams.end()) {
      return;
    }
    it->second.SetEjected(aEjected, mClock.Now());
  }
  Tick(); // refuses the queued requests
}

bool GateScheduler::ShouldDropPool(const Address& aUpstream) const
{
  std::lock_guard lock(mMutex);
  const auto it = mUpstreams.find(aUpstream);
  return it != mUpstreams.end() && it->second.ShouldDropPool();
}

std::string GateScheduler::MetricsText() const
{
  return mQueueTimes.Text() + mResponseTimes.Text();
}

} // namespace mustardwinch
