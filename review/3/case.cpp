// Case 3: a planned restart (SIGTERM) while a worker gives a long answer at a steady pace and its client
// takes all of it at once. The rule is broken if the gatekeeper ends the answer before its last byte, though
// the worker still gives and SIGKILL has not come.
#include <signal.h>

#include <memory>

#include "standins.h"

namespace {

using namespace review;

constexpr int kWorkers = 4, kClients = 4;
constexpr std::size_t kAnswer = std::size_t{8} * 1024 * 1024;  // of "up to 32 MB" (operation/DAYS.md)
constexpr std::size_t kPiece = std::size_t{64} * 1024;
constexpr milliseconds kPace{50};              // between two pieces: 6.4 s for the whole
constexpr std::chrono::seconds kBeforeEnd{1};  // from the requests to SIGTERM
constexpr std::chrono::seconds kKill{20};      // SIGKILL after SIGTERM; 2.7 s is the least (docs/PROTOCOL)
constexpr std::chrono::seconds kLongest{25};   // a client waits for its answer's last byte

// A worker that answers each request with kAnswer bytes, piece by piece.
void serve(Worker& worker, Socket& socket) {
  std::string in;
  while (!worker.stopping()) {
    const auto request = read_message(socket, in, Clock::now() + milliseconds(100));
    if (!request) {
      const auto got = socket.read(in, Clock::now());
      if (got == Socket::Read::ended || got == Socket::Read::broken) return;
      continue;
    }
    const auto id = request->field("Req-Id");
    worker.ran(id);
    std::this_thread::sleep_for(milliseconds(45));
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswer) + "\r\n\r\n",
                 Clock::now() + std::chrono::seconds(1));
    std::size_t given = 0;
    for (auto due = Clock::now(); given < kAnswer && !worker.stopping(); due += kPace) {
      std::this_thread::sleep_until(due);
      const auto count = socket.write(std::string(kPiece, 'a'), Clock::now() + std::chrono::seconds(2));
      given += count;
      if (count < kPiece) {
        worker.record.line(worker.name + " can give no more of " + id + " after " + std::to_string(given) +
                           " bytes: its connection was ended");
        return;
      }
    }
    worker.record.line(worker.name + " has given " + id + " whole");
  }
}

struct Seen {
  std::atomic<int> begun{0}, whole{0}, cut{0};
};

void ask(const Request& request, int port, Record& record, Seen& seen) {
  const auto socket = connect(port);
  if (!socket.open()) throw CannotRun("a client cannot connect");
  record.line(request.id + " is sent");
  const auto from = Clock::now();
  socket.write(request.text(), from + std::chrono::seconds(1));
  std::string in;
  Message head;
  std::size_t body = 0;
  bool first = false;
  auto got = Socket::Read::more;
  while (body < kAnswer && Clock::now() < from + kLongest) {
    got = socket.read(in, from + kLongest);
    if (got == Socket::Read::ended || got == Socket::Read::broken) break;
    if (!first && take_message(in, head, false) == Parsed::whole) {
      first = true;
      ++seen.begun;
      const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - from).count();
      record.line(request.id + " gets " + head.start + " after " + std::to_string(ms) +
                  " ms, Content-Length " + head.field("Content-Length"));
      if (head.status() != 200) return;
    }
    if (first) body += std::exchange(in, {}).size();
  }
  if (body == kAnswer) {
    ++seen.whole;
    return record.line(request.id + " has its answer whole");
  }
  ++seen.cut;
  const auto* how = got == Socket::Read::ended    ? "an end"
                    : got == Socket::Read::broken ? "a reset"
                                                  : "silence";
  record.line("CUT: " + request.id + " gets " + how + " after " + std::to_string(body) + " of " +
              std::to_string(kAnswer) + " bytes");
}

int play() {
  const Setting setting;
  Record record(setting.record);
  record.line(setting.trouble ? "with the disruption" : "TROUBLE=0: no SIGTERM");
  std::vector<std::unique_ptr<Worker>> workers;
  Discovery discovery(record);
  for (int i = 0; i < kWorkers; ++i) {
    const auto name = "w" + std::to_string(i);
    workers.push_back(std::make_unique<Worker>(name, record, serve));
    discovery.list(name, workers.back()->port());
  }
  const std::vector<int> peers{free_port(), free_port()};
  Gatekeeper first({setting.root, setting.run, setting.folder, 0, peers}, discovery, record);
  Gatekeeper second({setting.root, setting.run, setting.folder, 1, peers}, discovery, record);
  first.wait_until_ready();
  second.wait_until_ready();
  Seen seen;
  std::atomic<bool> failed{false};
  std::atomic<int> busy{kClients};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    Request request;
    request.id = "r" + std::to_string(i);
    request.customer = 400 + static_cast<unsigned>(i);
    clients.emplace_back([&, request, port = first.port()] {
      try {
        ask(request, port, record, seen);
      } catch (const CannotRun& error) {
        record.line(error.what());
        failed = true;
      }
      --busy;
    });
  }
  std::this_thread::sleep_for(kBeforeEnd);
  const bool all_begun = seen.begun == kClients;
  if (setting.trouble) first.signal(SIGTERM, "SIGTERM");
  const auto kill_at = Clock::now() + kKill;
  bool ended = false;
  while (busy > 0 && Clock::now() < kill_at) {
    std::this_thread::sleep_for(milliseconds(5));
    if (!ended && !first.runs()) ended = true;
  }
  const bool before_kill = Clock::now() < kill_at;
  if (setting.trouble && !ended) first.signal(SIGKILL, "SIGKILL");
  for (auto& client : clients) client.join();
  record.line("begun " + std::to_string(seen.begun) + ", whole " + std::to_string(seen.whole) + ", cut " +
              std::to_string(seen.cut));
  if (failed || !all_begun || !second.runs() || (!setting.trouble && !first.runs())) return 2;
  const bool broken = seen.cut > 0 && before_kill;
  record.line(broken ? "the rule is broken" : "the rule held");
  return broken ? 1 : 0;
}

}  // namespace

int main() {
  try {
    return play();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return 2;
  }
}
