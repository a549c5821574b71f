#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"
#include "quota/RateSettings.h"
#include "sidecar/ColdSettings.h"
#include "sidecar/PlacementSettings.h"
#include "sidecar/ResourceSettings.h"
#include "sidecar/RetrySettings.h"
#include "sidecar/RevocationSettings.h"
#include "sidecar/RolloutSettings.h"

#include <cstdint>
#include <string>

namespace mustardwinch {

/** Settings of a sidecar node, read from its YAML file. docs/SETTINGS.md describes each. */
struct SidecarSettings
{
  std::string vmName;        //!< unique in the fleet
  std::string failureDomain; //!< VMs that fail together
  std::string region;
  std::string service;    //!< of the upstream beside the node
  Address link;           //!< listen address for other nodes
  Address advertisedLink; //!< address that other nodes dial; differs behind a port mapping
  Address callers;        //!< listen address for callers on this VM and the upstream itself
  Address readiness;      //!< listen address for readiness checks of the platform
  Address control;        //!< listen address for announcements of the upstream
  Address metrics;        //!< listen address for counters and histograms for operators
  Address platform;       //!< address of the platform's store
  Seconds stopGrace{ 6 }; //!< time after a stop signal at which the process is killed
  ColdSettings cold;
  RetrySettings retries;
  RateSettings rates;
  RevocationSettings revocation;
  ResourceSettings resources;
  RolloutSettings rollouts;
  PlacementSettings placement;
  std::string logLevel = "info";
  std::uint32_t logLinesPerSecond = 200; //!< lines beyond this are dropped and counted

  bool operator==(const SidecarSettings&) const = default;
};

} // namespace mustardwinch
