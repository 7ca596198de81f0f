// Spoilt answers whose length does not fit: the head tells fewer bytes than the worker sends. Each client has
// to get the whole answer that a worker made for its request, or none that looks whole.
#include <cmath>

#include "standins.h"

namespace {

using namespace standins;

constexpr int kWorkers = 4, kClients = 8;
constexpr long kRun = 15'000;                       // ms
constexpr double kSpoilt = 0.05;                    // share of the answers
constexpr double kThink = 60;                       // ms, mean time of a client between two requests
constexpr double kStatusWork = 40, kBookWork = 90;  // ms, mean, within the ranges of the brief
constexpr double kBookings = 0.23;                  // share of the requests
constexpr int kRows = 20;                           // of an answer

double exponential(double mean) { return -mean * std::log(1 - random_fraction()); }

// The answer to that request, as a worker makes it.
std::string made_for(const std::string& id) {
  std::string out;
  for (int row = 1; row <= kRows; ++row)
    out += "row " + std::to_string(row) + " of the answer to " + id + "\n";
  return out;
}

struct Case {
  Record& record;
  std::atomic<bool> ends{false};
  std::atomic<int> served{0}, refused{0}, failed{0}, closed{0}, wrong{0}, spoilt{0};

  // The connection of a spoilt answer stays open and is of no further use.
  void work(Connection& connection) {
    while (const auto request = connection.read()) {
      const bool books = request->field("req-kind") == "book-job";
      sleep_ms(static_cast<long>(exponential(books ? kBookWork : kStatusWork)));
      const auto id = request->field("req-id"), body = made_for(id);
      const bool spoil = trouble() && random_fraction() < kSpoilt;
      const auto told = spoil ? body.size() / 2 : body.size();
      if (spoil) ++spoilt;
      record.line("worker: ran ", id, ", its answer has ", body.size(), " bytes and tells ", told);
      connection.send("HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight=1\r\nContent-Length: " +
                      std::to_string(told) + "\r\n\r\n" + body);
      if (!spoil) continue;
      connection.read_rest(Clock::now() + milliseconds(kRun));
      return;
    }
  }

  void call(int port, unsigned customer) {
    Connection connection;
    for (int i = 0; !ends; ++i) {
      sleep_ms(static_cast<long>(exponential(kThink)));
      if (!connection.is_open() && !connection.open(port)) continue;
      Request request;
      request.id = std::to_string(customer) + "." + std::to_string(i);
      if (random_fraction() < kBookings) request.klass = "book-job", request.deadline_ms = 2000;
      request.customer = customer;
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
      const auto whole = made_for(request.id);
      record.line("client: ", request.id, " answered with ", status, ", ", answer->body.size(), " bytes");
      if (status == 200 && answer->body != whole) {
        ++wrong;
        record.result("WRONG: ", request.id, ' ', request.klass, " got 200 with ", answer->body.size(),
                      " of the ", whole.size(), " bytes of its answer");
      }
      if (answer->field("connection") == "close") connection.close();
    }
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_short RECORD");
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
  std::vector<std::thread> threads;
  for (unsigned i = 1; i <= kClients; ++i)
    threads.emplace_back([&play, &site, i] { play.call(site.port, i); });
  sleep_ms(kRun);
  play.ends = true;
  for (auto& thread : threads) thread.join();
  record.result("requests: ", play.served.load(), " served, ", play.refused.load(), " refused, ",
                play.failed.load(), " failed, ", play.closed.load(), " closed; ", play.spoilt.load(),
                " spoilt answers; ", play.wrong.load(), " wrong bodies under 200");
  if (play.served == 0) not_run("nothing was served");
  record.result(play.wrong > 0 ? "broken" : "held");
  return play.wrong > 0 ? kBroken : kHeld;
}
