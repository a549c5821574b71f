#pragma once

#include "mustardwinch/UpstreamRecord.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * The announced upstreams of every service, as known to this node. The fleet agent replaces the
 * upstreams of a gate whenever its node record changes or the node is lost. Thread-safe.
 */
class UpstreamDirectory
{
public:
  using List = std::shared_ptr<const std::vector<UpstreamRecord>>;

  /** The upstreams of a service, sorted by address; empty, never null, if there are none. */
  List Of(const std::string& aService) const;

  /** Names of all services with at least one upstream. */
  std::vector<std::string> Services() const;

  /** Replaces the upstreams of the gate at aGate. An empty list removes the gate. */
  void ReplaceGate(const Address& aGate, std::vector<UpstreamRecord> aUpstreams);

private:
  void Rebuild();

  mutable std::mutex mMutex;
  std::map<Address, std::vector<UpstreamRecord>> mGates;
  std::map<std::string, List> mServices;
};

} // namespace mustardwinch
