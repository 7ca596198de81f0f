#include "testing/flood_play.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

#include "testing/busy_core.h"

namespace cranemux::testing {
namespace {

constexpr milliseconds kHeadStart{500}, kToFinish{20'000};
constexpr double kPerSecond = 40;
constexpr milliseconds kMostLate{500};     // after a request's time: later, its answer is lost
constexpr std::size_t kUsual = 1U << 30U;  // the first of the usual customers
constexpr std::size_t kUsualCustomers = 5;
constexpr std::size_t kFlooding = 1U << 29U;  // the first of the flooding customers
// On a connection: more than a gatekeeper reads at once, and no more than it answers in the time of a test.
constexpr std::size_t kMostUnanswered = 5000;
constexpr milliseconds kUsualWait{2000}, kNoTime{1}, kLeaves{100};
constexpr std::size_t kHalfWayLength = std::size_t{32} * 1024 * 1024,
                      kHalfWaySent = std::size_t{1024} * 1024;  // bytes
constexpr std::size_t kBody = std::size_t{48} * 1024;           // bytes, as stand-in nodes read them

bool books(std::size_t number) { return number % 4 == 0; }  // from 1 on, as the client counts

Ask usual_request(std::size_t number, bool connects_anew) {
  Ask ask;
  ask.safe = !books(number);
  ask.klass = ask.safe ? "job-status" : "book-job";
  ask.deadline = ask.safe ? kStatusWait : kBookingWait;
  ask.customer = customer_name(kUsual + number % kUsualCustomers);
  if (connects_anew) ask.extra = "Connection: close\r\n";
  return ask;
}

bool is_late(const Result& result) {
  const auto wait = books(std::stoul(result.id.substr(1))) ? kBookingWait : kStatusWait;
  return result.status == 0 || result.took > wait + kMostLate;
}

std::size_t count_of(const std::string& what, const std::string& text) {
  std::size_t count = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++count;
  return count;
}

// Each has its answer at once.
FloodKind at_once(const std::string& text) {
  FloodKind kind;
  kind.most_unanswered = kMostUnanswered;
  kind.make = [text](std::size_t) { return text; };
  return kind;
}

using MakeRequest = std::function<std::string(const std::string& id, std::size_t number)>;
FloodKind platform_kind(const MakeRequest& make) {
  FloodKind kind;
  kind.most_unanswered = kMostUnanswered;
  kind.make = [make](std::size_t i) { return make(kFloodIds + std::to_string(i), i); };
  return kind;
}

// Held, or sent to workers: a few wait on each connection.
FloodKind taken(const MakeRequest& make) {
  auto kind = platform_kind(make);
  kind.batch = 5;
  kind.most_unanswered = 20;
  return kind;
}

std::string flooding_customer(std::size_t number) { return customer_name(kFlooding + number); }

std::string booking(const std::string& id, std::size_t number) {
  return booking_head(id, flooding_customer(number % kUsualCustomers), "business", kUsualWait, kBody) +
         std::string(kBody, 'b');
}

std::map<std::string, FloodKind> all_kinds(const std::string& plan) {
  const std::string health = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  std::map<std::string, FloodKind> kinds;
  kinds["health"] = at_once(health);
  kinds["unsound_class"] = platform_kind([](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), "business", kUsualWait, "none");
  });
  kinds["unknown_plan"] = platform_kind([](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), "none", kUsualWait);
  });
  kinds["no_time_left"] = platform_kind([](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), "business", kNoTime);
  });
  kinds["no_time_left"].batch = kinds["unknown_plan"].batch = 20;
  kinds["no_time_left"].most_unanswered = 1000;  // each goes by the module
  kinds["unsound_form"] = at_once("GET /api HTTP/1.1\r\nHost: a\r\n\r\n");
  kinds["over_quota"] = taken([](const auto& id, std::size_t) {
    return platform_request(id, flooding_customer(0), "corner", kStatusWait);
  });
  kinds["held_new_names"] = taken([](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), "corner", kStatusWait);
  });
  kinds["served_new_names"] = taken([](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), "business", kStatusWait);
  });
  kinds["answers_not_taken"] = kinds["health"];
  kinds["answers_not_taken"].reads = kinds["answers_not_taken"].answered_each = false;
  kinds["answers_not_taken"].most_unanswered = 0;
  kinds["new_connections"] = kinds["health"];
  kinds["new_connections"].reconnects = true;
  kinds["heads_in_pieces"] = kinds["health"];
  kinds["heads_in_pieces"].piece = 1;
  kinds["long_heads"] =
      at_once("GET /api HTTP/1.1\r\nHost: a\r\nA: " + std::string(15'000, 'a') + "\r\n\r\n");
  kinds["long_heads"].batch = 10;
  kinds["empty_lines"] = at_once("\r\n");
  kinds["empty_lines"].answered_each = false;
  kinds["empty_lines"].most_unanswered = 0;
  kinds["long_bodies"] = taken(booking);
  kinds["long_bodies"].batch = 1;
  kinds["long_bodies"].most_unanswered = 2;
  kinds["half_way"] = platform_kind([plan](const auto& id, std::size_t i) {
    return booking_head(id, flooding_customer(i), plan, kUsualWait, kHalfWayLength) +
           std::string(kHalfWaySent, 'b');
  });
  kinds["half_way"].batch = kinds["half_way"].most_unanswered = 1;
  kinds["half_way"].answered_each = false;
  // A burst of requests that are sent to workers, whose client goes before most are answered.
  kinds["leaving_bursts"] = platform_kind([plan](const auto& id, std::size_t i) {
    return platform_request(id, flooding_customer(i), plan, kUsualWait);
  });
  kinds["leaving_bursts"].batch = kinds["leaving_bursts"].most_unanswered = 200;
  kinds["leaving_bursts"].answered_each = false;
  kinds["leaving_bursts"].leaves_after = kLeaves;
  // Workers answer these targets as set_up_flooded() says.
  for (const std::string name : {"long", "interim"}) {
    kinds[name + "_answers"] = taken([name](const auto& id, std::size_t i) {
      auto text = platform_request(id, flooding_customer(i % kUsualCustomers), "business", kUsualWait);
      return text.replace(text.find("/api"), 4, "/" + name);
    });
  }
  return kinds;
}

}  // namespace

const char* const kFloodIds = "f";
const char* const kReportedClasses =
    R"([{"name":"job-status","goal-time-ns":205000000,"give-up-ns":800000000,"points":3,"semantics":"free"},)"
    R"({"name":"book-job","goal-time-ns":400000000,"give-up-ns":1500000000,"points":5,)"
    R"("semantics":"single_shot"}])";

void set_up_flooded(Site& site) {
  constexpr std::size_t kLongAnswer = std::size_t{256} * 1024, kInterimAnswers = 500;
  site.classes = kReportedClasses;
  std::string interim;
  for (std::size_t i = 0; i < kInterimAnswers; ++i) interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  interim += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const auto* name : {"one", "two", "three", "four", "five", "six"}) {
    auto& node = site.node(name);
    node.behaviour.delay = milliseconds(30);
    node.body = [=](const http::Message& message) {
      return message.target.starts_with("/long") ? std::string(kLongAnswer, 'a') : std::string("short");
    };
    node.raw = [=](const http::Message& message) {
      return message.target.starts_with("/interim") ? std::optional(interim) : std::nullopt;
    };
  }
}

FloodFigures FloodPlay::run(std::size_t connections, const FloodKind& kind) {
  std::optional<BusyCore> core;
  if (busy > 0) core.emplace(program.pid(), busy);
  Client usual(stage, usual_port, rules);
  FloodingClients flood(flooded_port, connections, kind);
  stage.play(kHeadStart);
  const auto before = program.resident_kb();
  usual.flow(kPerSecond, stretch, [this](std::size_t i) { return usual_request(i + 1, connects_anew); });
  usual.finish(stretch + kToFinish);
  FloodFigures out;
  out.growth_kb = program.resident_kb() - before;
  const auto& results = usual.results();
  out.asked = static_cast<std::size_t>(kPerSecond * std::chrono::duration<double>(stretch).count());
  out.served = usual.count(200);
  out.late = out.asked - results.size() +
             static_cast<std::size_t>(std::count_if(results.begin(), results.end(), is_late));
  for (const auto& result : results) {
    if (result.status != 200) {
      out.unserved += " " + result.id + ":" + std::to_string(result.status) + "/" +
                      std::to_string(std::chrono::duration_cast<milliseconds>(result.took).count());
    }
  }
  out.median_ms = percentile_ms(results, 0.5);
  out.p99_ms = percentile_ms(results, 0.99);
  out.largest_ms = percentile_ms(results, 1);
  out.ejections = count_of("ejected", log());
  flood.stop_sending();
  if (kind.answered_each) {
    stage.play_until([&] { return flood.finished() || flood.broken(); }, kToFinish);
    out.all_answered = flood.finished();
    if (out.all_answered) out.least_answered = flood.least_answered();
  }
  out.flooded = flood.sent();
  out.answered = flood.answered();
  return out;
}

std::string FloodFigures::text() const {
  std::ostringstream out;
  out.precision(0);
  out << std::fixed << served << " of " << asked << " served, " << late << " late, " << median_ms << " / "
      << p99_ms << " / " << largest_ms << " ms, " << ejections << " ejections, " << growth_kb << " KB, flood "
      << answered << " of " << flooded << " answered" << (all_answered ? ", all in the end" : "");
  if (!unserved.empty()) out << "; not served, by status and ms:" << unserved;
  return out.str();
}

FloodKind flood_kind(const std::string& name, const std::string& plan) { return all_kinds(plan).at(name); }

std::vector<std::string> flood_kinds() {
  std::vector<std::string> names;
  for (const auto& [name, kind] : all_kinds({})) names.push_back(name);
  return names;
}

}  // namespace cranemux::testing
