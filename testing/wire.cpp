#include "testing/wire.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <cstdint>
#include <cstdio>

#include "testing/tcp_table.h"

namespace cranemux::testing {
namespace {

constexpr milliseconds kStuck{300};

}  // namespace

std::string pattern(std::size_t size) {
  std::string out(size, '\0');
  std::uint32_t random = static_cast<std::uint32_t>(size);
  for (auto& c : out) c = static_cast<char>((random = random * 1664525U + 1013904223U) >> 24U);
  return out;
}

std::string request(const std::string& id, const std::string& more, bool safe, const char* version,
                    milliseconds deadline) {
  return std::string(safe ? "GET" : "POST") + " /api HTTP/" + version + "\r\nHost: a\r\nReq-Id: " + id +
         "\r\nReq-Kind: " + (safe ? "job-status" : "book-job") +
         "\r\nX-Tier: business\r\nCookie: client=0000000000000001\r\nReq-Deadline-Ms: " +
         std::to_string(deadline.count()) + "\r\nX-Call-Terms: units=1,spread=1,first=0\r\n" + more + "\r\n";
}

Wire::Wire(Stage& stage, int port) : stage_(stage), socket_(stage.io(), net::tcp::v4()) {
  socket_.set_option(net::asio::socket_base::receive_buffer_size(64 * 1024));
  socket_.connect({net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
  socket_.set_option(net::tcp::no_delay(true));
  socket_.non_blocking(true);
}

void Wire::send(std::string_view text) {
  while (!text.empty()) {
    boost::system::error_code error;
    const auto count = socket_.write_some(net::asio::buffer(text), error);
    if (error && error != net::asio::error::would_block) return;
    text.remove_prefix(error ? 0 : count);
    if (!text.empty()) stage_.play(milliseconds(1));
  }
}

std::size_t Wire::write(std::string_view text) {
  boost::system::error_code error;
  const auto count = text.empty() ? 0 : socket_.write_some(net::asio::buffer(text), error);
  return error ? 0 : count;
}

bool Wire::send_whole(std::string_view text) {
  int held = 0;  // bytes that this machine has and the other has not taken
  for (auto moved = Clock::now(); Clock::now() - moved < kStuck;) {
    boost::system::error_code error;
    const auto count = socket_.write_some(net::asio::buffer(text), error);
    text.remove_prefix(error ? 0 : count);
    const auto was = held;
    ::ioctl(socket_.native_handle(), SIOCOUTQ, &held);
    if (text.empty() && held == 0) return true;
    if ((!error && count > 0) || held != was) moved = Clock::now();
    stage_.play(milliseconds(1));
  }
  return false;
}

std::size_t Wire::unread_there() {
  const auto here = socket_.local_endpoint().port(), there = socket_.remote_endpoint().port();
  for (const auto& socket : tcp_sockets()) {
    if (socket.local_port == there && socket.remote_port == here) return socket.unread;
  }
  return 0;
}

bool Wire::read(std::size_t most) {
  std::string piece(most, '\0');
  boost::system::error_code error;
  const auto count = socket_.read_some(net::asio::buffer(piece), error);
  if (!error) in.append(piece, 0, count);
  if (error == net::asio::error::would_block) stage_.play(milliseconds(1));
  return !error || error == net::asio::error::would_block;
}

bool Wire::answer(std::string& body, std::size_t most) {
  body.clear();
  while (http::parse_head(in, http::Kind::response, head).state != http::State::whole) {
    if (!read(most)) return false;
  }
  status = head.status;
  int ignored = 0;
  const auto framing = http::framing(head, http::Kind::response, ignored);
  keeps = head.keep_alive;
  in.erase(0, head.size);
  http::BodyReader reader(*framing);
  for (auto state = reader.take(in, body); state != http::BodyReader::State::done;) {
    const bool open = read(most);
    state = reader.take(in, body, !open);
    if (!open) return state == http::BodyReader::State::done;
  }
  return true;
}

}  // namespace cranemux::testing
