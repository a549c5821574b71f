#pragma once

#include "mustardwinch/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardwinch::soak {

enum class FaultKind : std::uint8_t
{
  kStopNode,     //!< SIGTERM; starts again after its exit
  kKillNode,     //!< SIGKILL
  kKillAllNodes, //!< SIGKILL to all at once
  kPauseNode,    //!< SIGSTOP, later SIGCONT
  kReloadNode,   //!< the settings file changes, with SIGHUP for every other node
  kSilenceLink,  //!< open connections to the node go silent for good, new ones work
  kCutToNode,    //!< bytes to the node do not arrive for a time
  kCutFromNode,  //!< bytes from the node do not arrive for a time
  kDelayLink,    //!< bytes to and from the node come late
  kResetLink,    //!< open connections to the node are reset
  kStoreBusy,    //!< 503
  kStoreTooMany, //!< 429
  kStoreSilent,  //!< no answer
  kStoreLosesReply,
  kStoreMalformed,
  kStoreForgets,  //!< its history is gone
  kUpstreamGray,  //!< fails most requests
  kUpstreamHangs, //!< does not answer most requests
  kUpstreamSheds, //!< refuses most requests unrun
  kUpstreamCrash, //!< comes back cold, as another instance
  kUpstreamDrain, //!< announces that it leaves, and is replaced
  kReplaceKey,    //!< an organisation's key is withdrawn
  kEvacuate,      //!< a failure domain takes no new work for a time
};

constexpr std::size_t kFaultKinds = static_cast<std::size_t>(FaultKind::kEvacuate) + 1;

const char* NameOf(FaultKind aKind);

/** A fault at a time of the run. */
struct FaultStep
{
  FaultKind kind = FaultKind::kStopNode;
  std::size_t target = 0; //!< number of the node or upstream, where there is one
  Milliseconds at{ 0 };   //!< from the begin of the faults
  Milliseconds length{ 0 };

  auto operator<=>(const FaultStep&) const = default;
};

/** The faults of a run, in order of time: a function of the seed alone. About half of them come in
 *  series, close after another. */
std::vector<FaultStep> MakeFaultPlan(std::uint64_t aSeed, std::size_t aNodes, Milliseconds aLength);

} // namespace mustardwinch::soak
