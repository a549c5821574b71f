#pragma once

#include <cstdint>

namespace mustardwinch {

/**
 * Kinds of control messages between nodes. The numbers are part of the protocol between versions;
 * a number is never used again for something else.
 */
enum class PeerMessage : std::uint16_t
{
  kGrantRequest = 1, //!< an ingress asks the owner of an organisation's rate for tokens
  kGrantReturn = 2,  //!< an ingress gives unspent tokens back
  kRecordsPull = 3,  //!< a node asks a peer for configuration and membership records
  kGateEvidence = 4, //!< a node reports what it saw of an upstream to the gate
};

} // namespace mustardwinch
