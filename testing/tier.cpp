#include "testing/tier.h"

#include <stdexcept>

#include "json/json.h"

namespace cranemux::testing {

Tier::Tier(std::string binary, int gatekeepers, std::uint64_t seed)
    : random(seed), binary_(std::move(binary)) {
  std::vector<int> ports;
  for (int i = 0; i < gatekeepers; ++i) {
    Gatekeeper one;
    one.port = free_port();
    one.mail_port = free_port();
    ports.push_back(one.mail_port);
    gatekeepers_.push_back(std::move(one));
  }
  relay = std::make_unique<Relay>(stage, ports, seed + 1);
  for (const auto* name : {"one", "two"}) nodes.push_back(std::make_unique<Node>(stage, name, &rules));
}

Sender& Tier::sender(double rate, double burst, double asks) {
  auto made = std::make_unique<Sender>();
  made->name = "00000000000000" + std::to_string(10 + senders.size());
  made->rate = rate;
  made->burst = burst;
  made->asks = asks;
  made->owed = static_cast<double>(random() % 1000) / 1000;
  senders.push_back(std::move(made));
  return *senders.back();
}

std::string Tier::file_of(int gatekeeper) const {
  const auto& me = gatekeepers_[static_cast<std::size_t>(gatekeeper)];
  std::string out = "name: n" + std::to_string(gatekeeper) + "\nlimits: {sockets: 1024, memory_mb: 64}\n";
  const auto in_ms = [](milliseconds time) { return std::to_string(time.count()) + "ms"; };
  out += "classes: {job-status: {aim: 500ms, give_up: " + in_ms(safe_deadline) +
         ", worth: 3, repeat: safe}, book-job: {aim: 700ms, give_up: " + in_ms(unsafe_deadline) +
         ", worth: 5, repeat: never}}\nplans:\n";
  for (const auto& s : senders) {
    out += "  " + s->plan() + ": {units_per_s: " + std::to_string(s->rate) +
           ", burst: " + std::to_string(s->burst) + "}\n";
  }
  out += "tier: {index: " + std::to_string(gatekeeper) +
         ", listen: \"127.0.0.1:" + std::to_string(me.mail_port) +
         "\", messages_per_s: " + std::to_string(messages_per_s) + ", quotas: " + quotas + more +
         ", peers: [";
  for (const auto& peer : relay->peers_of(gatekeeper)) out += "\"" + peer + "\", ";
  out += "]}\nlisteners: {web: {listen: \"127.0.0.1:" + std::to_string(me.port) + "\"" +
         (graphql ? ", front: graphql, graphql: costs.json" : "") + "}}\npools: {all: {nodes: [";
  for (const auto& node : nodes) {
    if (!unlisted.contains(node->name())) out += "\"" + node->address() + "\", ";
  }
  return out + "]}}\nroutes: [{pool: all}]\n";
}

// Each operation costs one unit, and carries its request's id to the node.
void Tier::speak_graphql() {
  folder.write("costs.json", R"({"schema": "schema.graphql"})");
  folder.write("schema.graphql",
               "type Query { status(id: ID): Job } type Mutation { book(id: ID): Job } type Job { id: ID }");
  for (const auto& node : nodes) {
    node->id = [](const http::Message& message) {
      const auto body = json::parse(message.body);
      return *body.find("variables")->find("try")->string();
    };
    node->body = [](const http::Message& message) {
      const bool books = message.body.find("mutation") != std::string::npos;
      return std::string(R"({"data":{")") + (books ? "book" : "status") + R"(":{"id":1}}})";
    };
  }
}

void Tier::start(int gatekeeper) {
  auto& one = at(gatekeeper);
  const auto name = "services" + std::to_string(gatekeeper) + ".yaml";
  write_file(gatekeeper, false);
  one.program = std::make_unique<Program>(binary_,
                                          std::vector<std::string>{"serve", "--config", folder.path(name),
                                                                   "--console", path(gatekeeper, "console")},
                                          std::map<std::string, std::string>{}, path_of_log(gatekeeper));
  if (!one.client)
    one.client = std::make_unique<Client>(stage, one.port, &rules, "g" + std::to_string(gatekeeper) + "-");
}

void Tier::start() {
  if (graphql) speak_graphql();
  for (int i = 0; i < static_cast<int>(gatekeepers_.size()); ++i) start(i);
  for (int i = 0; i < static_cast<int>(gatekeepers_.size()); ++i) {
    if (wait_for_listener(at(i).port, milliseconds(20'000), [&] { return alive(i); })) continue;
    std::string out;
    run("/bin/cat", {path(i, "log")}, out);
    throw std::runtime_error("a gatekeeper does not listen: " + out);
  }
}

void Tier::write_file(int gatekeeper, bool faulty) {
  folder.write("services" + std::to_string(gatekeeper) + ".yaml",
               faulty ? "classes: {nothing" : file_of(gatekeeper));
}

void Tier::crowd(int gatekeeper, int connections) {
  auto& crowd = at(gatekeeper).crowd;
  crowd.clear();
  const net::tcp::endpoint to(net::asio::ip::make_address("127.0.0.1"),
                              static_cast<std::uint16_t>(at(gatekeeper).port));
  for (int i = 0; i < connections; ++i) {
    crowd.emplace_back(stage.io());
    boost::system::error_code error;
    crowd.back().connect(to, error);
    if (error) crowd.pop_back();
  }
}

bool Tier::listens(int gatekeeper) {
  net::tcp::socket socket(stage.io());
  boost::system::error_code error;
  socket.connect({net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(at(gatekeeper).port)},
                 error);
  return !error;
}

void Tier::kill(int gatekeeper) { at(gatekeeper).program.reset(); }

bool Tier::takes(int gatekeeper) {
  if (absent.contains(gatekeeper) || !alive(gatekeeper)) return false;
  return !leaving.contains(gatekeeper) || at(gatekeeper).client->idle_connections() > 0;
}

Ask Tier::make_ask(const Sender& sender) {
  constexpr std::size_t kPiece = 24;  // bytes
  Ask ask;
  ask.plan = sender.plan();
  ask.customer = sender.name;
  ask.safe = random() % 4 != 0;
  ask.klass = ask.safe ? "job-status" : "book-job";
  ask.units = 1;
  ask.deadline = ask.safe ? safe_deadline : unsafe_deadline;
  if (leave > 0 && draw() < leave) ask.leaves_after = milliseconds(1 + random() % 400);
  if (in_pieces > 0 && draw() < in_pieces) ask.piece = kPiece;
  ask.done = [this, ask](const Result& result) {
    if (answered) answered(ask, result);
    served += result.status == 200;
    refused += result.status == 429 || result.status == 503;
    failed += result.status != 200 && result.status != 429 && result.status != 503;
  };
  return ask;
}

void Tier::ask(Sender& sender) {
  auto ask = make_ask(sender);
  const auto size = gatekeepers_.size();
  auto to = sender.to ? static_cast<std::size_t>(sender.to()) : random() % size;
  // Who finds a gatekeeper gone goes to the next.
  for (std::size_t i = 0; i < size && !takes(static_cast<int>(to)); ++i) to = (to + 1) % size;
  if (!takes(static_cast<int>(to))) return;
  ++asked;
  if (graphql) {
    ask.id = "g" + std::to_string(to) + "-" + std::to_string(asked);
    ask.target = "/graphql";
    ask.body = std::string(R"({"query":")") + (ask.safe ? "query" : "mutation") + " { " +
               (ask.safe ? "status" : "book") + R"((id:1) { id } }","variables":{"try":")" + ask.id + "\"}}";
    ask.extra = "Content-Type: application/json\r\n";
    ask.posts = true;
  }
  gatekeepers_[to].client->send(ask);
}

void Tier::play(milliseconds time, const std::function<void(milliseconds)>& step) {
  constexpr milliseconds kStep{10};
  const auto from = Clock::now();
  auto last = from;
  while (Clock::now() < from + time) {
    stage.play(kStep);
    const auto now = Clock::now();
    const double seconds = std::chrono::duration<double>(now - last).count();
    last = now;
    if (step) step(std::chrono::duration_cast<milliseconds>(now - from));
    for (auto& sender : senders) {
      // What a busy machine could not ask in time is not asked at once after it.
      sender->owed = std::min(sender->owed + sender->asks * seconds, 3 + sender->asks * 0.05);
      for (; sender->owed >= 1; sender->owed -= 1) ask(*sender);
    }
  }
}

void Tier::finish() {
  stage.play_until(
      [&] {
        for (const auto& one : gatekeepers_) {
          if (one.client->open() > 0) return false;
        }
        return true;
      },
      milliseconds(5000));
}

}  // namespace cranemux::testing
