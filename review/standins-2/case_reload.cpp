// A new configuration under load, on a gatekeeper of two services with a GraphQL listener: one service has
// open subscriptions, the other a query that is being answered. SIGHUP comes after a plan's rate was changed
// in the file. The process has to live on, and each request has to get its answer.
#include <signal.h>

#include "standins.h"

namespace {

using namespace standins;

constexpr int kReloads = 6;
constexpr long kBetweenReloads = 3000, kFirstReload = 3000, kAfter = 3000;  // ms
constexpr int kSubscribers = 6, kCallers = 3;
constexpr long kEventEvery = 20;                    // ms
constexpr long kLeastWork = 300, kMostWork = 1000;  // ms, of a query
constexpr int kDeadline = 2000;                     // ms

constexpr const char* kSchema =
    "type Query { job(id: ID): Job }\ntype Subscription { moved(id: ID): Job }\ntype Job { id: ID state: "
    "String }\n";
constexpr const char* kGraphql =
    "schema: schema.graphql\nclasses: {reading: job-status, booking: book-job}\n"
    "subscriptions: {most: 100, by_customer: 5, slow_reader: 5s, keep_alive: 10s}\n";

std::string services(int port, int track, int quote, int rate) {
  const auto at = [](int to) { return "\"127.0.0.1:" + std::to_string(to) + "\""; };
  return "name: desk\nlimits: {sockets: 1024, memory_mb: 64}\n"
         "classes:\n"
         "  job-status: {aim: 1500ms, give_up: 2s, worth: 3, repeat: safe}\n"
         "  book-job: {aim: 1500ms, give_up: 2s, worth: 5, repeat: never}\n"
         "plans:\n"
         "  business: {units_per_s: " +
         std::to_string(rate) +
         ", burst: 200, price: 1.2, over_cost: 0.5}\n"
         "listeners:\n  api: {listen: " +
         at(port) +
         ", front: graphql, graphql: graphql.yaml}\n"
         "pools:\n  track: {nodes: [" +
         at(track) + "]}\n  quote: {nodes: [" + at(quote) +
         "]}\n"
         "routes:\n  - {host: track.example.org, pool: track}\n  - {host: quote.example.org, pool: quote}\n";
}

std::string post(const std::string& host, const std::string& document, const std::string& accept,
                 const std::string& customer) {
  const auto body = "{\"query\":\"" + document + "\"}";
  return "POST /graphql HTTP/1.1\r\nHost: " + host +
         "\r\nContent-Type: application/json\r\nAccept: " + accept +
         "\r\nX-Tier: business\r\nCookie: client=" + customer +
         "\r\nReq-Deadline-Ms: " + std::to_string(kDeadline) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Case {
  Record& record;
  int port;
  std::atomic<bool> ends{false};
  std::atomic<int> answered{0}, unanswered{0}, refused_connections{0}, events{0}, completed{0}, cut{0};

  // A server of GraphQL: an event every kEventEvery on a subscription, else an answer after some work.
  void serve(Connection& connection) {
    while (const auto request = connection.read()) {
      if (request->body.find("subscription") != std::string::npos) {
        record.line("server: a subscription begins");
        connection.send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; !ends; ++i) {
          const auto event =
              "event: next\ndata: {\"data\":{\"moved\":{\"id\":\"" + std::to_string(i) + "\"}}}\n\n";
          char size[16];
          std::snprintf(size, sizeof size, "%zx\r\n", event.size());
          if (!connection.send(size + event + "\r\n")) return;
          sleep_ms(kEventEvery);
        }
        return;
      }
      record.line("server: runs a query");
      sleep_ms(kLeastWork + static_cast<long>(random_fraction() * (kMostWork - kLeastWork)));
      const std::string body = "{\"data\":{\"job\":{\"id\":\"1\"}}}";
      connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  // A subscriber that begins anew when its subscription has ended.
  void subscribe(int number) {
    const auto customer = "000000000000000" + std::to_string(number);
    while (!ends) {
      Connection connection;
      if (!connection.open(port)) {
        ++refused_connections;
        sleep_ms(200);
        continue;
      }
      record.line("subscriber ", number, ": sends its subscription");
      connection.send(
          post("track.example.org", "subscription { moved(id: 1) { id } }", "text/event-stream", customer));
      std::string got;
      while (!ends && !connection.ended()) {
        got += connection.read_rest(Clock::now() + milliseconds(100));
      }
      for (auto at = got.find("event: next"); at != std::string::npos; at = got.find("event: next", at + 1))
        ++events;
      if (ends) return;
      const bool complete = got.find("event: complete") != std::string::npos;
      ++(complete ? completed : cut);
      record.line("subscriber ", number, ": ended ", complete ? "with complete" : "without complete");
      sleep_ms(100);
    }
  }

  void call(int number) {
    const auto customer = "000000000000001" + std::to_string(number);
    for (int i = 0; !ends; ++i) {
      Connection connection;
      if (!connection.open(port)) {
        ++refused_connections;
        sleep_ms(200);
        continue;
      }
      const auto id = std::to_string(number) + "." + std::to_string(i);
      record.line("caller: query ", id, " sent");
      connection.send(post("quote.example.org", "{ job(id: 1) { id } }", "application/json", customer));
      const auto answer = connection.read(Clock::now() + milliseconds(kDeadline + 1000));
      ++(answer ? answered : unanswered);
      record.line("caller: query ", id,
                  answer ? " answered with " + std::to_string(answer->status())
                         : std::string(connection.ended() ? " has no answer: the connection has ended"
                                                          : " has no answer"));
      sleep_ms(50);
    }
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_reload RECORD");
  Record record(arguments[1]);
  const Folder folder;
  Case play{record, free_port()};
  const auto serve = [&play](Connection& connection) { play.serve(connection); };
  Server track(serve), quote(serve);
  folder.write("schema.graphql", kSchema);
  folder.write("graphql.yaml", kGraphql);
  int rate = 200;
  const auto file = folder.write("services.yaml", services(play.port, track.port(), quote.port(), rate));
  Gatekeeper gatekeeper("--config " + file, {{"TMPDIR", folder.path()}}, folder.path() + "/log");
  if (!gatekeeper.ready(play.port)) not_run("the gatekeeper is not ready");
  std::vector<std::thread> threads;
  for (int i = 1; i <= kSubscribers; ++i) threads.emplace_back([&play, i] { play.subscribe(i); });
  for (int i = 1; i <= kCallers; ++i) threads.emplace_back([&play, i] { play.call(i); });
  sleep_ms(kFirstReload);
  bool crashed = false;
  for (int i = 0; i < kReloads && !crashed; ++i) {
    if (trouble()) {
      folder.write("services.yaml", services(play.port, track.port(), quote.port(), ++rate));
      record.line("platform: units_per_s of the plan is ", rate, " in the file; SIGHUP");
      gatekeeper.signal(SIGHUP);
    }
    for (const auto end = Clock::now() + milliseconds(kBetweenReloads); Clock::now() < end && !crashed;) {
      sleep_ms(10);
      crashed = !gatekeeper.runs();
    }
  }
  if (crashed) record.result("the gatekeeper has ended ", gatekeeper.ended());
  sleep_ms(crashed ? kAfter / 3 : kAfter);
  play.ends = true;
  for (auto& thread : threads) thread.join();
  std::ifstream log(folder.path() + "/log");
  for (std::string line; std::getline(log, line);) record.line("log: ", line);
  record.result("queries: ", play.answered.load(), " answered, ", play.unanswered.load(),
                " not; connections refused: ", play.refused_connections.load(),
                "; subscriptions: ", play.events.load(), " events, ", play.completed.load(),
                " ended with complete, ", play.cut.load(), " without");
  if (!crashed && (play.answered == 0 || play.events == 0)) not_run("nothing was served");
  record.result(crashed ? "broken" : "held");
  return crashed ? kBroken : kHeld;
}
