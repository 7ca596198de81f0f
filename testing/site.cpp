#include "testing/site.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace cranemux::testing {
namespace {

constexpr const char* kSettings = R"({"balancers":1,"index":0,"zone":"z","quantum-ns":2000000,
  "caps":{"cancel":true,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000,"most-tries":4},
  "invariants":{"drain-grace-ns":1000000000,"cold-from":1},"stats":{"fields":["outstanding"],"source":"piggyback"},
  "specifics":{"most-units":4},"classes":)";

sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

}  // namespace

Site::Site(std::string binary, bool inherits) : binary(std::move(binary)), port(free_port()) {
  if (!inherits) return;
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = loopback(0);
  socklen_t size = sizeof at;
  if (::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(socket_, 128) != 0 || ::getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw std::runtime_error("no socket for clients");
  }
  port = ntohs(at.sin_port);
}

Site::~Site() {
  lives_.clear();
  if (socket_ >= 0) ::close(socket_);
}

Node& Site::node(const std::string& name) {
  auto& slot = nodes_[name];
  if (!slot) slot = std::make_unique<Node>(stage, name, &rules);
  return *slot;
}

std::string Site::configuration() const {
  const auto here = [](int at) { return "\"127.0.0.1:" + std::to_string(at) + "\""; };
  std::string out = "{\"name\":\"n0\",\"listen\":" + here(port) +
                    ",\"discovery\":\"127.0.0.1:1\",\"limits\":" + limits +
                    ",\"peer_listen\":" + here(mail_) + ",\"peers\":[" + here(mail_) +
                    "],\"seed\":\"5\",\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[";
  const char* comma = "";
  auto addresses = elsewhere;
  for (const auto& [name, node] : nodes_) addresses[name] = node->address();
  for (const auto& [name, address] : addresses) {
    out += comma;
    out += "{\"name\":\"" + name + "\",\"address\":\"" + address +
           "\",\"zone\":\"z\",\"status\":\"active\",\"since_ms\":0}";
    comma = ",";
  }
  return out + "]},\"settings\":" + kSettings + classes + ",\"contracts\":" + plans + "}}";
}

Site::Life& Site::start(bool ready) {
  Life life;
  life.management = free_port();
  const auto config = folder.write("config.json", configuration());
  auto environment = more;
  environment["ROUTER_CONFIG"] = config;
  environment["ROUTER_MANAGEMENT"] = "127.0.0.1:" + std::to_string(life.management);
  environment["TMPDIR"] = folder.path("");
  if (socket_ >= 0) environment["ROUTER_SOCKET_FD"] = "4";
  life.program = std::make_unique<Program>(binary, std::vector<std::string>{"serve"}, environment,
                                           folder.path("log" + std::to_string(lives_.size())), socket_);
  lives_.push_back(std::move(life));
  auto& made = lives_.back();
  const bool said = stage.play_until([&] { return !made.program->alive() || !ready || this->ready(made); },
                                     milliseconds(20'000));
  if (ready && (!said || !made.program->alive())) {
    throw std::runtime_error("the program is not ready: " + log(lives_.size() - 1));
  }
  return made;
}

std::string Site::log(std::size_t life) {
  std::ifstream in(folder.path("log" + std::to_string(life)));
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string Site::call(const Life& life, const std::string& line) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto at = loopback(life.management);
  std::string out;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    const auto sent = line + "\n";
    (void)!::send(fd, sent.data(), sent.size(), MSG_NOSIGNAL);
    const auto end = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < end) {
      char piece[4096];
      const auto got = ::recv(fd, piece, sizeof piece, MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN)) break;
      if (got > 0) out.append(piece, static_cast<std::size_t>(got));
      if (got < 0) stage.play(milliseconds(1));  // the stand-ins go on meanwhile
    }
  }
  ::close(fd);
  return out;
}

long Site::figure(const Life& life, const std::string& name) {
  std::istringstream in(call(life, "vars"));
  std::string key;
  for (std::string line; std::getline(in, line);) {
    const auto space = line.find(' ');
    if (line.substr(0, space) == name) return std::stol(line.substr(space + 1));
  }
  return -1;
}

int Site::health() {
  Client client(stage, port);
  const auto answer = client.raw("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

}  // namespace cranemux::testing
