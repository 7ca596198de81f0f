#include "testing/tcp_table.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace cranemux::testing {
namespace {

const std::string kLoopback = "0100007F:", kEstablished = "01";
const std::string kSocketLink = "socket:[";

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoul(address.substr(kLoopback.size()), nullptr, 16));
}

std::set<std::uint64_t> socket_inodes_of(pid_t process) {
  std::set<std::uint64_t> inodes;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
    const auto link = std::filesystem::read_symlink(entry.path(), error).string();
    if (link.starts_with(kSocketLink)) inodes.insert(std::stoull(link.substr(kSocketLink.size())));
  }
  return inodes;
}

}  // namespace

std::vector<TcpSocket> tcp_sockets() {
  std::vector<TcpSocket> sockets;
  std::ifstream table("/proc/net/tcp");
  std::string line, number, local, remote, state, queues, timer, retransmits, user, timeout;
  std::getline(table, line);  // its heading
  while (std::getline(table, line)) {
    TcpSocket socket;
    std::istringstream(line) >> number >> local >> remote >> state >> queues >> timer >> retransmits >>
        user >> timeout >> socket.inode;
    if (state != kEstablished || !local.starts_with(kLoopback) || !remote.starts_with(kLoopback)) continue;
    socket.local_port = port_of(local);
    socket.remote_port = port_of(remote);
    socket.unread = std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    sockets.push_back(socket);
  }
  return sockets;
}

std::set<std::uint16_t> client_ports_of(pid_t process, int port) {
  const auto inodes = socket_inodes_of(process);
  std::set<std::uint16_t> ports;
  for (const auto& socket : tcp_sockets()) {
    if (socket.local_port == port && inodes.contains(socket.inode)) ports.insert(socket.remote_port);
  }
  return ports;
}

}  // namespace cranemux::testing
