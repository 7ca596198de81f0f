// Many thousands of mixed, retried GraphQL operations through three
// gatekeepers, against stand-in servers that lose some answers and spoil
// others: costs by a schema, persisted documents, batches. The checker of the
// rules counts for itself: units against each customer's store, and runs of
// each booking. Guards the quota over all gatekeepers together, and bookings
// against a second run. Usage: graphql_proof PROGRAM
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "graphql/documents.h"
#include "json/json.h"
#include "testing/rig.h"
#include "testing/subscriber.h"

#undef NDEBUG
#include <cassert>

namespace {

using namespace cranemux;
using namespace cranemux::testing;
using namespace std::chrono_literals;

constexpr int kGatekeepers = 3, kCustomers = 24, kClients = 160;
constexpr int kSubscribers = 24, kSubscribing = 4,
              kFirstSubscribing = 1000;  // customers of their own
constexpr auto kRun = 16s;
struct Plan {
  const char* name;
  double rate, burst;
};
constexpr const char* kSchema = R"(
type Query {
  status(id: ID): Job
  statuses(ids: [ID!]!): [Job] @listSize(slicingArguments: ["ids"])
  jobs(first: Int): [Job] @listSize(slicingArguments: ["first"])
}
type Mutation { book(id: ID): Job @cost(weight: "1") }
type Subscription { moved(id: ID): Job }
type Job { id: ID rider: Rider }
type Rider { id: ID }
)";
constexpr const char* kPersisted = "query P($ids: [ID!]!) { statuses(ids: $ids) { id } }";

constexpr Plan kPlans[] = {{"business", 9, 16}, {"citywide", 35, 69}};
const Plan& plan_of(int customer) { return kPlans[customer % 2]; }

struct World {
  Stage stage;
  Rules rules;
  Node first{stage, "first", &rules}, second{stage, "second", &rules};
  std::vector<std::unique_ptr<Client>> gatekeepers;  // a client of each
  std::mt19937 random{7};
  Clock::time_point end, last_operation;
  std::map<std::string, int> bookings;  // runs by logical operation, over all its tries
  std::set<std::string> unfit;          // tries whose answer is none of theirs
  long not_found = 0;                   // persisted documents whose text was asked for
  long operations = 0, tries = 0, served = 0, unavailable = 0, failed = 0, lost = 0, declined = 0;
  int clients = 0;
  std::vector<int> ports;
  std::map<std::string, int> begun;  // at servers, by subscription
  long subscriptions = 0, events = 0, out_of_quota = 0, broken_off = 0;

  double draw() { return std::uniform_real_distribution<>(0, 1)(random); }
  void later(double ms, std::function<void()> what) {
    auto timer = std::make_shared<net::asio::steady_timer>(
        stage.io(), std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer->async_wait([timer, what = std::move(what)](const auto& error) {
      if (!error) what();
    });
  }
};

std::string name_of_customer(int customer) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(customer));
  return text;
}

std::string text_of(const http::Message& message, const char* variable) {
  const auto body = json::parse(message.body);
  const auto* variables = (body.array() ? body.array()->front() : body).find("variables");
  const auto* value = variables->find(variable);
  return value ? *value->string() : std::string();
}

// Some answers are lost when the operation has run, some operations are turned
// away unseen.
Behaviour fate_of(World& world, const http::Message& message) {
  if (!text_of(message, "sub").empty()) return {};
  const double fate = world.draw();
  Behaviour out{Behaviour::Answer::good, milliseconds(2 + static_cast<int>(10 * world.draw()))};
  if (fate < 0.02) {
    ++world.declined;
    out.answer = Behaviour::Answer::declined;
    return out;
  }
  if (const auto booking = text_of(message, "booking"); !booking.empty()) ++world.bookings[booking];
  if (fate < 0.06) {
    ++world.lost;
    out.answer = Behaviour::Answer::reset;
  }
  if (fate >= 0.06 && fate < 0.08) world.unfit.insert(text_of(message, "try"));
  return out;
}

// What a server of that schema says to each kind of operation: as much as was
// paid for.
std::string answer_to(const World& world, const http::Message& message) {
  if (world.unfit.count(text_of(message, "try")) > 0) return R"({"data":{"unheard":1}})";
  switch (std::stoi(text_of(message, "kind"))) {
    case 0:
      return R"({"data":{"status":{"id":1}}})";
    case 2:
      return R"({"data":{"a":{"id":1},"b":{"id":2}}})";
    case 3:
      return R"({"data":{"jobs":[{"rider":{"id":1}},{"rider":{"id":2}}]}})";
    case 4:
      return R"({"data":{"book":{"id":1}}})";
    case 5:
      return R"([{"data":{"a":{"id":1},"b":{"id":2},"c":{"id":3}}},{"data":{"book":{"id":1}}}])";
    default:
      return R"({"data":{"statuses":[{"id":1},{"id":2},{"id":3}]}})";
  }
}

struct Operation {
  std::string text;  // with its variables
  double units = 1;
  bool books = false;
};

// Each kind's units are worked out by hand from the costs in the schema: an
// object 1, a booking 1 more. `whole`: a persisted document with its text.
Operation draw_operation(World& world, const std::string& name, int attempt, bool whole) {
  const int kind = static_cast<int>(world.draw() * 7);
  const auto variables = [&](bool books, const std::string& more = "") {
    return ",\"variables\":{\"kind\":\"" + std::to_string(kind) + "\",\"try\":\"" + name + "-" +
           std::to_string(attempt) + (whole ? "w" : "") + "\"" + more +
           (books ? ",\"booking\":\"" + name + "\"" : "") + "}}";
  };
  switch (kind) {
    case 0:
      return {R"({"query":"{ status(id:1) { id } }")" + variables(false), 1};
    case 1:
      return {R"({"query":"query($ids:[ID!]!){ statuses(ids:$ids){ id } }")" +
                  variables(false, ",\"ids\":[1,2,3]"),
              3};
    case 2:
      return {
          R"({"query":"{ a: status { id } ...F } fragment F on Query { b: status { id } a: status { id } }")" +
              variables(false),
          2};
    case 3:
      return {R"({"query":"{ jobs(first:2) { rider { id } } }")" + variables(false), 4};
    case 4:
      return {R"({"query":"mutation { book(id:1) { id } }")" + variables(true), 2, true};
    case 5:  // the query that is feared: three statuses and a booking together
      return {R"([{"query":"{ a: status { id } b: status { id } c: status { id } }")" + variables(true) +
                  R"(,{"query":"mutation { book { id } }"}])",
              5, true};
    default:
      return {(whole ? "{\"query\":\"" + std::string(kPersisted) + "\"," : std::string("{")) +
                  R"("extensions":{"persistedQuery":{"version":1,"sha256Hash":")" +
                  graphql::sha256_hex(kPersisted) + "\"}}" + variables(false, ",\"ids\":[1,2,3]"),
              3};
  }
}

void next_operation(World& world, int number, int i);

// A client tries again what never ran, and a reading operation after any
// failure.
void attempt(World& world, int number, int i, int customer, std::mt19937 state, int tries,
             bool whole = false) {
  const auto name = std::to_string(number) + "." + std::to_string(i);
  const auto later = std::exchange(world.random, state);  // each try of an operation is the same operation
  const auto operation = draw_operation(world, name, tries, whole);
  if (tries > 0 || whole) world.random = later;
  Ask ask;
  ask.target = "/graphql";
  ask.safe = false;  // so it is sent as a POST; what may be repeated is for the
                     // operation to say
  ask.plan = plan_of(customer).name;
  ask.customer = name_of_customer(customer);
  ask.units = operation.units;
  ask.deadline = milliseconds(1500);
  ask.extra = "Content-Type: application/json\r\n" + std::string(tries > 0 ? "Req-Retry: 1\r\n" : "");
  ask.body = operation.text;
  ask.id = name + "-" + std::to_string(tries) + (whole ? "w" : "");
  ask.done = [&world, number, i, customer, state, tries,
              books = operation.books](const testing::Result& result) {
    const int status = result.status;
    if (status == 400 && result.body.find("PERSISTED_QUERY_NOT_FOUND") != std::string::npos) {
      ++world.not_found;
      return attempt(world, number, i, customer, state, tries, true);
    }
    assert(status == 200 || status == 429 || status == 502);
    ++(status == 200 ? world.served : status == 429 ? world.unavailable : world.failed);
    if (status == 200 || (status == 502 && books) || tries == 2) {
      return world.later(400 * world.draw(), [&world, number, i] { next_operation(world, number, i + 1); });
    }
    world.later(20 + 80 * world.draw(), [&world, number, i, customer, state, tries] {
      attempt(world, number, i, customer, state, tries + 1);
    });
  };
  ++world.tries;
  world.gatekeepers[static_cast<std::size_t>(world.draw() * kGatekeepers)]->send(ask);
}

void next_operation(World& world, int number, int i) {
  if (Clock::now() >= world.end) {
    world.last_operation = Clock::now();
    --world.clients;
    return;
  }
  ++world.operations;
  const int customer = static_cast<int>(world.draw() * kCustomers);
  attempt(world, number, i, customer, world.random, 0);
}

// A server sends faster than the quota lets through, and breaks off after a
// while.
std::optional<Events> events_of(World& world, const http::Message& message) {
  const auto name = text_of(message, "sub");
  if (name.empty()) return std::nullopt;
  ++world.begun[name];
  return Events{"event: next\ndata: {\"data\":{\"moved\":{\"id\":1}}}\n\n", milliseconds(150),
                5 + static_cast<std::size_t>(25 * world.draw()), world.end};
}

// One after the other; each ends once, and in words.
void next_subscription(World& world, int number, int i) {
  if (Clock::now() >= world.end) {
    --world.clients;
    return;
  }
  const int customer = kFirstSubscribing + number % kSubscribing;
  Subscription asked;
  asked.document = "subscription { moved(id: 1) { id } }";
  asked.variables = "{\"sub\":\"" + std::to_string(number) + "." + std::to_string(i) + "\"}";
  asked.customer = name_of_customer(customer);
  asked.plan = plan_of(customer).name;
  asked.terms = "spread=3,first=0";
  const auto port = world.ports[static_cast<std::size_t>(world.draw() * kGatekeepers)];
  Subscriber::open(world.stage, port, asked, [&world, number, i](const Subscriber& one) {
    const bool open = one.status() == 200;
    assert(open || one.status() == 429 || one.status() == 502);
    assert(one.count("event: complete") == (open ? 1U : 0U));
    world.subscriptions += open ? 1 : 0;
    world.events += static_cast<long>(one.count("\"data\":{"));
    world.out_of_quota += static_cast<long>(one.count("UNAVAILABLE"));
    world.broken_off += static_cast<long>(one.count("the server ended"));
    world.later(100 + 300 * world.draw(), [&world, number, i] { next_subscription(world, number, i + 1); });
  });
}

std::string at(int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; }

std::unique_ptr<Program> start(const World& world, const Folder& folder, const char* program, int i,
                               const std::vector<int>& ports, const std::vector<int>& peer_ports) {
  const auto n = static_cast<std::size_t>(i);
  std::string peers, plans;
  for (const int port : peer_ports) peers += (peers.empty() ? "" : ",") + at(port);
  for (const auto& plan : kPlans) {
    plans += std::string(plans.empty() ? "" : ",") + "{\"name\":\"" + plan.name +
             "\",\"per-second\":" + std::to_string(plan.rate) +
             ",\"peak-units\":" + std::to_string(plan.burst) + "}";
  }
  const auto name = "g" + std::to_string(i);
  const auto config = folder.write(
      name + ".json",
      "{\"name\":\"" + name + "\",\"listen\":" + at(ports[n]) + ",\"discovery\":\"127.0.0.1:9\",\"seed\":\"" +
          std::to_string(i + 1) + "\",\"peer_listen\":" + at(peer_ports[n]) + ",\"peers\":[" + peers +
          R"(],"settings":{"balancers":3,"index":)" + std::to_string(i) +
          R"(,"zone":"z","quantum-ns":2000000,"caps":{"cancel":true,"most-tries":4,"peers":true},
           "invariants":{"drain-grace-ns":1000000000,"cold-from":1},"specifics":{"most-units":2,"mail-per-s":40},
           "classes":[{"name":"job-status","goal-time-ns":400000000,"give-up-ns":1500000000,"semantics":"free"},
           {"name":"book-job","goal-time-ns":750000000,"give-up-ns":2000000000,"semantics":"single_shot"}],
           "contracts":[)" +
          plans + "]}}");
  const auto costs =
      folder.write(name + "-graphql.json",
                   "{\"listen\":" + at(ports[n]) + ",\"servers\":[" + at(world.first.port()) + "," +
                       at(world.second.port()) +
                       R"(],"schema":"schema.graphql","cost_in_answers":true,"persisted":{"automatic":true},
           "subscriptions":{"by_customer":20}})");
  folder.write("schema.graphql", kSchema);
  return std::make_unique<Program>(
      program, std::vector<std::string>{"serve", "--log", "warning", "--graphql", costs},
      std::map<std::string, std::string>{{"ROUTER_CONFIG", config}}, folder.path("log"));
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 2);
  const Folder folder;
  World world;
  for (auto* node : {&world.first, &world.second}) {
    node->id = [](const http::Message& message) { return text_of(message, "try"); };
    node->body = [&world](const http::Message& message) { return answer_to(world, message); };
    node->events = [&world](const http::Message& message) { return events_of(world, message); };
    node->script = [&world](const http::Message& message) { return fate_of(world, message); };
  }
  std::vector<int> peer_ports;
  auto& ports = world.ports;
  for (int i = 0; i < kGatekeepers; ++i) {
    ports.push_back(free_port());
    peer_ports.push_back(free_port());
  }
  std::vector<std::unique_ptr<Program>> programs;
  for (int i = 0; i < kGatekeepers; ++i) {
    programs.push_back(start(world, folder, argv[1], i, ports, peer_ports));
    world.gatekeepers.push_back(
        std::make_unique<Client>(world.stage, ports[static_cast<std::size_t>(i)], &world.rules));
  }
  for (int i = 0; i < kGatekeepers; ++i) {
    auto& program = *programs[static_cast<std::size_t>(i)];
    assert(wait_for_listener(ports[static_cast<std::size_t>(i)], 20s, [&] { return program.alive(); }));
  }
  const auto began = Clock::now();
  world.end = began + kRun;
  world.clients = kClients;
  for (int i = 0; i < kClients; ++i) next_operation(world, i, 0);
  world.clients += kSubscribers;
  for (int i = 0; i < kSubscribers; ++i) next_subscription(world, i, 0);
  assert(world.stage.play_until([&] { return world.clients == 0; }, 120s));
  const auto since = [&](Clock::time_point at) { return std::chrono::duration<double>(at - began).count(); };
  const double seconds = since(world.last_operation), until_all = since(Clock::now());
  for (const auto& program : programs) program->signal(SIGTERM);
  for (const auto& program : programs) assert(program->wait() == 0);

  double beyond = 0, allowed = 0;
  for (int customer = 0; customer < kCustomers; ++customer) {
    beyond +=
        world.rules.beyond_quota(name_of_customer(customer), plan_of(customer).rate, plan_of(customer).burst);
    allowed += plan_of(customer).burst + plan_of(customer).rate * seconds;
  }
  const double sent = world.rules.units_begun();
  int most_runs = 0;
  for (const auto& [name, runs] : world.bookings) most_runs = std::max(most_runs, runs);
  std::cout << world.operations << " operations in " << world.tries << " tries: " << world.served
            << " served, " << world.unavailable << " unavailable, " << world.failed << " failed; "
            << world.lost << " answers lost, " << world.declined << " declined\n"
            << "units sent " << sent << " of " << allowed << " allowed, beyond the quota " << beyond << " ("
            << 100 * beyond / sent << "%)\n"
            << world.bookings.size() << " bookings run, most runs of one: " << most_runs << "\n";
  std::cout << world.unfit.size() << " answers that did not fit, " << world.not_found
            << " persisted documents asked for\n";
  // Events wait for credits, so the last come when no more are sent: two bounds of time.
  double may_come = 0, should_come = 0;
  for (int i = 0; i < kSubscribing; ++i) {
    const auto& plan = plan_of(kFirstSubscribing + i);
    may_come += plan.burst + plan.rate * until_all;
    should_come += plan.burst + plan.rate * seconds;
  }
  const auto came = static_cast<double>(world.events + world.subscriptions);
  int most_begun = 0;
  for (const auto& [name, times] : world.begun) most_begun = std::max(most_begun, times);
  std::cout << world.subscriptions << " subscriptions with " << world.events << " events: " << came
            << " units of " << may_come << " allowed; " << world.out_of_quota << " ended for want of quota, "
            << world.broken_off << " broken off by their server; most beginnings of one: " << most_begun
            << std::endl;
  assert(came < 1.05 * may_come && came > 0.8 * should_come);
  assert(world.subscriptions > 30 && world.out_of_quota > 0 && world.broken_off > 0 && most_begun == 1);
  // Each gatekeeper asks for the text at least once, and not each time.
  assert(world.not_found >= kGatekeepers && world.not_found < world.operations / 20 &&
         world.unfit.size() > 20);
  assert(world.tries > 3000 && world.lost > 20 && world.unavailable > 500 && world.bookings.size() > 200);
  assert(beyond < 0.05 * sent);
  assert(sent > 0.5 * allowed);  // it has not kept the quota by refusing all
  assert(most_runs == 1);
  return 0;
}
