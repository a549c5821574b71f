#include "standin_upstream/ClientConnection.h"

#include <civetweb.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace mustardwinch::standin {

namespace {

/** CivetWeb does not tell the socket of a connection: finds it by the client's port. */
int FindSocket(int aRemotePort, int aLocalPort)
{
  constexpr int kMostSockets = 4096;
  for (int fd = 3; fd < kMostSockets; ++fd) {
    sockaddr_in remote{};
    sockaddr_in local{};
    socklen_t remoteSize = sizeof remote;
    socklen_t localSize = sizeof local;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &remoteSize) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&local), &localSize) != 0) {
      continue;
    }
    if (ntohs(remote.sin_port) == aRemotePort && ntohs(local.sin_port) == aLocalPort) {
      return fd;
    }
  }
  return -1;
}

} // namespace

bool ClientConnection::IsClosedByClient(const mg_connection* aConnection)
{
  if (mSocket < 0) {
    const mg_request_info* info = mg_get_request_info(aConnection);
    mSocket = FindSocket(info->remote_port, info->server_port);
  }
  if (mSocket < 0) {
    return false;
  }
  pollfd poll{ mSocket, POLLRDHUP, 0 };
  return ::poll(&poll, 1, 0) > 0 && (poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace mustardwinch::standin
