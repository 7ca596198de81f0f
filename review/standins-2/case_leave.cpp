// Bad clients that send much at once and go, while some answers are spoilt; then all is well again. A
// gatekeeper must not stop passing work on: with the trouble over, idle and sound workers and customers
// inside their quotas, it may not reject all that it gets for 4 s on end, with no attempt in between.
#include "standins.h"

namespace {

using namespace standins;

constexpr int kWorkers = 4, kSound = 4;
constexpr long kTrouble = 30'000, kRest = 3000, kWindow = 4000;  // ms
constexpr int kWindows = 3, kLeastRejected = 15;
constexpr int kBad = 12, kFlood = 200;     // bad clients at a time; requests that each sends at once
constexpr long kStays = 100, kComes = 25;  // ms: of a bad client, and until the next in its place
constexpr double kSpoilt = 0.25;           // share of the answers, while there is trouble
constexpr long kWork = 100, kThink = 100, kAgain = 20;  // ms
constexpr unsigned kBadCustomers = 1000;  // the bad clients' customers are numbered from here on

struct Counts {
  int sent = 0, served = 0, refused = 0, other = 0, attempts = 0;
};

struct Case {
  Record& record;
  std::atomic<bool> ends{false}, spoils{false}, floods{false};
  std::atomic<int> sent{0}, served{0}, refused{0}, other{0}, attempts{0}, spoilt{0}, bad{0};

  Counts counts() const { return {sent, served, refused, other, attempts}; }

  void work(Connection& connection) {
    while (const auto request = connection.read()) {
      ++attempts;
      const auto id = request->field("req-id");
      sleep_ms(kWork);
      const bool spoil = spoils && random_fraction() < kSpoilt;
      record.line("worker: ran ", id, spoil ? ", its answer is spoilt" : "");
      if (spoil) ++spoilt;
      connection.send(spoil ? std::string("\x01 this is no answer \x02\r\n\r\n")
                            : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" +
                                  id);
    }
  }

  // Sends hundreds of requests at once, stays a moment and goes.
  void flood(int port) {
    while (floods) {
      Connection connection;
      if (connection.open(port)) {
        const int number = ++bad;
        std::string text;
        for (int i = 0; i < kFlood; ++i) {
          Request request;
          request.id = "bad-" + std::to_string(number) + "-" + std::to_string(i);
          request.customer = kBadCustomers + static_cast<unsigned>(number);
          text += request.text();
        }
        record.line("bad client ", number, ": sends ", kFlood, " requests at once, bad-", number,
                    "-0 and on, and goes");
        connection.send(text);
        sleep_ms(kStays);
      }
      connection.close();
      sleep_ms(kComes);
    }
  }

  // A usual client: one request at a time, a customer of its own.
  void ask(int port, unsigned customer) {
    Connection connection;
    for (int i = 0; !ends; ++i) {
      if (!connection.is_open() && !connection.open(port)) {
        sleep_ms(kAgain);
        continue;
      }
      Request request;
      request.id = std::to_string(customer) + "-" + std::to_string(i);
      request.customer = customer;
      ++sent;
      record.line("client: sends ", request.id);
      connection.send(request.text());
      const auto answer = connection.read(Clock::now() + milliseconds(request.deadline_ms + 550));
      const auto status = answer ? answer->status() : 0;
      record.line("client: ", request.id, " answered with ", status);
      ++(status == 200 ? served : status == 429 || status == 503 ? refused : other);
      if (!answer || answer->field("connection") == "close") connection.close();
      sleep_ms(status == 200 ? kThink : kAgain);
    }
  }

  // Whether all was rejected in one window, with no attempt in between.
  bool rejects_all(const std::string& when) {
    const auto before = counts();
    sleep_ms(kWindow);
    const auto after = counts();
    const Counts now{after.sent - before.sent, after.served - before.served, after.refused - before.refused,
                     after.other - before.other, after.attempts - before.attempts};
    record.result(when, ": sent ", now.sent, ", served ", now.served, ", refused ", now.refused, ", other ",
                  now.other, "; attempts at the workers ", now.attempts);
    return now.refused >= kLeastRejected && now.served == 0 && now.other == 0 && now.attempts == 0;
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_leave RECORD");
  Record record(arguments[1]);
  const Folder folder;
  Case play{record};
  std::vector<std::unique_ptr<Server>> workers;
  Site site;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Server>([&play](Connection& c) { play.work(c); }));
    site.workers.push_back(workers.back()->port());
  }
  const auto config = folder.write("config.json", site.json());
  Gatekeeper gatekeeper("", {{"ROUTER_CONFIG", config}, {"TMPDIR", folder.path()}}, folder.path() + "/log");
  if (!gatekeeper.ready(site.port)) not_run("the gatekeeper is not ready");
  std::vector<std::thread> threads, floods;
  for (unsigned i = 1; i <= kSound; ++i) threads.emplace_back([&play, &site, i] { play.ask(site.port, i); });
  play.rejects_all("before the trouble");
  const auto served_before = play.served.load();
  play.spoils = play.floods = trouble();
  for (int i = 0; i < kBad; ++i) floods.emplace_back([&play, &site] { play.flood(site.port); });
  sleep_ms(kTrouble);
  play.spoils = play.floods = false;
  for (auto& thread : floods) thread.join();
  record.result("trouble: ", play.bad.load(), " bad clients, ", play.spoilt.load(), " spoilt answers");
  sleep_ms(kRest);
  bool broken = false;
  for (int i = 1; i <= kWindows; ++i) broken = play.rejects_all("window " + std::to_string(i)) || broken;
  play.ends = true;
  for (auto& thread : threads) thread.join();
  if (served_before == 0) not_run("nothing was served before the trouble");
  record.result(broken ? "broken" : "held");
  return broken ? kBroken : kHeld;
}
