// Long bodies while half of the workers hang: a hung worker accepts, reads the head and nothing more. A
// client's time runs from the moment when the last byte of its request is written. Each request whose last
// byte was written has to be answered within its time and half a second.
#include <algorithm>
#include <random>

#include "standins.h"

namespace {

using namespace standins;

constexpr int kWorkers = 4, kHung = 2;
constexpr int kRounds = 7;
constexpr std::size_t kMegabyte = 1'000'000;
// Bodies of many sizes: how much the system holds on the way differs from machine to machine.
constexpr std::size_t kLeast = 4 * kMegabyte, kMost = 10 * kMegabyte, kStep = kMegabyte / 4;
constexpr long kBetween = 60;                   // ms, between two requests
constexpr int kDeadline = 2000;                 // ms, of book-job
constexpr long kGrace = 500, kSlack = 50;       // ms: of the rule on lost requests, and of sockets
constexpr long kPatience = 15'000, kWork = 50;  // ms
constexpr double kBytesPerMs = 100'000;         // of a sound worker that reads a body

struct Case {
  Record& record;
  std::atomic<bool> hang{false};
  std::atomic<int> lost{0}, in_time{0}, not_whole{0}, closed{0};

  void work(int worker, Connection& connection) {
    if (hang && worker < kHung) {
      record.line("worker ", worker, ": hangs");
      while (hang) sleep_ms(20);
      return;
    }
    while (const auto request = connection.read()) {
      if (hang && worker < kHung) {
        while (hang) sleep_ms(20);
        return;
      }
      sleep_ms(kWork + static_cast<long>(static_cast<double>(request->body.size()) / kBytesPerMs));
      const auto id = request->field("req-id");
      record.line("worker ", worker, ": ran ", id, " with ", request->body.size(), " bytes");
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    }
  }

  void call(int port, const std::string& id, std::size_t size, unsigned customer) {
    Connection connection;
    if (!connection.open(port)) return;
    Request request;
    request.id = id;
    request.klass = "book-job";
    request.customer = customer;
    request.deadline_ms = kDeadline;
    auto text = request.text();
    const std::string none = "Content-Length: 0";
    text.replace(text.find(none), none.size(), "Content-Length: " + std::to_string(size));
    const auto began = now_ms();
    const bool sent = connection.send(text + std::string(size, 'x'));
    const auto written = now_ms();
    if (!sent) {  // refused or closed before its end: it was never taken
      ++not_whole;
      record.line("client: ", id, ", ", size, " bytes: closed or answered before the last byte");
      return;
    }
    const auto answer = connection.read(Clock::now() + milliseconds(kPatience));
    const auto took = now_ms() - written;
    const bool late = took > kDeadline + kGrace + kSlack;
    const auto how = answer               ? "answered with " + std::to_string(answer->status())
                     : connection.ended() ? "closed without an answer"
                                          : "not answered";
    record.line("client: ", id, ", ", size, " bytes: last byte written ", written - began,
                " ms after the first, ", how, ' ', took, " ms after the last", late ? ": LOST" : "");
    if (late)
      record.result("LOST: ", id, " with a body of ", size, " bytes was ", how, ' ', took,
                    " ms after its last byte was written; its time is ", kDeadline, " ms");
    ++(late ? lost : answer ? in_time : closed);
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_upload RECORD");
  Record record(arguments[1]);
  const Folder folder;
  Case play{record};
  std::vector<std::unique_ptr<Server>> workers;
  Site site;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Server>([&play, i](Connection& c) { play.work(i, c); }));
    site.workers.push_back(workers.back()->port());
  }
  const auto config = folder.write("config.json", site.json());
  Gatekeeper gatekeeper("", {{"ROUTER_CONFIG", config}, {"TMPDIR", folder.path()}}, folder.path() + "/log");
  if (!gatekeeper.ready(site.port)) not_run("the gatekeeper is not ready");
  play.call(site.port, "first", 100, 999);  // before the trouble
  for (int round = 0; round < kRounds && play.lost == 0; ++round) {
    if (trouble()) record.line("two of the four workers hang from now on");
    play.hang = trouble();
    std::vector<std::thread> threads;
    unsigned customer = 0;
    std::vector<std::size_t> sizes;
    for (auto size = kLeast; size <= kMost; size += kStep) sizes.push_back(size);
    std::shuffle(sizes.begin(), sizes.end(), std::mt19937(std::random_device{}()));
    for (const auto size : sizes) {
      threads.emplace_back([&play, &site, size, round, who = ++customer] {
        play.call(site.port, std::to_string(round) + "." + std::to_string(size / 1000), size, who);
      });
      sleep_ms(kBetween);
    }
    for (auto& thread : threads) thread.join();
    play.hang = false;
  }
  record.result("requests: ", play.in_time.load(), " answered in time, ", play.lost.load(), " lost, ",
                play.not_whole.load(), " ended before their last byte, ", play.closed.load(),
                " closed in time");
  if (play.in_time == 0) not_run("nothing was answered");
  record.result(play.lost > 0 ? "broken" : "held");
  return play.lost > 0 ? kBroken : kHeld;
}
