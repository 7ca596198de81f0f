#include "testing/tier.h"

#include <stdexcept>

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
  out +=
      "classes: {job-status: {aim: 500ms, give_up: 1500ms, worth: 3, repeat: safe}, "
      "book-job: {aim: 700ms, give_up: 2s, worth: 5, repeat: never}}\nplans:\n";
  for (const auto& s : senders) {
    out += "  " + s->plan() + ": {units_per_s: " + std::to_string(s->rate) +
           ", burst: " + std::to_string(s->burst) + "}\n";
  }
  out += "tier: {index: " + std::to_string(gatekeeper) +
         ", listen: \"127.0.0.1:" + std::to_string(me.mail_port) +
         "\", messages_per_s: " + std::to_string(messages_per_s) + ", quotas: " + quotas + more +
         ", peers: [";
  for (const auto& peer : relay->peers_of(gatekeeper)) out += "\"" + peer + "\", ";
  out +=
      "]}\nlisteners: {web: {listen: \"127.0.0.1:" + std::to_string(me.port) + "\"}}\npools: {all: {nodes: [";
  for (const auto& node : nodes) out += "\"" + node->address() + "\", ";
  return out + "]}}\nroutes: [{pool: all}]\n";
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

void Tier::ask(Sender& sender) {
  Ask ask;
  ask.plan = sender.plan();
  ask.customer = sender.name;
  ask.safe = random() % 4 != 0;
  ask.klass = ask.safe ? "job-status" : "book-job";
  ask.units = 1;
  ask.deadline = milliseconds(ask.safe ? 1500 : 2000);
  const auto size = gatekeepers_.size();
  ask.extra = "";
  ask.done = [this, ask](const Result& result) {
    if (answered) answered(ask, result);
    served += result.status == 200;
    refused += result.status == 429 || result.status == 503;
    failed += result.status != 200 && result.status != 429 && result.status != 503;
  };
  auto to = sender.to ? static_cast<std::size_t>(sender.to()) : random() % size;
  // Who finds a gatekeeper gone goes to the next.
  for (std::size_t i = 0; i < size && !takes(static_cast<int>(to)); ++i) to = (to + 1) % size;
  if (!takes(static_cast<int>(to))) return;
  ++asked;
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
