#include "testing/rig.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cranemux::testing {
namespace {

constexpr milliseconds kToStart{20'000};

}  // namespace

std::string ServicesFile::text(int port) const {
  std::string out = "name: rig\nlimits: " + limits + "\nclasses: " + classes + "\nplans: " + plans + "\n";
  if (!tier.empty()) out += "tier: " + tier + "\n";
  out += "listeners: " +
         (listeners.empty() ? "{web: {listen: \"127.0.0.1:" + std::to_string(port) + "\"}}" : listeners) +
         "\npools:\n";
  for (const auto& [name, inside] : pools) out += "  " + name + ": {" + inside + "}\n";
  out += "routes:\n";
  for (const auto& route : routes) out += "  - {" + route + "}\n";
  return out;
}

Rig::Rig(std::string binary) : binary(std::move(binary)), port(free_port()) {}

Node& Rig::node(const std::string& name) {
  auto& slot = nodes[name];
  if (!slot) slot = std::make_unique<Node>(stage, name, &rules);
  return *slot;
}

std::string Rig::filled(const std::string& text, const std::string& pool) {
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '@') {
      out += text[at];
      continue;
    }
    const auto end = std::min(text.find_first_of(",]} ", at), text.size());
    const auto name = text.substr(at + 1, end - at - 1);
    out += '"' + node(name).address() + '"';
    members[pool].push_back(name);
    at = end - 1;
  }
  return out;
}

void Rig::write() {
  auto now = file;
  members.clear();
  for (auto& [name, inside] : now.pools) inside = filled(inside, name);
  folder.write("services.yaml", now.text(port));
}

bool wait_for_listener(int port, milliseconds most, const std::function<bool()>& alive) {
  net::asio::io_context io;
  const auto end = Clock::now() + most;
  while (Clock::now() < end && (!alive || alive())) {
    net::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)}, error);
    if (!error) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

void Rig::start() {
  write();
  program =
      std::make_unique<Program>(binary,
                                std::vector<std::string>{"serve", "--config", folder.path("services.yaml"),
                                                         "--console", folder.path("console")},
                                std::map<std::string, std::string>{}, folder.path("log"));
  const auto alive = [this] { return program->alive(); };
  // Its console comes after its listener.
  if (wait_for_listener(port, kToStart, alive) &&
      stage.play_until([&] { return !alive() || !console("check").empty(); }, kToStart) && alive())
    return;
  std::ifstream in(folder.path("log"));
  throw std::runtime_error("the program does not listen: " +
                           std::string(std::istreambuf_iterator<char>(in), {}));
}

std::size_t Rig::counter(const std::string& name, const std::string& pool) {
  std::istringstream in(console("counters" + (pool.empty() ? "" : " " + pool)));
  std::string key;
  for (std::size_t value = 0; in >> key >> value;) {
    if (key == name) return value;
  }
  throw std::runtime_error("no counter " + name + ": " + console("counters " + pool));
}

void Rig::reload() {
  const auto taken_up = [this] { return counter("reloads") + counter("reloads_rejected"); };
  const auto before = taken_up();
  write();
  program->signal(SIGHUP);
  if (!stage.play_until([&] { return taken_up() > before; })) throw std::runtime_error("no reload");
}

void Rig::drained(const std::string& pool, const std::string& node, bool drained) {
  const auto address = node.empty() ? std::string() : " " + this->node(node).address();
  const auto said = console((drained ? "drain " : "undrain ") + pool + address);
  const auto now = Clock::now();
  for (const auto& [name, nodes] : members) {
    if (pool != "*" && name != pool) continue;
    for (const auto& one : nodes) {
      if (!node.empty() && one != node) continue;
      drained ? rules.drained(one, now) : rules.serves(one, now);
    }
  }
  if (said.find(drained ? "drained" : "serves") == std::string::npos)
    throw std::runtime_error("drain: " + said);
}

}  // namespace cranemux::testing
