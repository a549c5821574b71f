#pragma once

#include "config/ConfigRecord.h"
#include "config/ConfigSource.h"
#include "link/PeerLinks.h"
#include "membership/Freshness.h"
#include "membership/InForceReport.h"
#include "membership/MemberChange.h"
#include "membership/PlatformReader.h"
#include "membership/UpstreamDirectory.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/UpstreamRecord.h"
#include "mustardwinch/VmIdentity.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * This node's participation in the fleet: gossip over UDP, record transfer over peer links, and
 * the platform watch while this node is a watcher of its failure domain. Keeps the configuration
 * and the upstream directory up to date.
 *
 * The core thread runs FleetCore and the callbacks, which must not block; a second thread makes the
 * blocking calls to the platform. The other methods are thread-safe. Neither of the two mutexes is
 * held while calling out, so they need no lock order.
 */
class FleetAgent
{
public:
  struct Options
  {
    VmIdentity self;
    std::vector<Address> seeds;        //!< link addresses of some other nodes; its own is ignored
    std::uint64_t randomSeed = 0;      //!< 0: seeded by the system
    std::vector<std::string> kinds;    //!< platform object kinds to watch
    Milliseconds publishPeriod{ 500 }; //!< interval of checks for changed upstreams
  };

  /** Dependencies of the agent; all must outlive it. */
  struct Parts
  {
    const Clock& clock;
    PeerLinks& links;
    ConfigSource& config;
    UpstreamDirectory& directory;
  };

  using UpstreamsFn = std::function<std::vector<UpstreamRecord>()>;
  using MemberFn = std::function<void(const MemberChange&)>;
  using ObjectFn = std::function<void(const ConfigRecord&)>;

  /**
   * Binds the UDP socket at the node's link address and registers the handler of kRecordsPull;
   * returns null if the address cannot be bound. Nothing is sent before Start().
   *
   * @param aUpstreams returns the upstreams that this node's gate owns; called on the core thread
   */
  static std::unique_ptr<FleetAgent> Make(Options aOptions,
                                          Parts aParts,
                                          PlatformReader aReader,
                                          ResourceParser aParser,
                                          UpstreamsFn aUpstreams);

  ~FleetAgent();

  /** Calls aCallback for every member that joins, restarts, fails or leaves. Must be called before
   * Start(). */
  void OnMemberChange(MemberFn aCallback);

  /** Calls aCallback for every new version of an object of the kind, tombstones included. Must
   * be called before Start(). */
  void OnObject(std::string aKind, ObjectFn aCallback);

  void Start();

  /** Checks this node's upstreams for changes now instead of at the next period. */
  void PublishSoon();

  /** Announces that this node leaves. Waits until the packets were sent, for at most 1 s. */
  void Leave();

  /** Joins both threads. No callback runs afterwards. */
  void Stop();

  Freshness Current() const;

  /** Live members, this node first. */
  std::vector<VmIdentity> LiveMembers() const;

  /** This node's identity; the incarnation is raised if another node reported a higher one. */
  VmIdentity Self() const;

  bool IsWatcher() const;

  /** Whether all records have been loaded once, from a peer or the platform. */
  bool IsLoaded() const;

  InForceReport InForce() const;

  /** Gossip bytes sent and received, with 28 header bytes per packet; excludes peer links. */
  std::uint64_t ControlBytes() const;

private:
  class Impl;
  explicit FleetAgent(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace mustardwinch
