// Shows the program at work: two services with stand-in nodes, four customers, and some trouble. Usage:
// cranemux_demo PROGRAM
#include <cstdio>

#include "testing/rig.h"

namespace {

using namespace cranemux::testing;

struct Sender {
  const char *customer, *plan;
  double per_s;
};
constexpr Sender kSenders[] = {{"00000000000000a1", "corner", 1},
                               {"00000000000000a2", "corner", 9},  // far over its quota
                               {"00000000000000b1", "business", 15},
                               {"00000000000000c1", "citywide", 30}};

class Demo {
 public:
  explicit Demo(const char* program)
      : rig_(program),
        quotes_(rig_.stage, rig_.port, &rig_.rules, "q"),
        bookings_(rig_.stage, rig_.port, &rig_.rules, "b") {
    rig_.file.plans =
        "{corner: {units_per_s: 2, burst: 6}, business: {units_per_s: 20, burst: 40}, citywide: "
        "{units_per_s: 60, "
        "burst: 120}}";
    rig_.file.pools = {{"quote", "nodes: [@quote-1, @quote-2]"}, {"book", "nodes: [@book-1, @book-2]"}};
    rig_.file.routes = {"host: quote.example.org, pool: quote", "host: book.example.org, pool: book"};
    rig_.start();
    for (const auto* name : {"quote-1", "quote-2", "book-1", "book-2"}) {
      rig_.node(name).behaviour.delay = milliseconds(40);
    }
  }

  int run() {
    std::printf("%-4s %-34s %-34s\n", "s", "quotes: served refused failed p99",
                "bookings: served refused failed p99");
    for (int second = 1; second <= 10; ++second) {
      trouble(second);
      play();
      std::printf("%-4d ", second);
      show(quotes_, seen_quotes_);
      show(bookings_, seen_bookings_);
      std::printf("\n");
      std::fflush(stdout);
    }
    return end();
  }

 private:
  void trouble(int second) {
    if (second == 4) {
      std::printf("     the nodes that quote answer three times slower now\n");
      for (const auto* name : {"quote-1", "quote-2"}) rig_.node(name).behaviour.delay = milliseconds(120);
    }
    if (second == 7) {
      std::printf("     book-1 is drained by the operator\n");
      rig_.drained("book", "book-1", true);
    }
  }

  void play() {
    double rate = 0;
    for (const auto& sender : kSenders) rate += sender.per_s;
    const auto ask_of = [&](std::size_t i, const char* host, bool safe) {
      Ask ask;
      ask.host = host;
      ask.safe = safe;
      ask.klass = safe ? "job-status" : "book-job";
      auto turn = static_cast<double>(i * 7 % static_cast<std::size_t>(rate));
      for (const auto& sender : kSenders) {
        ask.customer = sender.customer;
        ask.plan = sender.plan;
        if ((turn -= sender.per_s) < 0) break;
      }
      return ask;
    };
    quotes_.pace(rate, milliseconds(1000), [&](std::size_t i) {
      if (i % 3 == 0) bookings_.send(ask_of(i, "book.example.org", false));
      return ask_of(i, "quote.example.org", true);
    });
  }

  static void show(const Client& client, std::size_t& seen) {
    const auto& all = client.results();
    const std::vector<Result> fresh(all.begin() + static_cast<std::ptrdiff_t>(seen), all.end());
    seen = all.size();
    std::size_t served = 0, refused = 0;
    for (const auto& result : fresh) {
      served += result.status == 200;
      refused += result.status == 429;
    }
    char text[64];
    std::snprintf(text, sizeof text, "%14zu %7zu %6zu %4.0f ms", served, refused,
                  fresh.size() - served - refused, percentile_ms(fresh, 0.99));
    std::printf("%-35s", text);
  }

  int end() {
    quotes_.finish();
    bookings_.finish();
    std::printf("\nby customer, as the gatekeeper counts it:\n%s", rig_.console("quotas").c_str());
    rig_.program->signal(SIGTERM);
    rig_.stage.play_until([&] { return !rig_.program->alive(); });
    const auto broken = rig_.rules.broken();
    std::printf("%zu requests, %zu rules broken\n", rig_.rules.asked_count(), broken.size());
    for (const auto& one : broken) std::printf("  %s\n", one.c_str());
    return broken.empty() ? 0 : 1;
  }

  Rig rig_;
  Client quotes_, bookings_;
  std::size_t seen_quotes_ = 0, seen_bookings_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: cranemux_demo PROGRAM\n");
    return 2;
  }
  return Demo(argv[1]).run();
}
