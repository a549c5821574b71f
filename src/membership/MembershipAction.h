#pragma once

#include "membership/MemberChange.h"
#include "membership/ProbeOutcome.h"
#include "mustardwinch/Address.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardwinch {

/** Send a ping; its acknowledgement carries the sequence. */
struct SendPing
{
  Address to;
  std::uint64_t sequence = 0;
  std::string member; //!< empty: a seed whose name is unknown
};

/** Ask a relay to ping the target. */
struct SendPingRequest
{
  Address relay;
  Address target;
  std::uint64_t sequence = 0;
  std::string member; //!< name of the target
};

/** Acknowledge a ping, or relay an acknowledgement to the requester of an indirect ping. */
struct SendAck
{
  Address to;
  std::uint64_t sequence = 0;
  std::string member; //!< empty if not known
};

/** Send a packet that only carries updates. */
struct SendUpdates
{
  Address to;
};

/** A seed or a member that was not live answered, so its view may differ: pull its members and
 * records. */
struct PullFrom
{
  Address peer;
};

/** This node refuted a report of its own suspicion or failure: publish its own record again. */
struct Refuted
{};

/** This node's name was reported with a higher incarnation, so this node raised its own above it.
 */
struct IncarnationRaised
{
  Address other;
};

/** The process was paused for `length`. */
struct PauseDetected
{
  Duration length;
};

using MembershipAction = std::variant<SendPing,
                                      SendPingRequest,
                                      SendAck,
                                      SendUpdates,
                                      PullFrom,
                                      Refuted,
                                      IncarnationRaised,
                                      PauseDetected,
                                      MemberChange,
                                      ProbeOutcome>;

} // namespace mustardwinch
