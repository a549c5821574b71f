#pragma once

#include "placement/GateView.h"
#include "sidecar/GateCall.h"
#include "sidecar/GateCallResult.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardwinch {

/** Access to the gates that an ingress can submit requests to: its own node's and those of its
 * peers. */
struct GateDirectory
{
  /** Cancels a call; its result is then not reported. */
  using CancelFn = std::function<void()>;
  using ResultFn = std::function<void(GateCallResult)>;

  std::function<std::vector<const GateView*>()> views;

  /** Submits a call to the gate of a VM. Returns null if the gate is unreachable; the call was then
   * not sent. */
  std::function<CancelFn(const std::string& aVm, GateCall aCall, ResultFn aDone)> submit;

  /** Called when a gate is chosen for a request, before the request is submitted. */
  std::function<void(const std::string& aVm)> onChosen;

  /** The gate refused because it is full. @param aWait expected time until a slot is free */
  std::function<void(const std::string& aVm, Milliseconds aWait)> onQueueFull;
};

} // namespace mustardwinch
