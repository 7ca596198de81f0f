// How the real program grows: one gatekeeper on loopback, with more and more workers, gatekeepers, customers,
// services, routes, and longer lists. Its peers are never there: their mail goes to a socket that nobody
// reads; once it knows that nobody is heard, its even share of the plans is wide enough for all. Clients,
// nodes and discovery are stand-ins of ours in one thread; processor time is the program's alone. Each run
// plays its first size again at its end: by how much that differs is the machine's noise. Usage:
// scale_program CRANEMUX_BINARY COMMIT OUT.csv [--small]
#include <dirent.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "scale/process_fleet.h"
#include "scale/results.h"
#include "scale/scenario.h"
#include "testing/discovery.h"
#include "testing/rig.h"

namespace {

using namespace cranemux::testing;
using cranemux::scale::Row;
namespace asio = cranemux::net::asio;

constexpr double kPerS = 277;       // RPCs, of one gatekeeper of the site to design for
constexpr double kFastPerS = 1000;  // where only memory is looked at
constexpr milliseconds kWork{5};    // of a node: so short that 8 of them have room for all
constexpr const char* kLimits = "{sockets: 1024, memory_mb: 192}";  // as the platform's form has them unsaid
constexpr int kRepeats = 5;                                         // of what takes milliseconds
constexpr milliseconds kPatience{10'000};

struct Times {
  milliseconds settle{1000}, idle{3000}, warm{4000}, load{5000}, list{300};  // warm: silence is known by then
};

struct Size {
  int gatekeepers = 30, workers = 200, services = 1, customers = 1000, routes = 0;
  double per_s = kPerS;
};

struct Figure {
  std::string measure, unit;
  double value = 0;
};
using Figures = std::vector<Figure>;

double ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

double middle(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// Of all its threads, also those that have ended, to the nanosecond.
double processor_s(const Program& program) {
  clockid_t clock{};
  timespec at{};
  if (::clock_getcpuclockid(program.pid(), &clock) != 0 || ::clock_gettime(clock, &at) != 0)
    throw std::runtime_error("the program has ended");
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

double descriptors(const Program& program) {
  double count = 0;
  DIR* folder = ::opendir(("/proc/" + std::to_string(program.pid()) + "/fd").c_str());
  while (folder && ::readdir(folder)) ++count;
  if (folder) ::closedir(folder);
  return std::max(0.0, count - 2);
}

// ---- one gatekeeper with its stand-ins -------------------------------------------------------------

class Stood {
 public:
  explicit Stood(int stand_ins)
      : mail_port(free_port()),
        port(free_port()),
        nobody_(stage.io(), {asio::ip::address_v4::loopback(), 0}) {
    for (int i = 0; i < stand_ins; ++i) {
      nodes.push_back(std::make_unique<Node>(stage, "node" + std::to_string(i)));
      nodes.back()->behaviour.delay = kWork;
    }
  }

  // Returns after how many milliseconds it accepted a connection.
  double start(const std::string& binary, std::vector<std::string> arguments,
               const std::map<std::string, std::string>& environment) {
    arguments.insert(arguments.end(), {"--console", folder.path("console")});
    const auto begun = Clock::now();
    program = std::make_unique<Program>(binary, arguments, environment, folder.path("log"));
    for (;;) {
      asio::io_context io;
      cranemux::net::tcp::socket socket(io);
      boost::system::error_code error;
      socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
      if (!error) return ms(Clock::now() - begun);
      if (!program->alive() || Clock::now() > begun + kPatience)
        throw std::runtime_error("the program does not listen: " + log());
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  double start_platform(const std::string& binary, const std::string& config) {
    return start(binary, {"serve"}, {{"ROUTER_CONFIG", folder.write("config.json", config)}});
  }

  std::string log() const {
    std::ifstream in(folder.path("log"));
    return {std::istreambuf_iterator<char>(in), {}};
  }
  int nobody() const { return nobody_.local_endpoint().port(); }
  double memory_kb() const { return static_cast<double>(program->resident_kb()); }

  // Its share of a processor, in percent, while nobody asks for anything.
  double idle_percent(milliseconds time) {
    const auto begun = Clock::now();
    const double before = processor_s(*program);
    stage.play(time);
    return 100 * (processor_s(*program) - before) * 1000 / ms(Clock::now() - begun);
  }

  Stage stage;
  Folder folder;
  const int mail_port, port;
  std::vector<std::unique_ptr<Node>> nodes;
  std::unique_ptr<Program> program;

 private:
  cranemux::net::udp::socket nobody_;  // whose mail is never read
};

std::string here(int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; }

std::string customer(std::size_t i) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(i * 2654435761U & 0xffffffffU));
  return text;
}

std::string workers(const Stood& stood, int count) {
  std::string out;
  for (int i = 0; i < count; ++i) {
    const auto& node = *stood.nodes[static_cast<std::size_t>(i) % stood.nodes.size()];
    out += (i > 0 ? "," : "") + cranemux::scale::platform_node("s" + std::to_string(i), node.port(), "z0");
  }
  return out;
}

std::string platform_config(const Stood& stood, const Size& size, int discovery) {
  cranemux::scale::Scenario scenario;
  scenario.gatekeepers = size.gatekeepers;
  auto settings = scenario.settings();
  cranemux::PlanSettings plan;
  plan.name = "wide";
  plan.rate = 2.0 * size.gatekeepers;
  plan.burst = 20.0 * size.gatekeepers;
  settings.plans.push_back(plan);
  std::string config = "{\"name\":\"n0\",\"listen\":" + here(stood.port) +
                       ",\"discovery\":" + here(discovery) + ",\"peer_listen\":" + here(stood.mail_port) +
                       ",\"peers\":[" + here(stood.mail_port);
  for (int i = 1; i < size.gatekeepers; ++i) config += "," + here(stood.nobody());
  return config + "],\"seed\":\"5\",\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[" +
         workers(stood, size.workers) + "]},\"settings\":" + cranemux::scale::platform_settings(settings) +
         "}";
}

Ask ask_of(const Size& size, std::size_t i) {
  Ask ask;
  ask.klass = "look";
  ask.plan = "wide";
  ask.customer = customer(i % static_cast<std::size_t>(size.customers));
  ask.spread = size.gatekeepers;
  return ask;
}

// Processor time of the whole program by RPC at an even pace, and what became of the RPCs.
Figures under_load(Stood& stood, const Size& size, const Times& times,
                   const std::function<Ask(std::size_t)>& make) {
  Client client(stood.stage, stood.port);
  client.pace(size.per_s, times.warm, make);
  const auto warm = client.results().size();
  const double before = processor_s(*stood.program);
  double most = 0;
  std::size_t sent = 0;
  client.pace(size.per_s, times.load, [&](std::size_t i) {
    if (++sent % 50 == 0) most = std::max(most, descriptors(*stood.program));
    return make(i + 7919);
  });
  const double used = processor_s(*stood.program) - before;
  if (!client.finish()) throw std::runtime_error("RPCs were not answered");
  const auto& results = client.results();
  const auto served = std::count_if(results.begin() + static_cast<std::ptrdiff_t>(warm), results.end(),
                                    [](const auto& r) { return r.status == 200; });
  return {
      {"rpc_processor", "us", used * 1e6 / static_cast<double>(sent)},
      {"memory_after", "KB", stood.memory_kb()},
      {"served", "percent", 100.0 * static_cast<double>(served) / static_cast<double>(results.size() - warm)},
      {"descriptors_load", "descriptors", most}};
}

// ---- the runs ------------------------------------------------------------------------------------

class Slopes {
 public:
  Slopes(std::string binary, std::string commit, bool small)
      : binary_(std::move(binary)), commit_(std::move(commit)), small_(small) {
    if (small_)
      times_ = {milliseconds(300), milliseconds(500), milliseconds(3500), milliseconds(1000),
                milliseconds(150)};
  }

  bool play() {
    using Play = Figures (Slopes::*)(const Size&);
    const auto over = [this](int Size::*what, std::vector<int> values, Size size = {}) {
      if (small_) values.resize(std::min<std::size_t>(values.size(), 2));
      std::vector<Size> sizes;
      for (const int value : values) {
        size.*what = value;
        sizes.push_back(size);
      }
      return sizes;
    };
    // Routes go with the services: 2,100 with 120.
    auto services = over(&Size::services, {1, 10, 40, 120});
    for (auto& size : services) {
      size.workers = 10 * size.services;
      size.routes = std::max(120, size.services * 35 / 2);
    }
    Size alone;
    alone.gatekeepers = 1;
    alone.workers = 1;
    alone.per_s = 0;
    Size fast;
    fast.per_s = kFastPerS;
    Size quiet;
    quiet.per_s = 0;
    const std::tuple<const char*, std::vector<Size>, Play> runs[] = {
        {"program_workers", over(&Size::workers, {8, 200, 1000, 2000, 4000, 6000}), &Slopes::rpcs},
        {"program_gatekeepers", over(&Size::gatekeepers, {3, 30, 120, 240, 470}), &Slopes::rpcs},
        {"program_customers", over(&Size::customers, {100, 1000, 5000, 19'000}, fast), &Slopes::customers},
        {"program_services", std::move(services), &Slopes::services},
        {"program_routes", over(&Size::routes, {10, 500, 1000, 2100}, alone), &Slopes::routes},
        {"program_list", over(&Size::workers, {60, 600, 2000, 4000}, quiet), &Slopes::list}};
    bool whole = true;
    for (const auto& [name, sizes, play] : runs) {
      try {
        run(name, sizes, play);
      } catch (const std::exception& error) {
        whole = false;
        std::fprintf(stderr, "%s: %s\n", name, error.what());
      }
    }
    return whole;
  }

  const std::vector<Row>& rows() const { return rows_; }

 private:
  void run(const std::string& name, const std::vector<Size>& sizes, Figures (Slopes::*play)(const Size&)) {
    Figures first;
    for (const auto& size : sizes) {
      const auto figures = (this->*play)(size);
      if (first.empty()) first = figures;
      for (const auto& figure : figures) add(name, size, figure);
    }
    const auto again = (this->*play)(sizes.front());
    for (std::size_t i = 0; i < first.size(); ++i) {
      if (first[i].value == 0) continue;
      const double apart = 100 * std::abs(again[i].value - first[i].value) / std::abs(first[i].value);
      if (i == 0) add(name, sizes.front(), {"noise", "percent", apart});  // of what the run is most about
      add(name, sizes.front(), {"noise_" + first[i].measure, "percent", apart});
    }
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    add(name, sizes.front(), {"load", "processes", load});
  }

  void add(const std::string& name, const Size& size, const Figure& figure) {
    rows_.push_back({commit_, 5, "process", name, static_cast<double>(size.gatekeepers),
                     static_cast<double>(size.workers), static_cast<double>(size.services),
                     static_cast<double>(size.customers), static_cast<double>(size.routes), size.per_s,
                     figure.measure, figure.unit, figure.value});
    std::printf("%s\n", cranemux::scale::line_of(rows_.back()).c_str());
    std::fflush(stdout);
  }

  Figures rpcs(const Size& size) {
    Stood stood(8);
    Discovery discovery(stood.stage);
    discovery.raw(Discovery::head(), Discovery::Then::stay);
    const double ready = stood.start_platform(binary_, platform_config(stood, size, discovery.port()));
    stood.stage.play(times_.settle);
    const double memory = stood.memory_kb(), open = descriptors(*stood.program);
    const double idle = stood.idle_percent(times_.idle);
    auto figures = under_load(stood, size, times_, [&](std::size_t i) { return ask_of(size, i); });
    figures.insert(figures.end(), {{"memory_idle", "KB", memory},
                                   {"idle_processor", "percent", idle},
                                   {"ready", "ms", ready},
                                   {"descriptors_idle", "descriptors", open}});
    return figures;
  }

  // All sizes first have the same RPCs of 50 customers, so that what else an RPC leaves is there; then one
  // each.
  Figures customers(const Size& size) {
    Stood stood(8);
    Discovery discovery(stood.stage);
    discovery.raw(Discovery::head(), Discovery::Then::stay);
    stood.start_platform(binary_, platform_config(stood, size, discovery.port()));
    stood.stage.play(times_.settle);
    Client client(stood.stage, stood.port);
    client.pace(size.per_s, milliseconds(1000), [&](std::size_t i) { return ask_of(size, i % 50); });
    client.finish();
    const double before = stood.memory_kb();
    client.pace(size.per_s, milliseconds(std::llround(1000 * size.customers / size.per_s)),
                [&](std::size_t i) { return ask_of(size, i); });
    if (!client.finish()) throw std::runtime_error("RPCs were not answered");
    return {{"memory_after", "KB", stood.memory_kb()},
            {"memory_before", "KB", before},
            {"served", "percent",
             100.0 * static_cast<double>(client.count(200)) / static_cast<double>(client.results().size())}};
  }

  static std::string services_text(const Stood& stood, const Size& size, int routes) {
    ServicesFile file;
    file.limits = kLimits;
    file.classes =
        "{look: {aim: 400ms, give_up: 1500ms, worth: 3, repeat: safe}, "
        "book: {aim: 750ms, give_up: 2s, worth: 5, repeat: never}}";
    file.plans = "{wide: {units_per_s: " + std::to_string(2 * size.gatekeepers) +
                 ", burst: " + std::to_string(20 * size.gatekeepers) + "}}";
    if (size.gatekeepers > 1) {
      file.tier = "{index: 0, listen: " + here(stood.mail_port) +
                  ", messages_per_s: 40, quotas: trusting, peers: [" + here(stood.mail_port);
      for (int i = 1; i < size.gatekeepers; ++i) file.tier += ", " + here(stood.nobody());
      file.tier += "]}";
    }
    std::string nodes;
    for (const auto& node : stood.nodes) nodes += (nodes.empty() ? "" : ", ") + here(node->port());
    for (int i = 0; i < size.services; ++i) file.pools["pool" + std::to_string(i)] = "nodes: [" + nodes + "]";
    for (int i = 0; i < routes; ++i) {
      file.routes.push_back("host: s" + std::to_string(i) + ".example.org, path: /api, pool: pool" +
                            std::to_string(i % size.services));
    }
    return file.text(stood.port);
  }

  Figures services(const Size& size) {
    Stood stood(10);
    const auto file = stood.folder.write("services.yaml", services_text(stood, size, size.routes));
    const double ready = stood.start(binary_, {"serve", "--config", file}, {});
    stood.stage.play(times_.settle);
    const double memory = stood.memory_kb();
    const double idle = stood.idle_percent(times_.idle);
    auto figures = under_load(stood, size, times_, [&](std::size_t i) {
      auto ask = ask_of(size, i);
      ask.host = "s" + std::to_string(i * 7919 % static_cast<std::size_t>(size.routes)) + ".example.org";
      return ask;
    });
    figures.insert(
        figures.end(),
        {{"memory_idle", "KB", memory}, {"idle_processor", "percent", idle}, {"ready", "ms", ready}});
    return figures;
  }

  // Each reload brings one route more; the log tells when the new file is in force, at no cost to the
  // program.
  Figures routes(const Size& size) {
    Stood stood(1);
    const auto file = stood.folder.write("services.yaml", services_text(stood, size, size.routes));
    const double ready = stood.start(binary_, {"serve", "--config", file}, {});
    stood.stage.play(times_.settle);
    const double memory = stood.memory_kb();
    std::vector<double> took;
    double used = 0;
    for (int i = 1; i <= kRepeats; ++i) {
      stood.folder.write("services.yaml", services_text(stood, size, size.routes + i));
      const auto old = stood.log().size();
      const double before = processor_s(*stood.program);
      const auto begun = Clock::now();
      stood.program->signal(SIGHUP);
      while (stood.log().find("reload: ", old) == std::string::npos) {
        if (Clock::now() > begun + kPatience) throw std::runtime_error("no reload: " + stood.log());
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      }
      took.push_back(ms(Clock::now() - begun));
      stood.stage.play(milliseconds(50));
      used += processor_s(*stood.program) - before;
    }
    if (stood.log().find("stays as it was") != std::string::npos)
      throw std::runtime_error("a reload was rejected: " + stood.log());
    return {{"reload", "ms", middle(took)},
            {"reload_processor", "ms", used * 1000 / kRepeats},
            {"ready", "ms", ready},
            {"memory_idle", "KB", memory},
            {"memory_after", "KB", stood.memory_kb()},
            {"file", "B", static_cast<double>(services_text(stood, size, size.routes).size())}};
  }

  Figures list(const Size& size);

  const std::string binary_, commit_;
  const bool small_;
  Times times_;
  std::vector<Row> rows_;
};

// Discovery that tells what the test says, when it says so. (The one under testing/ tells by call.)
class Teller {
 public:
  Teller() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}), socket_(io_) {}
  int port() const { return acceptor_.local_endpoint().port(); }
  void meet() {
    bool met = false;
    acceptor_.async_accept(socket_, [&](const auto& error) { met = !error; });
    io_.run_for(kPatience);
    if (!met) throw std::runtime_error("nobody called discovery");
    std::string in;
    asio::read_until(socket_, asio::dynamic_buffer(in), "\r\n\r\n");
    asio::write(socket_, asio::buffer(Discovery::head()));
  }
  void tell(const std::string& text) { asio::write(socket_, asio::buffer(Discovery::chunk(text))); }
  void play(milliseconds time) {  // with a sign of life now and then
    for (const auto end = Clock::now() + time; Clock::now() < end;) {
      tell("\n");
      std::this_thread::sleep_until(std::min(end, Clock::now() + milliseconds(500)));
    }
  }

 private:
  asio::io_context io_;
  cranemux::net::tcp::acceptor acceptor_;
  cranemux::net::tcp::socket socket_;
};

// A whole list with `leaving` of its workers on their way out; or, of changes, one that now is.
Figures Slopes::list(const Size& size) {
  Stood stood(8);
  Teller teller;
  stood.start_platform(binary_, platform_config(stood, size, teller.port()));
  teller.meet();
  int version = 100, leaving = 0;
  const auto entry = [&](int i) {
    const auto& node = *stood.nodes[static_cast<std::size_t>(i) % stood.nodes.size()];
    return cranemux::scale::platform_node("s" + std::to_string(i), node.port(), "z0",
                                          i < leaving ? "leaving" : "active");
  };
  const auto text = [&](bool whole) {
    std::string out = "{\"index\":" + std::to_string(++version) +
                      ",\"snapshot\":" + (whole ? "true" : "false") + ",\"endpoints\":[";
    if (!whole) return out + entry(leaving - 1) + "]}\n";
    for (int i = 0; i < size.workers; ++i) out += (i > 0 ? "," : "") + entry(i);
    return out + "]}\n";
  };
  const auto used = [&](milliseconds time, const std::function<void()>& act) {
    const double before = processor_s(*stood.program);
    act();
    teller.play(time);
    return 1000 * (processor_s(*stood.program) - before);
  };
  // In force: the module avoids the node that leaves.
  const auto in_force = [&](bool whole) {
    std::vector<double> took;
    for (int i = 0; i < kRepeats; ++i) {
      ++leaving;
      const auto told = text(whole);
      const auto begun = Clock::now();
      teller.tell(told);
      const auto sign = "router_members_unavailable " + std::to_string(leaving) + "\n";
      while (console(stood.folder.path("console"), "vars").find(sign) == std::string::npos) {
        if (Clock::now() > begun + kPatience)
          throw std::runtime_error("not in force: " + console(stood.folder.path("console"), "vars"));
        std::this_thread::sleep_for(std::chrono::microseconds(500));
      }
      took.push_back(ms(Clock::now() - begun));
      teller.play(milliseconds(50));
    }
    return middle(took);
  };
  const auto bytes = text(true).size();
  teller.tell(text(true));
  teller.play(times_.settle);
  const double idle = used(times_.settle, [] {}) / ms(times_.settle);
  double whole_ms = 0, change_ms = 0;
  for (int i = 0; i < kRepeats; ++i) {
    const auto told = text(true);
    whole_ms += used(times_.list, [&] { teller.tell(told); });
  }
  for (int i = 0; i < kRepeats; ++i) {
    ++leaving;
    const auto told = text(false);
    change_ms += used(times_.list, [&] { teller.tell(told); });
  }
  const double beside = idle * ms(times_.list);
  return {{"list_processor", "ms", whole_ms / kRepeats - beside},
          {"list_bytes", "B", static_cast<double>(bytes)},
          {"change_processor", "ms", change_ms / kRepeats - beside},
          {"change_in_force", "ms", in_force(false)},
          {"list_in_force", "ms", in_force(true)}};
}

}  // namespace

int main(int argc, char** argv) {
  const bool small = argc == 5 && std::strcmp(argv[4], "--small") == 0;
  if (argc != 4 && !small) {
    std::fprintf(stderr, "usage: scale_program CRANEMUX_BINARY COMMIT OUT.csv [--small]\n");
    return 2;
  }
  Slopes slopes(argv[1], argv[2], small);
  const bool whole = slopes.play();
  // What is not whole is not left where a whole one is looked for.
  const std::string path = std::string(argv[3]) + (whole ? "" : ".partial");
  std::ofstream out(path);
  out << cranemux::scale::write_rows(slopes.rows()) << std::flush;
  if (!out) std::fprintf(stderr, "cannot write %s\n", path.c_str());
  return whole && out ? 0 : 1;
}
