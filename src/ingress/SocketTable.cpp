#include "ingress/SocketTable.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <optional>
#include <string>

namespace mustardwinch {
namespace {

using NameFunction = int (*)(int, sockaddr*, socklen_t*);

/** What getpeername or getsockname gives for an IPv4 socket. */
std::optional<Address> AddressOf(int aSocket, NameFunction aFunction)
{
  sockaddr_in name{};
  socklen_t n = sizeof(name);
  const int rc = aFunction(aSocket, reinterpret_cast<sockaddr*>(&name), &n);
  if (rc != 0 || name.sin_family != AF_INET) {
    return std::nullopt;
  }
  return Address{ ntohl(name.sin_addr.s_addr), ntohs(name.sin_port) };
}

int PollNow(int aSocket, short aEvents)
{
  pollfd entry{ aSocket, aEvents, 0 };
  return poll(&entry, 1, 0) > 0 ? entry.revents : 0;
}

} // namespace

std::map<Address, int> ScanSockets(const std::set<std::uint16_t>& aLocalPorts)
{
  std::map<Address, int> sockets;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator("/proc/self/fd", ec)) {
    const std::string text = it.path().filename().string();
    int fd = -1;
    std::from_chars(text.data(), text.data() + text.size(), fd);
    const auto local = AddressOf(fd, &getsockname);
    if (!local || !aLocalPorts.contains(local->port)) {
      continue;
    }
    if (const auto peer = AddressOf(fd, &getpeername)) {
      sockets[*peer] = fd;
    }
  }
  return sockets;
}

bool HasPeerClosed(int aSocket)
{
  return (PollNow(aSocket, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HasPendingBytes(int aSocket)
{
  return (PollNow(aSocket, POLLIN) & POLLIN) != 0;
}

void ShutDownSocket(int aSocket)
{
  shutdown(aSocket, SHUT_RDWR);
}

} // namespace mustardwinch
