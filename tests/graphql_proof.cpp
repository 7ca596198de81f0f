// Many thousands of mixed, retried GraphQL operations through three gatekeepers, against stand-in servers
// that lose some answers. The servers count for themselves: units against each customer's store, and runs of
// each booking. Guards the quota over all gatekeepers together, and bookings against a second run. Usage:
// graphql_proof PROGRAM
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

#include "http/http.h"
#include "json/json.h"
#include "net/net.h"

#undef NDEBUG
#include <cassert>

namespace {

using namespace cranemux;
using namespace std::chrono_literals;
using net::asio::use_awaitable;

constexpr int kGatekeepers = 3, kCustomers = 24, kClients = 160;
constexpr auto kRun = 16s;
struct Plan {
  const char* name;
  double rate, burst;
};
constexpr Plan kPlans[] = {{"business", 9, 16}, {"citywide", 35, 69}};
const Plan& plan_of(int customer) { return kPlans[customer % 2]; }

struct Store {  // a customer's, as the paper plan has it, counted at the servers
  double level = -1, sent = 0, beyond = 0;
  net::Clock::time_point filled;
};

struct World {
  net::asio::io_context io{1};
  std::mt19937 random{7};
  net::Clock::time_point end;
  std::map<int, Store> stores;
  std::map<std::string, int> bookings;  // runs by logical operation, over all its tries
  std::map<std::string, int> first_seen;
  long operations = 0, tries = 0, served = 0, unavailable = 0, failed = 0, lost = 0, declined = 0;
  int clients = 0;

  double draw() { return std::uniform_real_distribution<>(0, 1)(random); }
  net::awaitable<void> sleep(double ms) {
    net::asio::steady_timer timer(io, std::chrono::microseconds(static_cast<long>(ms * 1000)));
    co_await timer.async_wait(net::kResult);
  }
};

// The independent count: what comes whole to a server for the first time takes its units.
void count(World& world, const json::Value& variables) {
  const auto& id = *variables.find("try")->string();
  if (world.first_seen[id]++ > 0) return;
  const int customer = static_cast<int>(variables.find("customer")->as_double(-1));
  const double units = variables.find("units")->as_double(-1);
  const auto& plan = plan_of(customer);
  auto& store = world.stores[customer];
  const auto now = net::Clock::now();
  const double seconds = std::chrono::duration<double>(now - store.filled).count();
  store.level = store.level < 0 ? plan.burst : std::min(plan.burst, store.level + plan.rate * seconds);
  store.filled = now;
  store.sent += units;
  if (store.level >= units) {
    store.level -= units;
  } else {
    store.beyond += units;
  }
}

net::awaitable<void> serve(World& world, net::tcp::socket socket) {
  std::string in;
  while (co_await net::read_more(socket, in) > 0) {
    http::Message message;
    if (http::parse(in, http::Kind::request, message).state != http::State::whole) continue;
    const auto body = json::parse(message.body);
    const auto* variables = (body.array() ? body.array()->front() : body).find("variables");
    const double fate = world.draw();
    in.erase(0, message.size);
    count(world, *variables);
    std::string answer = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    if (fate < 0.02) {
      ++world.declined;
    } else {
      if (const auto* booking = variables->find("booking")) ++world.bookings[*booking->string()];
      co_await world.sleep(2 + 10 * world.draw());
      if (fate < 0.06) {  // it has run; its answer is lost
        ++world.lost;
        co_return;
      }
      answer = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"data\":null}";
    }
    co_await net::asio::async_write(socket, net::asio::buffer(answer), net::kResult);
  }
}

net::awaitable<void> listen(World& world, net::tcp::acceptor& acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(net::kResult);
    if (error) co_return;
    net::asio::co_spawn(world.io, serve(world, std::move(socket)), net::asio::detached);
  }
}

struct Operation {
  std::string text;  // with its variables
  bool books = false;
};

// Each kind's units are worked out by hand from the costs in the file: status 1, book 2, an object 1 more.
Operation draw_operation(World& world, int customer, const std::string& name, int attempt) {
  const int kind = static_cast<int>(world.draw() * 6);
  const auto variables = [&](int units, bool books, const std::string& more = "") {
    return ",\"variables\":{\"try\":\"" + name + "-" + std::to_string(attempt) +
           "\",\"customer\":" + std::to_string(customer) + ",\"units\":" + std::to_string(units) + more +
           (books ? ",\"booking\":\"" + name + "\"" : "") + "}}";
  };
  switch (kind) {
    case 0:
      return {R"({"query":"{ status(id:1) { id } }")" + variables(1, false)};
    case 1:
      return {R"({"query":"query($ids:[ID!]!){ statuses(ids:$ids){ id } }")" +
              variables(3, false, ",\"ids\":[1,2,3]")};
    case 2:
      return {
          R"({"query":"{ a: status { id } ...F } fragment F on Query { b: status { id } a: status { id } }")" +
          variables(2, false)};
    case 3:
      return {R"({"query":"{ jobs(first:2) { rider { id } } }")" + variables(4, false)};
    case 4:
      return {R"({"query":"mutation { book(id:1) { id } }")" + variables(2, true), true};
    default:  // the query that is feared: three statuses and a booking together
      return {R"([{"query":"{ a: status b: status c: status }")" + variables(5, true) +
                  R"(,{"query":"mutation { book }"}])",
              true};
  }
}

// One try: the answer's status, or 0 where there was none.
net::awaitable<int> call(World& world, std::unique_ptr<net::tcp::socket>& socket, int port, int customer,
                         const Operation& operation, bool again) {
  if (!socket) {
    socket = std::make_unique<net::tcp::socket>(world.io);
    co_await socket->async_connect({net::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
                                   net::kResult);
  }
  char client[17];
  std::snprintf(client, sizeof client, "%016x", customer);
  const auto request =
      "POST /graphql HTTP/1.1\r\nContent-Type: application/json\r\nCookie: client=" + std::string(client) +
      "\r\nX-Tier: " + plan_of(customer).name +
      "\r\nReq-Deadline-Ms: 1500\r\nX-Call-Terms: spread=3,first=0\r\n" + (again ? "Req-Retry: 1\r\n" : "") +
      "Content-Length: " + std::to_string(operation.text.size()) + "\r\n\r\n" + operation.text;
  co_await net::asio::async_write(*socket, net::asio::buffer(request), net::kResult);
  std::string in;
  while (co_await net::read_more(*socket, in) > 0) {
    http::Message message;
    if (http::parse(in, http::Kind::response, message).state == http::State::whole) co_return message.status;
  }
  socket.reset();
  co_return 0;
}

net::awaitable<void> client(World& world, const std::vector<int>& ports, int number) {
  std::vector<std::unique_ptr<net::tcp::socket>> sockets(ports.size());
  ++world.clients;
  for (int i = 0; net::Clock::now() < world.end; ++i) {
    const int customer = static_cast<int>(world.draw() * kCustomers);
    const auto name = std::to_string(number) + "." + std::to_string(i);
    ++world.operations;
    const auto state = world.random;  // each try of an operation is the same operation
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto later = std::exchange(world.random, state);
      const auto operation = draw_operation(world, customer, name, attempt);
      if (attempt > 0) world.random = later;
      const auto gatekeeper = static_cast<std::size_t>(world.draw() * static_cast<double>(ports.size()));
      ++world.tries;
      const int status =
          co_await call(world, sockets[gatekeeper], ports[gatekeeper], customer, operation, attempt > 0);
      assert(status == 200 || status == 429 || status == 502);
      ++(status == 200 ? world.served : status == 429 ? world.unavailable : world.failed);
      // A client tries again what never ran; a reading operation after any failure.
      if (status == 200 || (status == 502 && operation.books)) break;
      co_await world.sleep(20 + 80 * world.draw());
    }
    co_await world.sleep(400 * world.draw());
  }
  if (--world.clients == 0) world.io.stop();
}

pid_t start(const char* program, const std::string& config, const std::string& graphql) {
  const auto child = ::fork();
  if (child > 0) return child;
  ::setenv("ROUTER_CONFIG", config.c_str(), 1);
  for (const auto* name : {"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"}) ::unsetenv(name);
  ::execl(program, program, "serve", "--log", "warning", "--graphql", graphql.c_str(), nullptr);
  std::_Exit(127);
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 2);
  World world;
  const net::tcp::endpoint any(net::asio::ip::address_v4::loopback(), 0);
  net::tcp::acceptor first(world.io, any), second(world.io, any);
  const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::vector<int> ports, peer_ports;
  {
    std::vector<net::tcp::acceptor> free;
    std::vector<net::udp::socket> peers;
    for (int i = 0; i < kGatekeepers; ++i) {
      ports.push_back(free.emplace_back(world.io, any).local_endpoint().port());
      const net::udp::endpoint any_peer(net::asio::ip::address_v4::loopback(), 0);
      peer_ports.push_back(peers.emplace_back(world.io, any_peer).local_endpoint().port());
    }
  }
  std::vector<pid_t> children;
  for (int i = 0; i < kGatekeepers; ++i) {
    const auto name = "proof-" + std::to_string(::getpid()) + "-" + std::to_string(i);
    std::string peers, plans;
    for (const int port : peer_ports) peers += (peers.empty() ? "" : ",") + at(port);
    for (const auto& plan : kPlans) {
      plans += std::string(plans.empty() ? "" : ",") + "{\"name\":\"" + plan.name +
               "\",\"per-second\":" + std::to_string(plan.rate) +
               ",\"peak-units\":" + std::to_string(plan.burst) + "}";
    }
    std::ofstream(name + ".json")
        << "{\"name\":\"g" << i << "\",\"listen\":" << at(ports[static_cast<std::size_t>(i)])
        << ",\"discovery\":\"127.0.0.1:9\",\"seed\":\"" << i + 1
        << "\",\"peer_listen\":" << at(peer_ports[static_cast<std::size_t>(i)]) << ",\"peers\":[" << peers
        << R"(],"settings":{"balancers":3,"index":)" << i
        << R"(,"zone":"z","quantum-ns":2000000,"caps":{"cancel":true,"most-tries":4,"peers":true},
           "invariants":{"drain-grace-ns":1000000000,"cold-from":1},"specifics":{"most-units":2,"mail-per-s":40},
           "classes":[{"name":"job-status","goal-time-ns":400000000,"give-up-ns":1500000000,"semantics":"free"},
           {"name":"book-job","goal-time-ns":750000000,"give-up-ns":2000000000,"semantics":"single_shot"}],
           "contracts":[)"
        << plans << "]}}";
    std::ofstream(name + "-graphql.json")
        << "{\"listen\":" << at(ports[static_cast<std::size_t>(i)]) << ",\"servers\":["
        << at(first.local_endpoint().port()) << "," << at(second.local_endpoint().port())
        << R"(],"fields":{"status":{"cost":1},"jobs":{"cost":1,"size_argument":"first"},
           "statuses":{"cost":1,"size_argument":"ids"},"book":{"cost":2,"booking":true}}})";
    children.push_back(start(argv[1], name + ".json", name + "-graphql.json"));
  }
  for (const int port : ports) {
    net::tcp::socket probe(world.io);
    boost::system::error_code refused = net::asio::error::connection_refused;
    for (int i = 0; refused && i < 1000; ++i) {
      ::usleep(20'000);
      probe.close();
      probe.connect({net::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, refused);
    }
    assert(!refused);
  }
  const auto began = net::Clock::now();
  world.end = began + kRun;
  net::asio::co_spawn(world.io, listen(world, first), net::asio::detached);
  net::asio::co_spawn(world.io, listen(world, second), net::asio::detached);
  for (int i = 0; i < kClients; ++i) {
    net::asio::co_spawn(world.io, client(world, ports, i), [](std::exception_ptr error) {
      if (error) std::rethrow_exception(error);
    });
  }
  world.io.run();
  for (const auto child : children) ::kill(child, SIGTERM);
  for (const auto child : children) {
    int status = 0;
    ::waitpid(child, &status, 0);
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  }
  double sent = 0, beyond = 0, allowed = 0;
  const double seconds = std::chrono::duration<double>(net::Clock::now() - began).count();
  for (const auto& [customer, store] : world.stores) {
    sent += store.sent;
    beyond += store.beyond;
    allowed += plan_of(customer).burst + plan_of(customer).rate * seconds;
  }
  int most_runs = 0;
  for (const auto& [name, runs] : world.bookings) most_runs = std::max(most_runs, runs);
  std::cout << world.operations << " operations in " << world.tries << " tries: " << world.served
            << " served, " << world.unavailable << " unavailable, " << world.failed << " failed; "
            << world.lost << " answers lost, " << world.declined << " declined\n"
            << "units sent " << sent << " of " << allowed << " allowed, beyond the quota " << beyond << " ("
            << 100 * beyond / sent << "%)\n"
            << world.bookings.size() << " bookings run, most runs of one: " << most_runs << "\n";
  assert(world.tries > 3000 && world.lost > 20 && world.unavailable > 500 && world.bookings.size() > 200);
  assert(beyond < 0.05 * sent);
  assert(sent > 0.5 * allowed);  // it has not kept the quota by refusing all
  assert(most_runs == 1);
  return 0;
}
