// The machine's TCP sockets as Linux lists them (proc(5), /proc/net/tcp), and whose they are.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <set>
#include <vector>

namespace cranemux::testing {

struct TcpSocket {
  std::uint16_t local_port = 0, remote_port = 0;  // on loopback
  std::size_t unread = 0;                         // bytes that have come and were not read
  std::uint64_t inode = 0;
};

// Those that are connected on loopback.
std::vector<TcpSocket> tcp_sockets();

// The clients' ports of the connections to `port` that the process holds.
std::set<std::uint16_t> client_ports_of(pid_t process, int port);

}  // namespace cranemux::testing
