#include "scale/process_fleet.h"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "testing/discovery.h"
#include "testing/node.h"
#include "testing/program.h"
#include "testing/rig.h"

namespace cranemux::scale {
namespace {

using testing::Clock;
using testing::milliseconds;

constexpr int kMostMembers = 64;  // a socket of the network for each two of them
constexpr int kMostNodes = 32;    // stand-ins; workers share them
constexpr int kNodeThreads = 2, kCallerThreads = 2;
constexpr milliseconds kSettles{1000};  // between the last process's start and the first request
constexpr milliseconds kEnds{2500};     // until the last requests have ended
constexpr milliseconds kTurn{20};
constexpr double kMostLateMs = 50;  // of the clients' own sending, at the 99th percentile

std::string number(double value) {
  std::array<char, 32> text{};
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr};
}
std::string quoted(const std::string& text) { return '"' + text + '"'; }
std::string here(int port) { return quoted("127.0.0.1:" + std::to_string(port)); }

testing::Clock::duration span(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

net::udp::endpoint loopback(int port) {
  return {net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

// Of processes that are started together, more than testing::free_port deals out: above its range, and below
// the one that the kernel deals out for connections.
int free_port() {
  constexpr int kFirst = 30'100, kLast = 32'700;
  static int next = kFirst + ::getpid() % 16 * 150;
  for (int tries = kFirst; tries < kLast; ++tries) {
    const int port = next++;
    if (next >= kLast) next = kFirst;
    net::asio::io_context io;
    net::tcp::acceptor stream(io);
    net::udp::socket datagrams(io);
    const net::tcp::endpoint at{net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
    boost::system::error_code taken;
    stream.open(at.protocol(), taken);
    if (!taken) stream.bind(at, taken);
    if (!taken) datagrams.open(net::udp::v4(), taken);
    if (!taken) datagrams.bind(loopback(port), taken);
    if (!taken) return port;
  }
  throw std::runtime_error("no free port");
}

double at_part(std::vector<double>& values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

double processor_s(pid_t pid) {
  clockid_t clock{};
  timespec at{};
  if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &at) != 0) return 0;
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

// Of a request at any node, drawn by its id: so its client knows it, too.
milliseconds work_of(std::string_view id, double mean_ms) {
  std::uint64_t z = 0xcbf29ce484222325ULL;
  for (const char c : id) z = (z ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  z = (z ^ z >> 30U) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27U) * 0x94d049bb133111ebULL;
  const double draw = static_cast<double>((z ^ z >> 31U) >> 11U) / 9007199254740992.0;
  return milliseconds(std::llround(-std::log(1 - draw) * mean_ms));
}

// A stage that plays in a thread of its own, until it is told to stop.
class Player {
 public:
  testing::Stage stage;
  void start() {
    thread_ = std::thread([this] {
      while (!stops_) stage.play(kTurn);
    });
  }
  void stop() {
    stops_ = true;
    if (thread_.joinable()) thread_.join();
  }
  ~Player() { stop(); }

 private:
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

// ---- the network between the gatekeepers ---------------------------------------------------------

struct Stretch {  // of the run: figures count within it
  Clock::time_point start = Clock::time_point::max(), from = start, until = start;
  bool counts(Clock::time_point at) const { return at >= from && at < until; }
};

// A socket for each two: `from` sends there what `to` is to have, and it reaches `to` from the socket where
// `to` sends what `from` is to have, as if that were its peer's address.
class Network {
 public:
  Network(testing::Stage& stage, const Scenario& scenario, std::vector<int> ports)
      : stage_(stage),
        scenario_(scenario),
        ports_(std::move(ports)),
        random_(scenario.seed + 77),
        intakes_(ports_.size(), {scenario.mail_in_per_s, Clock::now()}),
        logger_(STDERR_FILENO, metrics::Level::error) {
    for (int from = 0; from < size(); ++from) {
      for (int to = 0; to < size(); ++to) {
        ways_.push_back(std::make_unique<net::udp::socket>(stage_.io(), loopback(0)));
        if (from != to) net::spawn(stage_.io(), logger_, "network", listen(from, to));
      }
    }
  }
  std::vector<int> peers_of(int gatekeeper) const {  // ports that it must be told
    std::vector<int> out;
    for (int peer = 0; peer < size(); ++peer) {
      out.push_back(peer == gatekeeper ? ports_[static_cast<std::size_t>(peer)]
                                       : way(gatekeeper, peer).local_endpoint().port());
    }
    return out;
  }

  Stretch stretch;  // set before it plays
  double sent = 0, sent_bytes = 0, lost = 0, drowned = 0;

 private:
  struct Intake {
    double left = 0;  // datagrams that may be taken in
    Clock::time_point filled;
  };

  int size() const { return static_cast<int>(ports_.size()); }
  net::udp::socket& way(int from, int to) const {
    return *ways_[static_cast<std::size_t>(from * size() + to)];
  }
  double drawn() { return static_cast<double>(random_() >> 11U) / 9007199254740992.0; }
  int zone_of(int gatekeeper) const { return gatekeeper * scenario_.zones / size(); }
  int region_of(int gatekeeper) const { return zone_of(gatekeeper) * scenario_.regions / scenario_.zones; }

  net::awaitable<void> listen(int from, int to) {
    std::array<char, 2048> bytes{};
    for (;;) {
      net::udp::endpoint sender;
      const auto [error, count] =
          co_await way(from, to).async_receive_from(net::asio::buffer(bytes), sender, net::kResult);
      if (error == net::asio::error::operation_aborted) co_return;
      if (!error) carry(from, to, std::string(bytes.data(), count));
    }
  }

  void carry(int from, int to, std::string bytes) {
    const bool counts = stretch.counts(Clock::now());
    sent += counts;
    sent_bytes += counts * static_cast<double>(bytes.size());
    double loss = scenario_.cross_loss, least_ms = scenario_.cross_ms;
    if (region_of(from) == region_of(to)) loss = scenario_.region_loss, least_ms = scenario_.region_ms;
    if (zone_of(from) == zone_of(to)) loss = scenario_.zone_loss, least_ms = scenario_.zone_ms;
    if (drawn() < loss) {
      lost += counts;
      return;
    }
    const auto late = span((least_ms + scenario_.jitter_ms * drawn()) / 1000);
    net::spawn(stage_.io(), logger_, "network", deliver(from, to, std::move(bytes), late));
  }

  net::awaitable<void> deliver(int from, int to, std::string bytes, Clock::duration late) {
    net::asio::steady_timer timer(stage_.io(), late);
    co_await timer.async_wait(net::kResult);
    const auto now = Clock::now();
    auto& intake = intakes_[static_cast<std::size_t>(to)];
    const double passed = std::chrono::duration<double>(now - std::exchange(intake.filled, now)).count();
    intake.left = std::min(scenario_.mail_in_per_s, intake.left + scenario_.mail_in_per_s * passed);
    if (intake.left < 1) {
      drowned += stretch.counts(now);
      co_return;
    }
    intake.left -= 1;
    boost::system::error_code ignored;
    way(to, from).send_to(net::asio::buffer(bytes), loopback(ports_[static_cast<std::size_t>(to)]), 0,
                          ignored);
  }

  testing::Stage& stage_;
  const Scenario& scenario_;
  const std::vector<int> ports_;
  std::mt19937_64 random_;
  std::vector<Intake> intakes_;
  metrics::Logger logger_;
  std::vector<std::unique_ptr<net::udp::socket>> ways_;  // by `from`, then `to`
};

// ---- who sends -----------------------------------------------------------------------------------

struct Counts {
  double tries = 0, served = 0, refused = 0;
  std::vector<double> added_ms, late_ms;  // by answer; of the sending itself, which is the machine's
};

// All that comes in through one gatekeeper, at the scenario's times whatever has been answered by then.
class Caller {
 public:
  Caller(testing::Stage& stage, const Scenario& scenario, const std::vector<Customer>& customers,
         int gatekeeper, int port)
      : stage_(stage),
        scenario_(scenario),
        customers_(customers),
        arrivals_(scenario, customers, gatekeeper),
        gatekeeper_(gatekeeper),
        to_(net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)),
        logger_(STDERR_FILENO, metrics::Level::error) {}

  void begin(const Stretch& stretch) {  // before it plays
    stretch_ = stretch;
    net::spawn(stage_.io(), logger_, "client", pour());
  }
  Counts counts;

 private:
  net::awaitable<void> pour() {
    net::asio::steady_timer timer(stage_.io());
    for (;;) {
      const auto arrival = arrivals_.next();
      const auto at = stretch_.start + span(arrival.at_s);
      if (at >= stretch_.until) co_return;
      timer.expires_at(at);
      if (at > Clock::now()) co_await timer.async_wait(net::kResult);
      net::spawn(stage_.io(), logger_, "client", exchange(arrival, at));
    }
  }

  std::string words(const Arrival& arrival, const std::string& id) const {
    const auto& customer = customers_[static_cast<std::size_t>(arrival.customer)];
    return std::string(arrival.booking ? "POST" : "GET") +
           " /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id +
           "\r\nReq-Kind: " + (arrival.booking ? "book" : "look") + "\r\nX-Tier: p" +
           std::to_string(customer.plan) + "\r\nCookie: client=" + customer.id +
           "\r\nReq-Deadline-Ms: " + (arrival.booking ? "2000" : "1500") +
           "\r\nX-Call-Terms: units=" + std::to_string(arrival.units) +
           ",spread=" + std::to_string(customer.spread) + ",first=" + std::to_string(customer.first) +
           (arrival.booking ? "\r\nContent-Length: 7\r\n\r\nbook it" : "\r\n\r\n");
  }

  net::awaitable<void> exchange(Arrival arrival, Clock::time_point at) {
    const auto id = "g" + std::to_string(gatekeeper_) + "-" + std::to_string(++sent_);
    const auto out = words(arrival, id);
    const bool counts_now = stretch_.counts(at);
    if (counts_now) counts.late_ms.push_back(ms(Clock::now() - at));
    int status = 0;
    // A close of an idle channel may cross the request: then it goes once more, on a new one.
    for (int tries = 0; tries < 2 && status == 0; ++tries) {
      std::shared_ptr<net::tcp::socket> socket;
      const bool reused = tries == 0 && !idle_.empty();
      boost::system::error_code error;
      if (reused) {
        socket = std::move(idle_.back());
        idle_.pop_back();
      } else {
        socket = std::make_shared<net::tcp::socket>(stage_.io());
        std::tie(error) = co_await socket->async_connect(to_, net::kResult);
        if (!error) socket->set_option(net::tcp::no_delay(true), error);
      }
      std::size_t count = 0;
      if (!error)
        std::tie(error, count) =
            co_await net::asio::async_write(*socket, net::asio::buffer(out), net::kResult);
      std::string in;
      http::Message message;
      http::Verdict verdict;
      while (!error && verdict.state == http::State::partial) {
        if (co_await net::read_more(*socket, in) == 0) break;
        verdict = http::parse(in, http::Kind::response, message);
      }
      if (verdict.state == http::State::whole) {
        status = message.status;
        if (message.keep_alive && message.size == in.size()) idle_.push_back(std::move(socket));
      } else if (!reused || !in.empty()) {
        break;
      }
    }
    if (!counts_now) co_return;
    counts.tries += 1;
    counts.served += status == 200;
    counts.refused += status == 429 || status == 503;
    if (status == 200) counts.added_ms.push_back(ms(Clock::now() - at - work_of(id, scenario_.work_ms)));
  }

  static double ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

  testing::Stage& stage_;
  const Scenario& scenario_;
  const std::vector<Customer>& customers_;
  Arrivals arrivals_;
  const int gatekeeper_;
  const net::tcp::endpoint to_;
  metrics::Logger logger_;
  Stretch stretch_;
  std::size_t sent_ = 0;
  std::vector<std::shared_ptr<net::tcp::socket>> idle_;
};

// ---- all of it -----------------------------------------------------------------------------------

class ProcessFleet {
 public:
  ProcessFleet(const Scenario& scenario, const std::string& binary)
      : s_(scenario), customers_(customers_of(s_)) {
    for (int i = 0; i < s_.members(); ++i) {
      ports_.push_back(free_port());
      mail_ports_.push_back(free_port());
    }
    network_ = std::make_unique<Network>(network_player_.stage, s_, mail_ports_);
    for (int i = 0; i < std::min(kMostNodes, s_.workers); ++i) {
      auto& stage = node_players_[static_cast<std::size_t>(i % kNodeThreads)].stage;
      nodes_.push_back(std::make_unique<testing::Node>(stage, "node" + std::to_string(i)));
      nodes_.back()->script = [this](const http::Message& message) {
        testing::Behaviour act;
        act.delay = work_of(message.field("Req-Id").value_or(""), s_.work_ms);
        return act;
      };
    }
    discovery_.raw(testing::Discovery::head(), testing::Discovery::Then::stay);
    for (int g = 0; g < s_.gatekeepers; ++g) {
      callers_.push_back(
          std::make_unique<Caller>(caller_players_[static_cast<std::size_t>(g % kCallerThreads)].stage, s_,
                                   customers_, g, ports_[static_cast<std::size_t>(g)]));
    }
    for (int i = 0; i < s_.members(); ++i) {
      const auto name = std::to_string(i);
      programs_.push_back(std::make_unique<testing::Program>(
          binary, std::vector<std::string>{"serve", "--log", "warning"},
          std::map<std::string, std::string>{{"ROUTER_CONFIG", folder_.write("config" + name, config_of(i))}},
          folder_.path("log" + name)));
    }
    for (int i = 0; i < s_.members(); ++i) {
      auto& program = *programs_[static_cast<std::size_t>(i)];
      if (testing::wait_for_listener(ports_[static_cast<std::size_t>(i)], milliseconds(20'000),
                                     [&] { return program.alive(); }))
        continue;
      std::ifstream log(folder_.path("log" + std::to_string(i)));
      throw std::runtime_error("a gatekeeper does not listen: " +
                               std::string(std::istreambuf_iterator<char>(log), {}));
    }
  }

  std::vector<Row> play() {
    Stretch stretch;
    stretch.start = Clock::now() + kSettles;
    stretch.from = stretch.start + span(s_.warm_s);
    stretch.until = stretch.from + span(s_.seconds);
    network_->stretch = stretch;
    for (auto& caller : callers_) caller->begin(stretch);
    each_player([](Player& player) { player.start(); });
    std::this_thread::sleep_until(stretch.from);
    const double before = processor();
    std::this_thread::sleep_until(stretch.until);
    const double used = processor() - before;
    double memory_kb = 0;
    for (const auto& program : programs_) {
      memory_kb += static_cast<double>(program->resident_kb());
      if (!program->alive()) throw std::runtime_error("a gatekeeper has ended before the run");
    }
    std::this_thread::sleep_for(kEnds);
    each_player([](Player& player) { player.stop(); });
    return rows(used, memory_kb);
  }

 private:
  std::string config_of(int member) const {
    auto settings = s_.settings();
    settings.index = member;
    settings.zone = "z" + std::to_string(member * s_.zones / s_.members());
    std::string out = "{\"name\":" + quoted("g" + std::to_string(member)) +
                      ",\"listen\":" + here(ports_[static_cast<std::size_t>(member)]) +
                      ",\"discovery\":" + here(discovery_.port()) +
                      ",\"peer_listen\":" + here(mail_ports_[static_cast<std::size_t>(member)]) +
                      ",\"peers\":[";
    const char* comma = "";
    for (const int port : network_->peers_of(member)) out += std::exchange(comma, ",") + here(port);
    std::array<char, 24> seed{};
    const auto end = std::to_chars(seed.data(), seed.data() + seed.size(),
                                   s_.seed * 1'000'003 + static_cast<std::uint64_t>(member), 16);
    out += "],\"seed\":" + quoted(std::string(seed.data(), end.ptr)) +
           ",\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[";
    comma = "";
    for (int w = 0; w < s_.workers; ++w) {
      out += std::exchange(comma, ",") +
             platform_node(std::to_string(w), nodes_[static_cast<std::size_t>(w) % nodes_.size()]->port(),
                           "z" + std::to_string(w % s_.zones));
    }
    return out + "]},\"settings\":" + platform_settings(settings) + "}";
  }

  void each_player(const std::function<void(Player&)>& act) {
    act(network_player_);
    for (auto& player : node_players_) act(player);
    for (auto& player : caller_players_) act(player);
  }

  double processor() const {
    double sum = 0;
    for (const auto& program : programs_) sum += processor_s(program->pid());
    return sum;
  }

  std::vector<Row> rows(double used_s, double memory_kb) {
    std::vector<Row> out;
    const auto add = [&](const std::string& measure, const std::string& unit, double value) {
      out.push_back({"", s_.seed, "process", s_.name, static_cast<double>(s_.gatekeepers),
                     static_cast<double>(s_.workers), static_cast<double>(s_.services),
                     static_cast<double>(s_.customers), 0, s_.requests_per_s, measure, unit, value});
    };
    Counts all;
    for (const auto& caller : callers_) {
      const auto& c = caller->counts;
      all.tries += c.tries;
      all.served += c.served;
      all.refused += c.refused;
      all.added_ms.insert(all.added_ms.end(), c.added_ms.begin(), c.added_ms.end());
      all.late_ms.insert(all.late_ms.end(), c.late_ms.begin(), c.late_ms.end());
    }
    const double members = s_.members(), tries = std::max(1.0, all.tries),
                 sent = std::max(1.0, network_->sent);
    add("mail_out", "datagrams/s", network_->sent / s_.seconds / members);
    add("bytes_out", "B/s", network_->sent_bytes / s_.seconds / members);
    add("mail_per_try", "datagrams", network_->sent / tries);
    add("mail_lost", "percent", 100 * network_->lost / sent);
    add("mail_drowned", "percent", 100 * network_->drowned / sent);
    add("tries", "requests/s", all.tries / s_.seconds);
    add("served", "percent", 100 * all.served / tries);
    add("refused", "percent of tries", 100 * all.refused / tries);
    for (const auto& [name, part] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}) {
      add(std::string("added_") + name, "ms", at_part(all.added_ms, part));
    }
    const double late_ms = at_part(all.late_ms, 0.99);
    if (late_ms > kMostLateMs)
      throw std::runtime_error(s_.name +
                               ": the machine is too busy, or too small: a hundredth of the requests left " +
                               number(late_ms) + " ms late or more; nothing is told of such a run");
    add("sent_late_p99", "ms", late_ms);
    add("process_cpu", "percent", 100 * used_s / s_.seconds / members);
    add("process_memory", "KB", memory_kb / members);
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    add("load", "processes", load);
    return out;
  }

  const Scenario s_;
  const std::vector<Customer> customers_;
  testing::Folder folder_;
  std::vector<int> ports_, mail_ports_;
  // Stages outlive who plays on them.
  Player network_player_;
  std::array<Player, kNodeThreads> node_players_;
  std::array<Player, kCallerThreads> caller_players_;
  std::unique_ptr<Network> network_;
  std::vector<std::unique_ptr<testing::Node>> nodes_;
  testing::Discovery discovery_{node_players_[0].stage};
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<testing::Program>> programs_;
};

}  // namespace

std::string platform_settings(const Settings& s) {
  const auto flag = [](bool value) { return std::string(value ? "true" : "false"); };
  const auto text = [](auto value) { return std::to_string(value); };
  std::string out = "{\"balancers\":" + text(s.gateways) + ",\"index\":" + text(s.index) +
                    ",\"zone\":" + quoted(s.zone) + ",\"quantum-ns\":" + text(s.quantum) +
                    ",\"discovery\":" + quoted(s.list_on_request ? "on_request" : "pushed") +
                    ",\"caps\":{\"peers\":" + flag(s.peers) + ",\"probes\":" + flag(s.probes) +
                    ",\"cancel\":" + flag(s.cancel) + ",\"second-copies\":" + flag(s.second_copies) +
                    ",\"retry-after\":" + flag(s.retry_after) + ",\"most-tries\":" + text(s.max_attempts) +
                    ",\"max-retry-after-ns\":" + text(s.max_retry_after) +
                    ",\"conn-idle-ns\":" + text(s.connection_idle) +
                    "},\"charges\":{\"handshake\":" + number(s.connection_price) +
                    "},\"specifics\":{\"most-units\":" + number(s.most_units) +
                    ",\"trued-up\":" + flag(s.settles) + ",\"mail-per-s\":" + number(s.peer_messages_per_s) +
                    "},\"invariants\":{\"ask-within-ns\":" + text(s.ask_within) +
                    ",\"drain-grace-ns\":" + text(s.drain_grace) + ",\"cold-from\":" + number(s.cold_from) +
                    ",\"warm-up-ns\":" + text(s.warm_up) + ",\"fall-multiple\":" + number(s.fall_multiple) +
                    ",\"tip-after-ns\":" + text(s.fall_window) + "}";
  if (s.load_in_answers || s.load_in_probes)
    out += ",\"stats\":{\"source\":" + quoted(s.load_in_answers ? "piggyback" : "pull") + "}";
  out += ",\"classes\":[";
  const char* comma = "";
  for (const auto& c : s.classes) {
    out += std::exchange(comma, ",") + ("{\"name\":" + quoted(c.name)) + ",\"goal-time-ns\":" + text(c.aim) +
           ",\"give-up-ns\":" + text(c.give_up) + ",\"late-share\":" + number(c.late_share) +
           ",\"points\":" + number(c.worth) + ",\"semantics\":" +
           quoted(c.repeat == Repeat::safe    ? "free"
                  : c.repeat == Repeat::keyed ? "guarded"
                                              : "single_shot") +
           ",\"dedup-scope\":" +
           quoted(c.scope == RepeatScope::all    ? "all"
                  : c.scope == RepeatScope::zone ? "zone"
                                                 : "cell") +
           ",\"memory-span-ns\":" + text(c.window) + ",\"stream\":" + flag(c.stream) + "}";
  }
  out += "],\"contracts\":[";
  comma = "";
  for (const auto& p : s.plans) {
    out += std::exchange(comma, ",") + ("{\"name\":" + quoted(p.name)) + ",\"per-second\":" + number(p.rate) +
           ",\"peak-units\":" + number(p.burst) + ",\"at-once\":" + text(p.open_limit) +
           ",\"ceiling-rate\":" + number(p.ceiling_rate) + ",\"cap-depth\":" + number(p.ceiling_burst) +
           ",\"tolerance\":" + number(p.ceiling_slack) + ",\"pays\":" + number(p.price) +
           ",\"over-worth\":" + number(p.over_worth) + ",\"excess-cost\":" + number(p.over_cost) + "}";
  }
  return out + "]}";
}

std::string platform_node(const std::string& name, int port, const std::string& zone,
                          const std::string& status) {
  return "{\"name\":" + quoted(name) + ",\"address\":" + here(port) + ",\"zone\":" + quoted(zone) +
         ",\"status\":" + quoted(status) + ",\"since_ms\":0}";
}

std::vector<Row> play_processes(const Scenario& scenario, const std::string& binary) {
  if (scenario.services != 1 || !scenario.faults.empty() || scenario.members() > kMostMembers)
    throw std::invalid_argument("processes play one service, no faults, and " + std::to_string(kMostMembers) +
                                " members at the most");
  return ProcessFleet(scenario, binary).play();
}

}  // namespace cranemux::scale
