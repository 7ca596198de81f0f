// Memory and descriptors at the worst points of a day: many long answers with slow readers, two processes in
// an upgrade under load, a flood of connections. Usage: daily_limits PROGRAM
#include <dirent.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <deque>

#include "testing/site.h"

namespace {

using namespace cranemux::testing;
namespace asio = cranemux::net::asio;
using Socket = cranemux::net::tcp::socket;

std::size_t descriptors(pid_t pid) {
  std::size_t count = 0;
  DIR* folder = ::opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
  while (folder && ::readdir(folder)) ++count;
  if (folder) ::closedir(folder);
  return count < 2 ? 0 : count - 2;
}

struct Worst {
  long kb = 0;
  std::size_t descriptors = 0;
  void look(std::initializer_list<const Site::Life*> lives) {
    long kb_now = 0;
    std::size_t now = 0;
    for (const auto* life : lives) {
      kb_now += life->program->resident_kb();
      now += ::descriptors(life->program->pid());
    }
    kb = std::max(kb, kb_now);
    descriptors = std::max(descriptors, now);
  }
  void print(const char* what, const Site& site) const {
    std::printf("%-52s %6.1f MB %5zu descriptors, limits %s\n", what, static_cast<double>(kb) / 1024,
                descriptors, site.limits.c_str());
  }
};

Socket connect(Site& site) {
  Socket socket(site.stage.io(), cranemux::net::tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
  boost::system::error_code ignored;
  socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(site.port)}, ignored);
  return socket;
}

void long_answers(const std::string& program) {
  Site site(program);
  const std::string data(4 * 1024 * 1024, 'x');
  for (const auto* name : {"one", "two", "three", "four", "five", "six", "seven", "eight"})
    site.node(name).body = [&](const auto&) { return data; };
  site.limits = "{\"sockets\":1024,\"memory_mb\":48}";
  site.start();
  Worst worst;
  std::deque<Socket> readers;
  for (int i = 0; i < 200; ++i) {
    readers.push_back(connect(site));
    const auto text = "GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: b" + std::to_string(i) +
                      "\r\nReq-Kind: job-status\r\nX-Tier: business\r\nCookie: client=0000000000000001\r\n"
                      "Req-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n";
    asio::write(readers.back(), asio::buffer(text));
    site.stage.play(milliseconds(10));
    worst.look({&site.life()});
  }
  for (int i = 0; i < 100; ++i) {
    site.stage.play(milliseconds(10));
    worst.look({&site.life()});
  }
  std::printf("%ld answers are under way\n", site.figure("router_pending"));
  worst.print("200 long answers, readers that take nothing", site);
}

void upgrade(const std::string& program) {
  Site site(program, true);
  for (const auto* name : {"one", "two"}) site.node(name).behaviour.delay = milliseconds(30);
  auto& old = site.start();
  Client client(site.stage, site.port);
  client.flow(400, milliseconds(4000), [](std::size_t i) {
    Ask ask;
    ask.customer = "000000000000000" + std::to_string(i % 10);
    return ask;
  });
  site.stage.play(milliseconds(1000));
  Worst before, both;
  before.look({&old});
  auto& next = site.start();
  old.program->signal(SIGTERM);
  while (old.program->alive()) {
    both.look({&old, &next});
    site.stage.play(milliseconds(5));
  }
  client.finish();
  before.print("one process at 400 requests a second", site);
  both.print("two processes in an upgrade at that pace", site);
  std::printf("%zu of %zu requests served\n", client.count(200), client.results().size());
}

void flood(const std::string& program) {
  Site site(program);
  site.node("one");
  site.limits = "{\"sockets\":192,\"memory_mb\":24}";
  site.start();
  Worst worst;
  std::deque<Socket> crowd;
  for (int i = 0; i < 5000; ++i) {
    crowd.push_back(connect(site));
    boost::system::error_code ignored;
    if (i % 2 == 0) crowd.back().write_some(asio::buffer("GET /api HTTP/1.1\r\nReq-Id:", 26), ignored);
    if (crowd.size() > 800) crowd.pop_front();
    if (i % 10 == 0) site.stage.play(milliseconds(1));
    if (i % 50 == 0) worst.look({&site.life()});
  }
  worst.print("5,000 connections that are idle or half a request", site);
  std::printf("check: %s", site.call("check").c_str());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  long_answers(argv[1]);
  upgrade(argv[1]);
  flood(argv[1]);
  return 0;
}
