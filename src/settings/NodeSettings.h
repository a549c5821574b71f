#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** How organisations' rates are split over nodes. The same on all nodes of a fleet. */
struct LimitSettings
{
  static constexpr std::uint32_t kDefaultSlices = 2;
  static constexpr std::uint32_t kMaxSlices = 64;
  static constexpr std::uint32_t kDefaultShards = 16;
  static constexpr std::uint32_t kMaxShards = 1'024;

  std::uint32_t slices = kDefaultSlices; //!< parts of an organisation's rate, each with one owner
  std::uint32_t shards = kDefaultShards; //!< lease objects that the slices are kept in

  bool operator==(const LimitSettings&) const = default;
};

/** Settings of a node, as its YAML file holds them. docs/SETTINGS.md describes each. */
struct NodeSettings
{
  static constexpr std::uint32_t kDefaultWorkers = 128;
  static constexpr std::uint32_t kMaxWorkers = 1'024;
  static constexpr std::uint32_t kDefaultStopGraceSeconds = 600;
  static constexpr std::uint32_t kMaxStopGraceSeconds = 3'600;

  std::string vmName;            //!< unique in the fleet
  std::string region;            //!< as other nodes of the region write it
  std::string failureDomain;     //!< VMs that fail together
  Address link;                  //!< other nodes reach this one here: links by TCP, gossip by UDP
  std::vector<Address> callers;  //!< callers' requests
  Address control;               //!< announcements of upstreams, status and metrics
  std::vector<Address> platform; //!< equal entrances to the platform
  std::vector<Address> seeds;    //!< link addresses of some nodes; empty for the first of a fleet
  std::uint32_t workers = kDefaultWorkers; //!< threads that serve callers
  std::string logLevel = "info";
  Seconds stopGrace{ kDefaultStopGraceSeconds }; //!< how long a planned stop waits for requests
  LimitSettings limits;

  bool operator==(const NodeSettings&) const = default;
};

} // namespace mustardwinch
