#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch {

/** Outcomes of one route at the upstream beside the sender. */
struct RouteCountsMessage
{
  std::string route;
  std::uint32_t requests = 0;
  std::uint32_t failures = 0;
  std::vector<std::uint32_t> times; //!< answers by bucket of their time, without trailing zeros
  MSGPACK_DEFINE(route, requests, failures, times)
};

/** A gate tells the coordinator of a roll-out what its upstream did since the order. */
struct RolloutReportMessage
{
  std::string service;
  std::uint64_t orderId = 0;
  std::uint32_t step = 0; //!< that the gate obeys
  std::string vm;
  std::string version;
  bool warm = false;
  std::uint32_t running = 0;
  std::vector<RouteCountsMessage> routes;
  MSGPACK_DEFINE(service, orderId, step, vm, version, warm, running, routes)
};

/** The coordinator of a roll-out tells all nodes which versions of a service to use. */
struct RolloutStepMessage
{
  std::string service;
  std::string target;
  std::uint64_t durationMs = 0;
  std::uint64_t orderId = 0;
  std::uint32_t number = 0;
  std::uint8_t phase = 0; //!< RolloutPhase
  double share = 0;
  std::vector<std::string> gates; //!< VMs of the upstreams that get the share; empty: all
  std::uint64_t ageMs = 0;        //!< of the order
  MSGPACK_DEFINE(service, target, durationMs, orderId, number, phase, share, gates, ageMs)
};

} // namespace mustardwinch
