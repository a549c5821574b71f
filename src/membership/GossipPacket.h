#pragma once

#include "membership/FreshnessBeacon.h"
#include "membership/MemberUpdate.h"
#include "membership/RecordAnnouncement.h"
#include "membership/RecordCopy.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/** Kinds of gossip packets; the numbers are part of the protocol. */
enum class GossipKind : std::uint8_t
{
  kPing = 1,          //!< requests an acknowledgement with the same sequence
  kAck = 2,           //!< acknowledges a ping, or relays the acknowledgement of an indirect ping
  kPingRequest = 3,   //!< asks the receiver to ping `target` for the sender
  kUpdates = 4,       //!< carries only updates and the sender's applied revision
  kRecordRequest = 5, //!< requests the records listed in `announcements`
  kRecords = 6,       //!< carries records
};

/** One datagram between two nodes. */
struct GossipPacket
{
  static constexpr std::uint32_t kVersion = 1;
  static constexpr std::size_t kMaxBytes = 1'200; //!< fits into one network frame

  GossipKind kind = GossipKind::kPing;
  std::uint64_t sequence = 0;
  MemberUpdate sender;        //!< the sender's own state
  std::uint64_t digest = 0;   //!< of the sender's configuration
  std::uint64_t revision = 0; //!< highest platform version that the sender applied
  std::string receiver;       //!< name of the intended receiver; empty: any node at the address
  Address target;             //!< of a ping request, whose `receiver` is the target's name
  std::vector<FreshnessBeacon> beacons;
  std::vector<MemberUpdate> members;
  std::vector<RecordAnnouncement> announcements;
  std::vector<RecordCopy> records;

  bool operator==(const GossipPacket&) const = default;

  std::string Encode() const;

  /** Fails with kGossipMalformed or kGossipVersion if aBytes is not a valid packet. Never throws.
   */
  static Result<GossipPacket> Decode(std::string_view aBytes);
};

} // namespace mustardwinch
