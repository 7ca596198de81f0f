// Case 2: for half a minute bad clients send many requests at once and go, and some answers of the workers
// are spoilt. Then all is well again. The rule is broken if, with the trouble over, one of the two
// gatekeepers rejects all that it gets for 4 s on end, with no attempt in between.
#include <signal.h>

#include <memory>

#include "standins.h"

namespace {

using namespace review;

constexpr int kWorkers = 4, kClients = 4;
constexpr milliseconds kWork{120};  // of a request, with its wait: under a third of its aim of 400 ms
constexpr std::chrono::seconds kTrouble{30};  // bad clients come and answers are spoilt
constexpr int kBad = 12;                      // bad clients at a time
constexpr milliseconds kComes{25};            // between one and the next in its place
constexpr milliseconds kStays{100};           // of a bad client, after it has sent
constexpr int kFlood = 200;                   // requests that a bad client sends at once
constexpr int kSpoiltEvery = 4;               // answers, while there is trouble
constexpr milliseconds kAgain{20};            // until a client that was refused asks again
constexpr std::chrono::seconds kRest{3};      // after the trouble, before the gatekeeper is judged
constexpr std::chrono::seconds kWatched{4};   // "for 4 s on end" (more/mass/STANDING.md)
constexpr int kWindows = 3;                   // of kWatched, one after another
constexpr int kLeast = 15;                    // "15 or more"

struct World {
  std::atomic<bool> trouble{false};
  std::atomic<int> answers{0}, spoilt{0};
  std::atomic<int> attempts{0};  // that have come whole to a worker from the first gatekeeper's clients
};

// A worker whose answers are spoilt now and then: noise, and the connection stays open (next/1/LATER.md, "Bad
// workers").
void serve(Worker& worker, Socket& socket, World& world) {
  std::string in;
  while (!worker.stopping()) {
    const auto request = read_message(socket, in, Clock::now() + milliseconds(100));
    if (!request) {
      const auto got = socket.read(in, Clock::now());
      if (got == Socket::Read::ended || got == Socket::Read::broken) return;
      continue;
    }
    const auto id = request->field("Req-Id");
    ++world.attempts;
    std::this_thread::sleep_for(kWork);
    worker.ran(id);
    const bool spoil = world.trouble && ++world.answers % kSpoiltEvery == 0;
    if (spoil) ++world.spoilt;
    socket.write(spoil ? std::string("\x01 this is no answer \x02\r\n\r\n") : good_answer("done " + id),
                 Clock::now() + std::chrono::seconds(1));
  }
}

// A bad client: "hundreds of requests at once" (next/1/LATER.md), "such that send much at once and go"
// (STANDING).
void flood(int number, int port) {
  const auto socket = connect(port);
  if (!socket.open()) throw CannotRun("a bad client cannot connect");
  std::string text;
  for (int i = 0; i < kFlood; ++i) {
    Request request;
    request.id = "f" + std::to_string(number) + "-" + std::to_string(i);
    request.customer = 1000 + static_cast<unsigned>(number);
    text += request.text();
  }
  socket.write(text, Clock::now() + kStays);
  std::this_thread::sleep_for(kStays);
}

struct Seen {
  std::atomic<int> sent{0}, served{0}, refused{0}, other{0};
};

// A sound client: one request at a time, a customer of its own inside its quota, until `stop`.
void ask(int number, int port, const std::atomic<bool>& stop, Seen& seen) {
  Socket socket;
  std::string in;
  for (int i = 0; !stop; ++i) {
    if (!socket.open()) {
      socket = connect(port);
      in.clear();
      if (!socket.open()) throw CannotRun("a client cannot connect");
    }
    Request request;
    request.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    request.customer = 100 + static_cast<unsigned>(number);
    ++seen.sent;
    socket.write(request.text(), Clock::now() + std::chrono::seconds(1));
    const auto answer = read_message(socket, in, Clock::now() + request.deadline + milliseconds(550));
    const auto status = answer ? answer->status() : 0;
    ++(status == 200 ? seen.served : status == 429 || status == 503 ? seen.refused : seen.other);
    if (!answer || answer->field("Connection") == "close") socket.close();
    std::this_thread::sleep_for(status == 200 ? kWork : kAgain);
  }
}

int play() {
  const Setting setting;
  Record record(setting.record);
  record.line(setting.trouble ? "with the disruption" : "TROUBLE=0: no bad clients, no spoilt answers");
  World world;
  std::vector<std::unique_ptr<Worker>> workers;
  Discovery discovery(record);
  for (int i = 0; i < kWorkers; ++i) {
    const auto name = "w" + std::to_string(i);
    workers.push_back(
        std::make_unique<Worker>(name, record, [&](Worker& w, Socket& s) { serve(w, s, world); }));
    discovery.list(name, workers.back()->port());
  }
  const std::vector<int> peers{free_port(), free_port()};
  Gatekeeper first({setting.root, setting.run, setting.folder, 0, peers}, discovery, record);
  Gatekeeper second({setting.root, setting.run, setting.folder, 1, peers}, discovery, record);
  first.wait_until_ready();
  second.wait_until_ready();
  Seen seen;
  std::atomic<bool> stop{false}, failed{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients;
       ++i) {  // all sound traffic goes to the first: its attempts are all that there are
    clients.emplace_back([&, i, port = first.port()] {
      try {
        ask(i, port, stop, seen);
      } catch (const CannotRun& error) {
        record.line(error.what());
        failed = true;
      }
    });
  }
  const auto told = [&](const std::string& when, const Seen& since, int attempts) {
    record.line(when + ": sent " + std::to_string(seen.sent - since.sent) + ", served " +
                std::to_string(seen.served - since.served) + ", refused " +
                std::to_string(seen.refused - since.refused) + ", other " +
                std::to_string(seen.other - since.other) + "; attempts at the workers " +
                std::to_string(world.attempts - attempts));
  };
  const Seen none;
  std::atomic<int> floods{0};
  world.trouble = setting.trouble;
  std::vector<std::thread> bad;
  const auto end = Clock::now() + kTrouble;
  for (int i = 0; i < kBad; ++i) {
    bad.emplace_back([&] {
      try {
        while (Clock::now() < end) {
          if (setting.trouble) flood(floods++, first.port());
          std::this_thread::sleep_for(kComes);
        }
      } catch (const CannotRun& error) {
        record.line(error.what());
        failed = true;
      }
    });
  }
  for (auto& client : bad) client.join();
  world.trouble = false;
  told("with the trouble, " + std::to_string(floods) + " bad clients, " + std::to_string(world.spoilt) +
           " spoilt answers",
       none, 0);
  std::this_thread::sleep_for(kRest);
  bool broken = false;
  for (int i = 0; i < kWindows; ++i) {
    Seen before;
    before.sent = seen.sent.load();
    before.served = seen.served.load();
    before.refused = seen.refused.load();
    before.other = seen.other.load();
    const int attempts = world.attempts;
    std::this_thread::sleep_for(kWatched);
    told("4 s without any trouble", before, attempts);
    broken = broken || (seen.refused - before.refused >= kLeast && world.attempts == attempts &&
                        seen.served == before.served);
  }
  stop = true;
  for (auto& client : clients) client.join();
  const bool run = first.runs() && second.runs();
  if (run) {  // it prints its counters
    first.signal(SIGUSR1, "SIGUSR1");
    std::this_thread::sleep_for(milliseconds(300));
    record.line("the first gatekeeper's counters that are not 0, and its log but for spoilt answers:");
    record.quote(first.log(), [](const std::string& text) {
      return !text.ends_with(" 0") && text.find("spoilt answer of") == std::string::npos;
    });
  }
  if (failed || !run || seen.sent < kLeast) return 2;
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
