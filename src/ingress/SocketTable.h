#pragma once

#include "mustardwinch/Address.h"

#include <cstdint>
#include <map>
#include <set>

namespace mustardwinch {

/**
 * This process's TCP sockets on some local ports by the address of their other end. CivetWeb does
 * not give the socket of a connection; looking it up is the way to see that a caller has gone, or
 * to free an idle one's thread.
 */
std::map<Address, int> ScanSockets(const std::set<std::uint16_t>& aLocalPorts);

/** True if the other end has closed the connection. */
bool HasPeerClosed(int aSocket);

/** True if bytes wait to be read. */
bool HasPendingBytes(int aSocket);

/** Ends reading and writing on the socket without closing it; its owner sees the end. */
void ShutDownSocket(int aSocket);

} // namespace mustardwinch
