#include "gate/GateScheduler.h"

#include "mustardwinch/Event.h"

#include <algorithm>

namespace mustardwinch {
namespace {

constexpr Seconds kTypicalLifetime{ 5 };

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

GateMoment GateScheduler::Moment(const ConfigSnapshot& aConfig, const std::string& aService) const
{
  const TimePoint now = mClock.Now();
  std::optional<Duration> typical;
  const auto it = mServiceTimes.find(aService);
  if (it != mServiceTimes.end() && now - it->second.last < kTypicalLifetime) {
    typical = it->second.median.Value();
  }
  return { now, aConfig, mAccepting, typical };
}

void GateScheduler::Run(const GateActions& aActions, const std::string& aService)
{
  for (const GateAction& it : aActions) {
    mQueueTimes.Add(it.request.organisation, aService, it.queued);
    it.request.start(it.code);
  }
}

void GateScheduler::Announce(const Announcement& aAnnouncement)
{
  const auto config = mConfig.Current();
  bool started = false;
  GateActions actions;
  {
    std::lock_guard lock(mMutex);
    const GateMoment moment = Moment(*config, aAnnouncement.service);
    const auto [it, added] =
      mUpstreams.try_emplace(aAnnouncement.upstream, aAnnouncement, mFailureDomain, moment);
    started = added || it->second.Announce(aAnnouncement, moment);
    actions = it->second.Settle(moment);
  }
  if (started) {
    LogEvent(LogLevel::kInfo,
             Event::kUpstreamAnnounced,
             { { "upstream", aAnnouncement.upstream.ToString() },
               { "service", aAnnouncement.service },
               { "instance", aAnnouncement.instance } });
  }
  Run(actions, aAnnouncement.service);
}

GateScheduler::Ticket GateScheduler::Submit(const Address& aUpstream, GateRequest aRequest)
{
  const auto config = mConfig.Current();
  GateActions actions;
  Ticket ticket = 0;
  std::string service;
  {
    std::lock_guard lock(mMutex);
    ticket = mNextTicket++;
    const auto it = mUpstreams.find(aUpstream);
    if (it == mUpstreams.end()) {
      const ResultCode code =
        mAccepting ? ResultCode::kGateUpstreamUnknown : ResultCode::kNodeStopping;
      actions.push_back({ std::move(aRequest), code });
    } else {
      service = it->second.Announced().service;
      actions = it->second.Submit(ticket, std::move(aRequest), Moment(*config, service));
    }
  }
  Run(actions, service);
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
  GateActions actions;
  std::string service;
  {
    std::lock_guard lock(mMutex);
    const auto it = mUpstreams.find(aUpstream);
    if (it == mUpstreams.end()) {
      return;
    }
    service = it->second.Announced().service;
    const GateMoment moment = Moment(*config, service);
    if (aResult.code == ResultCode::kOk) {
      ServiceTimes& times = mServiceTimes[service];
      times.median.Add(aResult.total);
      times.last = moment.now;
    }
    actions = it->second.Finish(aResult, aOrganisation, moment);
  }
  mAnswerTimes.Add(aOrganisation, service, aResult.total);
  Run(actions, service);
}

void GateScheduler::Tick()
{
  const auto config = mConfig.Current();
  std::vector<std::pair<std::string, GateActions>> decided;
  std::vector<Address> gone;
  {
    std::lock_guard lock(mMutex);
    const TimePoint now = mClock.Now();
    for (auto& [address, upstream] : mUpstreams) {
      const std::string& service = upstream.Announced().service;
      upstream.Publish(now);
      GateActions actions = upstream.Settle(Moment(*config, service));
      if (!actions.empty()) {
        decided.emplace_back(service, std::move(actions));
      }
      if (upstream.IsGone(now)) {
        gone.push_back(address);
      }
    }
    for (const Address& it : gone) {
      mUpstreams.erase(it);
    }
  }
  for (const Address& it : gone) {
    LogEvent(LogLevel::kInfo, Event::kUpstreamGone, { { "upstream", it.ToString() } });
  }
  for (auto& [service, actions] : decided) {
    Run(actions, service);
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
    if (!upstream.IsSilent(now)) {
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
  Tick(); // refuses what waits
}

bool GateScheduler::ShouldDropPool(const Address& aUpstream) const
{
  std::lock_guard lock(mMutex);
  const auto it = mUpstreams.find(aUpstream);
  return it != mUpstreams.end() && it->second.ShouldDropPool();
}

std::string GateScheduler::MetricsText() const
{
  return mQueueTimes.Text() + mAnswerTimes.Text();
}

} // namespace mustardwinch
