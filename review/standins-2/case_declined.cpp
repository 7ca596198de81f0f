// Workers that turn some requests away, and answers that are followed by a second copy a few milliseconds
// later. A booking must never run twice, whatever else arrives on the connection that it was sent on.
#include <cmath>

#include "standins.h"

namespace {

using namespace standins;

constexpr int kDays = 16, kSites = 5;  // sites that are played at the same time, each by itself
constexpr int kGatekeepers = 3, kWorkers = 6;
constexpr long kDay = 4200, kCalm = 1200;           // ms: of a day, and without copies at its start
constexpr int kClients = 12;                        // of each gatekeeper
constexpr double kThink = 70;                       // ms, mean time of a client between two requests
constexpr double kCopies = 0.1;                     // share of the answers that are followed by a copy
constexpr double kSoonest = 2, kLatest = 6;         // ms: the copy comes so long after the answer
constexpr double kStatusWork = 40, kBookWork = 90;  // ms, mean, within the ranges of the brief
constexpr double kBookings = 0.28;                  // share of the requests
constexpr double kDeclined = 0.15;                  // share of the requests that a worker turns away

double exponential(double mean) { return -mean * std::log(1 - random_fraction()); }

struct Day {
  Record& record;
  std::atomic<bool> ends{false}, copies{false};
  std::atomic<int> served{0}, refused{0}, failed{0}, closed{0}, twice{0}, copied{0};
  std::mutex mutex;
  std::map<std::string, int> runs;  // of bookings

  // A worker's connection. Some answers are followed by a second copy at once, where nothing else waits here.
  void work(Connection& connection) {
    while (const auto request = connection.read()) {
      const bool books = request->field("req-kind") == "book-job";
      const auto id = request->field("req-id");
      const bool declined = random_fraction() < kDeclined;
      std::string answer = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
      if (!declined) {
        if (books) run(id);
        sleep_ms(static_cast<long>(exponential(books ? kBookWork : kStatusWork)));
        const auto body = "the answer to " + id;
        answer =
            "HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight=1\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
      }
      const bool copy = copies && !connection.has_input() && random_fraction() < kCopies;
      record.line("worker: ", declined ? "turns away " : "ran ", id,
                  copy ? ", a second copy right behind" : "");
      if (!connection.send(copy ? answer + answer : answer)) return;
    }
  }

  void run(const std::string& id) {
    const std::lock_guard hold(mutex);
    if (++runs[id] < 2) return;
    ++twice;
    record.result("TWICE: the booking ", id, " runs for the second time");
  }

  // The way from a worker to a gatekeeper: all that comes behind an answer together with it arrives a little
  // later. The bytes of a connection keep their order.
  void relay(int worker_port, Connection& gatekeeper) {
    Connection worker;
    if (!worker.open(worker_port)) return;
    std::thread requests([&] {
      while (const auto request = gatekeeper.read()) {
        if (!worker.send(request->raw)) break;
      }
      worker.shut();
    });
    while (const auto answer = worker.read()) {
      if (!gatekeeper.send(answer->raw)) break;
      if (!worker.has_buffered()) continue;
      const auto late = kSoonest + random_fraction() * (kLatest - kSoonest);
      sleep_ms(static_cast<long>(late));
      const auto copy = worker.read();
      ++copied;
      record.line("network: the second copy of \"", answer->body, "\" arrives ", static_cast<int>(late),
                  " ms after it");
      if (!copy || !gatekeeper.send(copy->raw)) break;
    }
    gatekeeper.shut();
    requests.join();
  }

  void call(int gatekeeper, int port, int number) {
    Connection connection;
    for (int i = 0; !ends; ++i) {
      sleep_ms(static_cast<long>(exponential(kThink)));
      if (!connection.is_open() && !connection.open(port)) continue;
      Request request;
      request.id = std::to_string(gatekeeper) + "." + std::to_string(number) + "." + std::to_string(i);
      if (random_fraction() < kBookings) request.klass = "book-job", request.deadline_ms = 2000;
      request.customer = static_cast<unsigned>(1 + gatekeeper * kClients + number);
      request.first = gatekeeper;
      record.line("client: sends ", request.id, ' ', request.klass);
      connection.send(request.text());
      const auto answer = connection.read(Clock::now() + milliseconds(request.deadline_ms + 500));
      if (!answer) {
        ++closed;
        connection.close();
        continue;
      }
      const auto status = answer->status();
      ++(status == 200 ? served : status == 429 || status == 503 ? refused : failed);
      record.line("client: ", request.id, " answered with ", status, " \"", answer->body, '"');
      if (answer->field("connection") == "close") connection.close();
    }
  }
};

// Returns how many bookings ran twice.
int play(Record& record, const std::string& name, std::atomic<int>& served) {
  const Folder folder;
  Day day{record};
  std::vector<std::unique_ptr<Server>> workers, relays;
  std::vector<Site> sites(kGatekeepers);
  std::vector<int> peers, ports;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Server>([&day](Connection& c) { day.work(c); }));
    relays.push_back(std::make_unique<Server>(
        [&day, port = workers.back()->port()](Connection& c) { day.relay(port, c); }));
    ports.push_back(relays.back()->port());
  }
  for (int i = 0; i < kGatekeepers; ++i) peers.push_back(free_port());
  std::vector<std::unique_ptr<Gatekeeper>> gatekeepers;
  for (int i = 0; i < kGatekeepers; ++i) {
    auto& site = sites[static_cast<std::size_t>(i)];
    site.index = i;
    site.peers = peers;
    site.workers = ports;
    const auto config = folder.write("config" + std::to_string(i) + ".json", site.json());
    gatekeepers.push_back(std::make_unique<Gatekeeper>(
        "", std::map<std::string, std::string>{{"ROUTER_CONFIG", config}, {"TMPDIR", folder.path()}},
        folder.path() + "/log" + std::to_string(i)));
  }
  for (int i = 0; i < kGatekeepers; ++i) {
    if (!gatekeepers[static_cast<std::size_t>(i)]->ready(sites[static_cast<std::size_t>(i)].port))
      not_run("a gatekeeper is not ready");
  }
  std::vector<std::thread> threads;
  for (int g = 0; g < kGatekeepers; ++g) {
    for (int i = 0; i < kClients; ++i) {
      threads.emplace_back(
          [&day, g, i, port = sites[static_cast<std::size_t>(g)].port] { day.call(g, port, i); });
    }
  }
  sleep_ms(kCalm);
  day.copies = trouble();
  for (const auto end = Clock::now() + milliseconds(kDay - kCalm); Clock::now() < end && day.twice == 0;)
    sleep_ms(20);
  day.ends = true;
  for (auto& thread : threads) thread.join();
  served += day.served;
  record.result("day ", name, ": ", day.served.load(), " served, ", day.refused.load(), " refused, ",
                day.failed.load(), " failed, ", day.closed.load(), " closed; ", day.copied.load(),
                " second copies; ", day.twice.load(), " bookings that ran twice");
  gatekeepers.clear();
  relays.clear();
  workers.clear();
  return day.twice;
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_copy RECORD");
  Record record(arguments[1]);
  std::atomic<int> served{0}, twice{0};
  for (int day = 1; day <= kDays && twice == 0; ++day) {
    std::vector<std::thread> sites;
    for (int site = 1; site <= kSites; ++site) {
      sites.emplace_back([&record, &served, &twice, name = std::to_string(day) + '.' + std::to_string(site)] {
        twice += play(record, name, served);
      });
    }
    for (auto& thread : sites) thread.join();
  }
  if (served == 0) not_run("nothing was served");
  record.result(twice > 0 ? "broken" : "held");
  return twice > 0 ? kBroken : kHeld;
}
