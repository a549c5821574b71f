#pragma once

#include "FleetSim.h"

#include <doctest/doctest.h>

namespace mustardwinch::sim {

constexpr std::size_t kNodes = 12;

/** A fleet of twelve nodes in four failure domains with one organisation applied everywhere. */
struct Fleet : FleetSim
{
  Fleet()
    : FleetSim(kNodes)
  {
    platform.Put("organisation", "rossi", { { "burst", 5 } });
    StartAll();
    REQUIRE(RunUntil([&] { return AllSee(kNodes) && AllConfirmed(); }, Seconds(30)));
    Run(Seconds(10));
  }

  /** Publishes one upstream owned by a node. */
  void Publish(std::size_t aNode, UpstreamState aState)
  {
    UpstreamRecord upstream;
    upstream.service = "booking";
    upstream.upstream = { 0x7F000001, 8080 };
    upstream.state = aState;
    Core(aNode).PublishUpstreams({ upstream }, clock.Now());
    Flush(aNode);
  }

  /** Whether any node reported that aNode failed or left since the changes were cleared. */
  bool AnyReportedLost(std::size_t aNode)
  {
    for (const Node& node : nodes) {
      for (const MemberChange& it : node.changes) {
        if (it.identity.name == NameOf(aNode) && it.state >= MemberState::kFailed) {
          return true;
        }
      }
    }
    return false;
  }

  bool AllDeleted(const std::string& aKey)
  {
    return AllRunning([&](std::size_t n) {
      const Record::Ptr record = Core(n).Config().Find(aKey);
      return record && record->IsDeleted();
    });
  }
};

} // namespace mustardwinch::sim
