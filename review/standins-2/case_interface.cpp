// GraphQL with a schema in which a booking is asked for through an interface. Servers run each query that
// comes whole; some connections are reset under a request that has been run. A query that contains a booking
// has to run once at most.
#include <set>

#include "standins.h"

namespace {

using namespace standins;

constexpr int kServers = 2, kClients = 4;
constexpr long kRun = 15'000, kWork = 60, kThink = 150;  // ms
constexpr double kResets = 0.1;                          // share of the queries that have run
constexpr int kDeadline = 2000;                          // ms

// Both types that an offer may be say that accepting it is a booking.
constexpr const char* kSchema = R"(type Query { offer(id: ID!): Offer }
type Mutation { bookPickup(id: ID!): Pickup }
interface Offer { id: ID! price: Float accept(at: String): Pickup }
type Express implements Offer { id: ID! price: Float accept(at: String): Pickup @booking }
type Standard implements Offer { id: ID! price: Float accept(at: String): Pickup @booking }
type Pickup { id: ID! state: String }
)";

std::string graphql(int port, const std::vector<int>& servers) {
  std::string out = "listen: \"127.0.0.1:" + std::to_string(port) + "\"\nservers: [";
  for (std::size_t i = 0; i < servers.size(); ++i)
    out += (i > 0 ? ", " : "") + ("\"127.0.0.1:" + std::to_string(servers[i])) + '"';
  return out + "]\nclasses: {reading: job-status, booking: book-job}\nschema: schema.graphql\n";
}

struct Case {
  Record& record;
  std::atomic<bool> ends{false};
  std::atomic<int> answered{0}, failed{0}, refused{0}, unanswered{0}, resets{0};
  std::mutex mutex;
  std::map<std::string, int> runs;  // how often the offer with that id was accepted

  void serve(int server, Connection& connection) {
    while (const auto request = connection.read()) {
      constexpr std::string_view kBefore = "offer(id: \\\"";
      const auto at = request->body.find(kBefore);
      if (at == std::string::npos) return;
      const auto begin = at + kBefore.size();
      const auto id = request->body.substr(begin, request->body.find('\\', begin) - begin);
      sleep_ms(kWork);
      int times = 0;
      {
        const std::lock_guard hold(mutex);
        times = ++runs[id];
      }
      record.line("server ", server, ": accepts offer ", id, ", Req-Kind ", request->field("req-kind"),
                  times > 1 ? ", FOR THE SECOND TIME" : "");
      if (trouble() && random_fraction() < kResets) {
        ++resets;
        record.line("network: the connection is reset under the request for ", id);
        return connection.reset();
      }
      const auto body =
          "{\"data\":{\"offer\":{\"price\":9.5,\"accept\":{\"id\":\"p" + id + "\",\"state\":\"ASKED\"}}}}";
      connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  // Sends each query once.
  void call(int port, int number) {
    Connection connection;
    for (int i = 0; !ends; ++i) {
      if (!connection.is_open() && !connection.open(port)) continue;
      const auto id = std::to_string(number) + "-" + std::to_string(i);
      const auto body = "{\"query\":\"{ offer(id: \\\"" + id +
                        "\\\") { price accept(at: \\\"17:00\\\") { id state } } }\"}";
      record.line("client: sends the query that accepts offer ", id);
      connection.send(
          "POST /graphql HTTP/1.1\r\nHost: app.svc\r\nContent-Type: application/json\r\nAccept: "
          "application/json\r\nX-Tier: citywide\r\nCookie: client=000000000000000" +
          std::to_string(number) +
          "\r\nX-Call-Terms: spread=1,first=0\r\nReq-Deadline-Ms: " + std::to_string(kDeadline) +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      const auto answer = connection.read(Clock::now() + milliseconds(kDeadline + 500));
      if (!answer) {
        ++unanswered;
        connection.close();
        continue;
      }
      const auto status = answer->status();
      ++(status == 200 ? answered : status == 429 ? refused : failed);
      record.line("client: offer ", id, " answered with ", status, ' ', answer->body);
      sleep_ms(kThink);
    }
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_interface RECORD");
  Record record(arguments[1]);
  const Folder folder;
  Case play{record};
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<int> ports;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>([&play, i](Connection& c) { play.serve(i, c); }));
    ports.push_back(servers.back()->port());
  }
  Site site;
  folder.write("schema.graphql", kSchema);
  const auto file = folder.write("graphql.yaml", graphql(site.port, ports));
  const auto config = folder.write("config.json", site.json());
  Gatekeeper gatekeeper("--graphql " + file, {{"ROUTER_CONFIG", config}, {"TMPDIR", folder.path()}},
                        folder.path() + "/log");
  if (!gatekeeper.ready(site.port)) not_run("the gatekeeper is not ready");
  std::vector<std::thread> threads;
  for (int i = 1; i <= kClients; ++i) threads.emplace_back([&play, &site, i] { play.call(site.port, i); });
  sleep_ms(kRun);
  play.ends = true;
  for (auto& thread : threads) thread.join();
  int twice = 0;
  for (const auto& [id, times] : play.runs) {
    if (times < 2) continue;
    ++twice;
    record.result("offer ", id, " was accepted ", times, " times for one query");
  }
  record.result("queries: ", play.answered.load(), " answered, ", play.failed.load(), " failed, ",
                play.refused.load(), " refused, ", play.unanswered.load(), " without an answer; ",
                play.resets.load(), " connections reset; ", twice, " bookings that ran more than once");
  if (play.answered == 0) not_run("nothing was answered");
  record.result(twice > 0 ? "broken" : "held");
  return twice > 0 ? kBroken : kHeld;
}
