#pragma once

#include "membership/FleetCore.h"
#include "membership/PlatformWatcher.h"
#include "platform/PlatformVersion.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch::sim {

/** Simulated platform with faults that tests can inject. */
struct SimPlatform
{
  std::uint64_t revision = 0;
  std::map<std::string, PlatformObject> objects; //!< tombstones included
  bool unreachable = false;
  std::uint64_t calls = 0;
  std::uint64_t epochBegin = 0;
  std::uint64_t oldest = 0; //!< watches from before it must list anew
  std::map<std::string, PlatformObject> copy;
  std::uint64_t copyRevision = 0;

  void TakeCopy()
  {
    copy = objects;
    copyRevision = revision;
  }

  /** Comes back from the copy, with the same numbers in the next epoch. */
  void RestoreCopy()
  {
    const std::uint64_t epoch = PlatformEpochOf(revision) + 1;
    const auto inEpoch = [epoch](std::uint64_t aVersion) {
      return MakePlatformVersion(epoch, PlatformNumberOf(aVersion));
    };
    objects = copy;
    for (auto& [key, object] : objects) {
      object.version = inEpoch(object.version);
      object.specVersion = inEpoch(object.specVersion);
    }
    revision = inEpoch(copyRevision);
    epochBegin = revision;
    oldest = revision;
  }

  void Put(const std::string& aKind, const std::string& aName, nlohmann::json aSpec)
  {
    Write(aKind, aName, std::move(aSpec), false);
  }

  void Delete(const std::string& aKind, const std::string& aName) { Write(aKind, aName, {}, true); }

  void Write(const std::string& aKind,
             const std::string& aName,
             nlohmann::json aSpec,
             bool aDeleted)
  {
    PlatformObject& object = objects[aKind + "/" + aName];
    object.kind = aKind;
    object.name = aName;
    object.version = ++revision;
    object.specVersion = object.version;
    object.spec = std::move(aSpec);
    object.deleted = aDeleted;
  }

  /** Writes the status, which raises the version of the object but not of its spec. */
  void WriteStatus(const std::string& aKind, const std::string& aName)
  {
    objects[aKind + "/" + aName].version = ++revision;
  }

  PlatformChanges Since(std::uint64_t aRevision) const
  {
    PlatformChanges changes{ revision, {}, epochBegin };
    for (const auto& [key, object] : objects) {
      if (object.version > aRevision) {
        changes.objects.push_back(object);
      }
    }
    return changes;
  }
};

/** Runs nodes in one process on a simulated network and clock. Deterministic for a given seed. */
class FleetSim
{
public:
  struct Node
  {
    std::unique_ptr<FleetCore> core;
    std::unique_ptr<PlatformWatcher> watcher;
    bool running = false;
    bool paused = false;
    std::uint64_t generation = 0; //!< changed by every start and stop
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t pullBytes = 0;
    std::vector<MemberChange> changes;
    std::map<Address, std::size_t> gates;
    std::vector<std::pair<Address, std::string>> queue; //!< datagrams received while paused
  };

  using LinkFilter = std::function<bool(std::size_t aFrom, std::size_t aTo)>;

  explicit FleetSim(std::size_t aNodes, std::size_t aDomains = 4, std::uint64_t aSeed = 1)
    : nodes(aNodes)
    , domains(aDomains)
    , random(aSeed)
  {
    clock.Pause();
    start = clock.Now();
  }

  std::vector<Node> nodes;
  std::size_t domains;
  std::mt19937_64 random;
  Clock clock;
  TimePoint start;
  SimPlatform platform;
  LinkFilter isBlocked;                  //!< true: packets on this path are dropped
  std::set<std::size_t> platformBlocked; //!< nodes that cannot reach the platform
  /** Older platform states, by the node that reads them. */
  std::map<std::size_t, SimPlatform> stalePlatforms;
  double lossRate = 0;
  Duration delay = Milliseconds(1);
  std::size_t eagerFanout = 3;
  std::uint64_t starts = 0;

  static Address AddressOf(std::size_t aNode)
  {
    return { 0x0A000001 + static_cast<std::uint32_t>(aNode), 22000 };
  }
  static std::size_t IndexOf(const Address& aAddress) { return aAddress.ip - 0x0A000001; }
  static std::string NameOf(std::size_t aNode) { return "vm-" + std::to_string(aNode); }
  std::string DomainOf(std::size_t aNode) const { return "fd-" + std::to_string(aNode % domains); }

  void StartNode(std::size_t aNode)
  {
    Node& node = nodes[aNode];
    FleetCore::Options options;
    options.self = {
      NameOf(aNode), DomainOf(aNode), "region", AddressOf(aNode), 1'000'000 + ++starts * 1'000
    };
    for (std::size_t n = 0; n < std::min<std::size_t>(3, nodes.size()); ++n) {
      options.seeds.push_back(AddressOf(n));
    }
    options.randomSeed = random();
    options.eagerFanout = eagerFanout;
    node = {};
    node.core = std::make_unique<FleetCore>(options);
    node.running = true;
    node.generation = starts;
    node.watcher = std::make_unique<PlatformWatcher>(
      clock,
      Reader(aNode),
      std::vector<std::string>{ "organisation", "route" },
      [this, aNode](PlatformChanges aChanges, bool aIsList, TimePoint aSentAt) {
        const Duration wait =
          aChanges.objects.empty() && !aIsList ? PlatformWatcher::kWatchWait : Milliseconds(5);
        After(wait, aNode, [this, aNode, changes = std::move(aChanges), aIsList, aSentAt] {
          nodes[aNode].core->OnPlatform(
            changes, { "organisation", "route" }, aIsList, aSentAt, clock.Now());
          Flush(aNode);
        });
      },
      random());
    const Duration offset(random() % Duration(Milliseconds(100)).count());
    After(offset, aNode, [this, aNode] { TickNode(aNode); });
    After(offset, aNode, [this, aNode] { StepWatcher(aNode); });
  }

  void StartAll()
  {
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      StartNode(n);
    }
  }

  void Kill(std::size_t aNode)
  {
    nodes[aNode].running = false;
    nodes[aNode].generation = ++starts;
  }

  void Pause(std::size_t aNode) { nodes[aNode].paused = true; }

  /** Like SIGCONT: handles the datagrams received while paused, then continues. */
  void Resume(std::size_t aNode)
  {
    Node& node = nodes[aNode];
    node.paused = false;
    const auto queue = std::exchange(node.queue, {});
    for (const auto& [from, bytes] : queue) {
      node.core->OnPacket(from, bytes, clock.Now());
      Flush(aNode);
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = clock.Now() + aTime;
    while (!mEvents.empty() && mEvents.top().at <= end) {
      const Event event = mEvents.top();
      mEvents.pop();
      clock.Advance(std::max(Duration(0), event.at - clock.Now()));
      const Node& node = nodes[event.node];
      if (node.running && node.generation == event.generation) {
        event.action();
      }
    }
    clock.Advance(end - clock.Now());
  }

  /** Runs until aDone returns true, for at most aTime. @return whether aDone returned true */
  bool RunUntil(const std::function<bool()>& aDone, Duration aTime)
  {
    const TimePoint end = clock.Now() + aTime;
    while (!aDone()) {
      if (clock.Now() >= end) {
        return false;
      }
      Run(Milliseconds(50));
    }
    return true;
  }

  Duration Elapsed() const { return clock.Now() - start; }
  FleetCore& Core(std::size_t aNode) { return *nodes[aNode].core; }
  Freshness State(std::size_t aNode) { return Core(aNode).View().At(clock.Now()); }

  bool AllRunning(const std::function<bool(std::size_t)>& aHolds)
  {
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (nodes[n].running && !nodes[n].paused && !aHolds(n)) {
        return false;
      }
    }
    return true;
  }

  bool AllSee(std::size_t aLive)
  {
    return AllRunning([&](std::size_t n) { return Core(n).Members().LiveOthers() + 1 == aLive; });
  }

  bool AllConfirmed()
  {
    return AllRunning([&](std::size_t n) { return State(n) == Freshness::kConfirmed; });
  }

  bool AllHold(const std::string& aKey, std::uint64_t aVersion)
  {
    return AllRunning([&](std::size_t n) {
      const Record::Ptr record = Core(n).Config().Find(aKey);
      return record && record->Version().major == aVersion;
    });
  }

  void Flush(std::size_t aNode)
  {
    Node& node = nodes[aNode];
    FleetOutput output = node.core->TakeOutput();
    for (const MemberChange& it : output.memberChanges) {
      node.changes.push_back(it);
    }
    for (const FleetOutput::Gate& it : output.gates) {
      node.gates[it.address] = it.upstreams.size();
    }
    for (FleetOutput::Datagram& it : output.datagrams) {
      SendDatagram(aNode, std::move(it));
    }
    for (FleetOutput::Pull& it : output.pulls) {
      SendPull(aNode, std::move(it));
    }
  }

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::size_t node;
    std::uint64_t generation;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  void After(Duration aDelay, std::size_t aNode, std::function<void()> aAction)
  {
    mEvents.push(
      { clock.Now() + aDelay, ++mOrder, aNode, nodes[aNode].generation, std::move(aAction) });
  }

  void TickNode(std::size_t aNode)
  {
    if (!nodes[aNode].paused) {
      nodes[aNode].core->Tick(clock.Now());
      Flush(aNode);
    }
    After(Milliseconds(100), aNode, [this, aNode] { TickNode(aNode); });
  }

  void StepWatcher(std::size_t aNode)
  {
    Duration wait = PlatformWatcher::kIdleWait;
    if (!nodes[aNode].paused) {
      const std::uint64_t calls = platform.calls;
      wait = nodes[aNode].watcher->Step(nodes[aNode].core->IsWatcher());
      if (platform.calls != calls) {
        wait += PlatformWatcher::kWatchWait;
      }
    }
    After(wait, aNode, [this, aNode] { StepWatcher(aNode); });
  }

  PlatformReader Reader(std::size_t aNode)
  {
    const auto read = [this, aNode](std::uint64_t aRevision) -> Result<PlatformChanges> {
      ++platform.calls;
      if (platform.unreachable || platformBlocked.contains(aNode)) {
        return ResultCode::kPlatformUnavailable;
      }
      const auto old = stalePlatforms.find(aNode);
      return old == stalePlatforms.end() ? platform.Since(aRevision) : old->second.Since(aRevision);
    };
    return { [read](const PlatformReader::Kinds&) { return read(0); },
             [this, read](const PlatformReader::Kinds&, std::uint64_t aRevision, Milliseconds) {
               const bool reached = !platform.unreachable;
               const bool known = aRevision >= platform.oldest && aRevision <= platform.revision;
               return reached && !known ? Result<PlatformChanges>(ResultCode::kPlatformCompacted)
                                        : read(aRevision);
             } };
  }

  bool Lost(std::size_t aFrom, std::size_t aTo)
  {
    const bool dropped = lossRate > 0 && std::uniform_real_distribution<>()(random) < lossRate;
    return aTo >= nodes.size() || !nodes[aTo].running || dropped ||
           (isBlocked && isBlocked(aFrom, aTo));
  }

  void SendDatagram(std::size_t aFrom, FleetOutput::Datagram aDatagram)
  {
    constexpr std::size_t kHeaderBytes = 28;
    const std::size_t to = IndexOf(aDatagram.to);
    const std::size_t bytes = aDatagram.bytes.size() + kHeaderBytes;
    nodes[aFrom].bytesSent += bytes;
    if (Lost(aFrom, to)) {
      return;
    }
    nodes[to].bytesReceived += bytes;
    After(delay, to, [this, aFrom, to, datagram = std::move(aDatagram)] {
      if (nodes[to].paused) {
        nodes[to].queue.emplace_back(AddressOf(aFrom), datagram.bytes);
        return;
      }
      nodes[to].core->OnPacket(AddressOf(aFrom), datagram.bytes, clock.Now());
      Flush(to);
    });
  }

  void SendPull(std::size_t aFrom, FleetOutput::Pull aPull)
  {
    const std::size_t to = IndexOf(aPull.to);
    const bool lost = Lost(aFrom, to) || Lost(to, aFrom) || nodes[to].paused;
    Result<std::string> answer = lost ? Result<std::string>(ResultCode::kLinkTimeout)
                                      : nodes[to].core->AnswerPull(aPull.payload);
    nodes[aFrom].pullBytes += aPull.payload.size();
    if (answer) {
      nodes[aFrom].pullBytes += answer.Value().size();
      nodes[to].pullBytes += answer.Value().size() + aPull.payload.size();
    }
    After(delay * 2, aFrom, [this, aFrom, peer = aPull.to, answer = std::move(answer)] {
      nodes[aFrom].core->OnPullAnswer(peer, answer, clock.Now());
      Flush(aFrom);
    });
  }

  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
};

} // namespace mustardwinch::sim
