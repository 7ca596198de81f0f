#include "testing/flooding_clients.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace cranemux::testing {
namespace {

constexpr std::string_view kStatusLine = "HTTP/1.1 ";
constexpr std::size_t kPiece = std::size_t{64} * 1024;
constexpr int kPollMs = 20;
constexpr std::size_t kMostThreads = 4;

}  // namespace

FloodingClients::FloodingClients(int port, std::size_t connections, FloodKind kind)
    : port_(port), kind_(std::move(kind)), connections_(std::min(connections, kMostThreads)) {
  for (std::size_t i = 0; i < connections; ++i) connections_[i % connections_.size()].emplace_back();
  for (auto& some : connections_) threads_.emplace_back([this, &some] { run(some); });
}

FloodingClients::~FloodingClients() {
  ends_ = true;
  for (auto& thread : threads_) thread.join();
  for (auto& some : connections_) {
    for (auto& connection : some) close(connection);
  }
}

std::size_t FloodingClients::least_answered() const {
  auto least = answered_.load();
  for (const auto& some : connections_) {
    for (const auto& connection : some) least = std::min(least, connection.answered);
  }
  return least;
}

void FloodingClients::open(Connection& connection) const {
  connection = {};
  connection.opened = std::chrono::steady_clock::now();
  connection.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port_));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connection.connecting = ::connect(connection.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0;
}

void FloodingClients::close(Connection& connection) const {
  if (connection.fd >= 0) ::close(connection.fd);
  connection.fd = -1;
}

bool FloodingClients::may_send(const Connection& connection) const {
  if (kind_.reconnects) return connection.sent == 0;
  const auto unanswered = connection.sent - std::min(connection.sent, connection.answered);
  return kind_.most_unanswered == 0 || unanswered + kind_.batch <= kind_.most_unanswered;
}

void FloodingClients::write(Connection& connection) {
  connection.connecting = false;
  if (connection.out.empty() && !finishing_ && may_send(connection)) {
    const auto count = kind_.reconnects ? 1 : kind_.batch;
    const auto first = sent_.fetch_add(count);
    for (std::size_t i = 0; i < count; ++i) connection.out += kind_.make(first + i);
    connection.sent += count;
  }
  if (connection.out.empty()) return;
  const auto size = kind_.piece > 0 ? std::min(kind_.piece, connection.out.size()) : connection.out.size();
  const auto count = ::send(connection.fd, connection.out.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count > 0) connection.out.erase(0, static_cast<std::size_t>(count));
}

void FloodingClients::read(Connection& connection) {
  static thread_local std::array<char, kPiece> piece;
  const auto count = ::recv(connection.fd, piece.data(), piece.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    if (!kind_.reconnects && kind_.answered_each) broken_ = true;
    return close(connection);
  }
  connection.tail.append(piece.data(), static_cast<std::size_t>(count));
  std::size_t at = 0;
  for (auto next = connection.tail.find(kStatusLine); next != std::string::npos;
       next = connection.tail.find(kStatusLine, at)) {
    at = next + kStatusLine.size();
    ++connection.answered;
    ++answered_;
  }
  connection.tail.erase(
      0, std::max(at, connection.tail.size() - std::min(connection.tail.size(), kStatusLine.size() - 1)));
  if (kind_.reconnects && connection.answered > 0) close(connection);
}

bool FloodingClients::turn(Connections& connections) {
  std::vector<pollfd> looks;
  bool finished = finishing_;
  const auto leaving = std::chrono::steady_clock::now() - kind_.leaves_after;
  for (auto& connection : connections) {
    if (kind_.leaves_after.count() > 0 && connection.opened <= leaving) close(connection);
    if (connection.fd < 0 && !finishing_) open(connection);
    const bool answered = connection.out.empty() && connection.answered >= connection.sent;
    finished = finished && (connection.fd < 0 || answered);
    const bool writes = !finishing_ || !connection.out.empty();
    const bool awaits_answer = connection.out.empty() && !may_send(connection);
    pollfd look{connection.fd, 0, 0};
    if (writes && !awaits_answer) look.events |= POLLOUT;
    if (kind_.reads || finishing_) look.events |= POLLIN;
    looks.push_back(look);
  }
  if (finished) return false;
  if (::poll(looks.data(), looks.size(), kPollMs) <= 0) return true;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if ((looks[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) read(connections[i]);
    if (connections[i].fd >= 0 && (looks[i].revents & POLLOUT) != 0) write(connections[i]);
  }
  return true;
}

void FloodingClients::run(Connections& connections) {
  while (!ends_) {
    if (turn(connections)) continue;
    ++finished_;
    return;
  }
}

std::string platform_request(const std::string& id, const std::string& customer, const std::string& plan,
                             std::chrono::milliseconds deadline, const std::string& klass) {
  return "GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nReq-Kind: " + klass + "\r\nX-Tier: " + plan +
         "\r\nCookie: client=" + customer + "\r\nReq-Deadline-Ms: " + std::to_string(deadline.count()) +
         "\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n";
}

std::string booking_head(const std::string& id, const std::string& customer, const std::string& plan,
                         std::chrono::milliseconds deadline, std::size_t length) {
  auto text = platform_request(id, customer, plan, deadline, "book-job");
  text.replace(0, 3, "POST");
  return text.insert(text.size() - 2, "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string customer_name(std::size_t number) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016zx", number + 100);
  return text.data();
}

}  // namespace cranemux::testing
