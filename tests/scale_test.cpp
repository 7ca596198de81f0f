// Results, scenario files and slopes of the scale runs: what is read back is what was written, and what is
// wrong is named where it stands.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <bit>
#include <cmath>
#include <tuple>

#include "scale/fit.h"
#include "scale/results.h"
#include "scale/scenario.h"

namespace cranemux::scale {
namespace {

constexpr std::uint64_t kMemory = 8'000'000'000;

std::string fault_of(const auto& call) {
  try {
    call();
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return {};
}

std::string lines_of(const std::vector<std::string>& faults) {
  std::string out;
  for (const auto& fault : faults) out += fault + "\n";
  return out;
}

std::string fault_of_scenario(const std::string& text) {
  return fault_of([&] { read_scenario("s.yaml", text, kMemory); });
}

Row row(std::string run, double gatekeepers, double value, std::uint64_t seed = 1) {
  Row out;
  out.commit = "c0ffee";
  out.seed = seed;
  out.kind = "hollow";
  out.run = std::move(run);
  out.gatekeepers = gatekeepers;
  out.measure = "mail";
  out.unit = "messages";
  out.value = value;
  return out;
}

Slope slope(std::string name, std::string run, std::string against) {
  Slope out;
  out.name = std::move(name);
  out.measure = "mail";
  out.run = std::move(run);
  out.kind = "hollow";
  out.unit = "messages";
  out.against = std::move(against);
  return out;
}

RC_GTEST_PROP(Results, EveryDoubleComesBackAndNoCutFileIsTaken, ()) {
  std::vector<Row> rows;
  for (const auto bits : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
    const auto value = std::bit_cast<double>(bits);
    if (std::isfinite(value)) rows.push_back(row("r", *rc::gen::inRange(1, 2000), value, bits));
  }
  const auto text = write_rows(rows);
  const auto back = read_rows("r.csv", text);
  RC_ASSERT(back.size() == rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    RC_ASSERT(line_of(back[i]) == line_of(rows[i]));
    RC_ASSERT(std::bit_cast<std::uint64_t>(back[i].value) == std::bit_cast<std::uint64_t>(rows[i].value));
    RC_ASSERT(back[i].seed == rows[i].seed);
  }
  const auto left = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!fault_of([&] { read_rows("r.csv", text.substr(0, left)); }).empty());
}

TEST(Results, NamesFileLineAndColumn) {
  const auto head = std::string(kHeader) + "\n";
  const auto fault = [](const std::string& text) { return fault_of([&] { read_rows("r.csv", text); }); };
  EXPECT_EQ(fault(head + "c,1,hollow,r,1,1,1,1,1,1,m,u,1.2x\n# end, 1 rows\n"),
            "r.csv:2: value: \"1.2x\" is no number; run scale/run again");
  EXPECT_EQ(fault(head + "c,-1,hollow,r,1,1,1,1,1,1,m,u,1\n# end, 1 rows\n"),
            "r.csv:2: seed: \"-1\" is no number; run scale/run again");
  EXPECT_EQ(fault(head + "c,1,hollow,r,1,1,1,1,1,1,m,1\n# end, 1 rows\n"),
            "r.csv:2: has 12 fields, not the header's 13; run scale/run again");
  EXPECT_EQ(fault(head + "c,1,hollow,r,1,1,1,1,1,1,m,u,1\n# end, 2 rows\n"),
            "r.csv:3: the file is cut short: its last line must be `# end, 1 rows`; run scale/run again");
  EXPECT_NE(fault(head + "# end, 0 rows").find("r.csv:2: the file is cut short"), std::string::npos);
  EXPECT_NE(fault("commit,seed\n# end, 0 rows\n").find("r.csv:1: the header must be"), std::string::npos);
  EXPECT_THROW(line_of(row("a,b", 1, 1)), std::invalid_argument);
  EXPECT_THROW(line_of(row("a", 1, std::nan(""))), std::invalid_argument);
}

TEST(ScenarioFile, ReadsEveryKey) {
  const auto s = read_scenario("s.yaml", R"(
{name: big, gatekeepers: 40, workers: 80, services: 2, customers: 500, requests_per_s: 900.5, warm: 2s, time: 1m,
 seed: 18446744073709551615, spread: {least: 0.25, most: 0.75}, zipf: 1.1, full: 0.1, heavy: 0.2, spiky: 0.3,
 retries: 1, work: 20ms, regions: 2, zones: 4, delays: {zone: 500us, region: 2ms, cross: 40ms, jitter: 5ms},
 loss: {zone: 0.1, region: 0.2, cross: 0.3}, mail_in_per_s: 50, control_machines: 3,
 faults: [{kind: restart, at: 3s, for: 1s, gatekeepers: 4}, {kind: kill_keepers, at: 4s, customer: 7},
          {kind: zone_lost, at: 5s, for: 2s, zone: 3}, {kind: regions_cut, at: 6s, for: 3s}]})",
                               kMemory);
  EXPECT_EQ(std::tie(s.name, s.gatekeepers, s.workers, s.services, s.customers, s.requests_per_s),
            std::make_tuple("big", 40, 80, 2, 500, 900.5));
  EXPECT_EQ(std::tie(s.warm_s, s.seconds, s.seed, s.least_spread, s.most_spread, s.zipf),
            std::make_tuple(2, 60, 18446744073709551615U, 0.25, 0.75, 1.1));
  EXPECT_EQ(std::tie(s.full, s.heavy, s.spiky, s.retries, s.work_ms, s.regions, s.zones),
            std::make_tuple(0.1, 0.2, 0.3, 1, 20, 2, 4));
  EXPECT_EQ(std::tie(s.zone_ms, s.region_ms, s.cross_ms, s.jitter_ms), std::make_tuple(0.5, 2, 40, 5));
  EXPECT_EQ(std::tie(s.zone_loss, s.region_loss, s.cross_loss, s.mail_in_per_s, s.control_machines),
            std::make_tuple(0.1, 0.2, 0.3, 50, 3));
  ASSERT_EQ(s.faults.size(), 4U);
  EXPECT_EQ(std::tie(s.faults[0].at_s, s.faults[0].for_s, s.faults[0].gatekeepers), std::make_tuple(3, 1, 4));
  EXPECT_EQ(s.faults[1].customer, 7);
  EXPECT_EQ(s.faults[2].zone, 3);
  EXPECT_EQ(s.faults[3].kind, FaultKind::regions_cut);
  const Scenario plain;
  EXPECT_EQ(read_scenario("s.yaml", "name: a", kMemory).customers, plain.customers);
}

TEST(ScenarioFile, NamesSeveralFaultsAtOnce) {
  EXPECT_EQ(
      fault_of_scenario("name: a\ngatekeeper: 3\nzones: 31\nwork: 55\nservices: 1.5\nseed: -1\n"
                        "faults: [{kind: zone_lost, at: 41s, for: 1s, zone: 40}, {kind: flood, at: 1s}]"),
      "s.yaml:2:1: gatekeeper: there is no such key here (there are name, gatekeepers, workers, services, "
      "customers, requests_per_s, warm, time, seed, spread, zipf, full, heavy, spiky, retries, work, "
      "regions, zones, delays, loss, mail_in_per_s, control_machines, faults)\n"
      "s.yaml:3:8: zones: must be a whole number from 1 to 30, the gatekeepers\n"
      "s.yaml:4:7: work: must be a time with its unit, such as 250ms, 1.5s or 2m\n"
      "s.yaml:5:11: services: must be a whole number from 1 to 60, the workers\n"
      "s.yaml:6:7: seed: must be a whole number from 0 to 18446744073709551615\n"
      "s.yaml:7:32: faults[0].at: must lie within 0s and 40s\n"
      "s.yaml:7:52: faults[0].zone: must be a whole number from 0 to 29, a zone\n"
      "s.yaml:7:64: faults[1].kind: must be restart, kill_keepers, zone_lost or regions_cut");
  EXPECT_EQ(fault_of_scenario("name: a\nspread: {least: 0.5, most: 0.2}\nfull: 0.9\nspiky: 0.2\nwarm: 2h"),
            "s.yaml:2:9: spread: least, 0.5, must not be above most, 0.2\n"
            "s.yaml:4:8: spiky: full, heavy and spiky are 1.2 together, and must be 1 at the most\n"
            "s.yaml:5:7: warm: must lie within 0s and 3600s");
  EXPECT_EQ(fault_of_scenario("name: [").substr(0, 7), "s.yaml:");
}

TEST(ScenarioFile, RefusesWhatMemoryWouldNotHold) {
  EXPECT_EQ(
      fault_of_scenario("name: a\ngatekeepers: 2000\nworkers: 20000\nservices: 100"),
      "s.yaml:2:14: gatekeepers: all sizes together take about 14.05 GB, and half of this machine's "
      "memory is 4 GB: lower gatekeepers, services or workers (14 GB), customers or spread (0.0432 GB), "
      "requests_per_s or time (0.00288 GB)");
  EXPECT_EQ(fault_of_scenario("name: a\ngatekeepers: 2000\nworkers: 2000\nservices: 50"), "");
}

RC_GTEST_PROP(Fits, RecoverALine, ()) {
  const double a = *rc::gen::inRange(-1000, 1000), b = *rc::gen::inRange(-1000, 1000) / 8.0;
  const int points = *rc::gen::inRange(3, 10), step = *rc::gen::inRange(1, 50);
  std::vector<Row> rows{row("other", 1, 1e9)};
  for (int i = 1; i <= points; ++i) {  // two seeds, off by as much to either side
    rows.push_back(row("r", i * step, a + b * i * step + 7, 1));
    rows.push_back(row("r", i * step, a + b * i * step - 7, 2));
  }
  const auto found = fit(slope("s", "r", "gatekeepers"), rows);
  RC_ASSERT(std::abs(found.value - b) < 1e-6 && std::abs(found.at_zero - a) < 1e-6);
  RC_ASSERT(found.error < 1e-6 && found.points == static_cast<std::size_t>(points));
  RC_ASSERT(found.least_x == step && found.most_x == step * points);
}

TEST(Fits, SayHowFarTheyAreOff) {
  const std::vector<Row> rows{row("r", 0, 1), row("r", 1, 3), row("r", 2, 2), row("r", 3, 4)};
  const auto line =
      fit(slope("s", "r", "gatekeepers"), rows);  // by hand: 1.3 + 0.8 x, residuals 0.3 0.9 0.9 0.3
  EXPECT_NEAR(line.value, 0.8, 1e-12);
  EXPECT_NEAR(line.at_zero, 1.3, 1e-12);
  EXPECT_NEAR(line.error, std::sqrt(1.8 / 2 / 5), 1e-12);
  EXPECT_NEAR(line.r2, 1 - 1.8 / 5, 1e-12);
  EXPECT_NEAR(line.off, 0.45, 1e-12);
  const auto figure = fit(slope("f", "r", ""), rows);
  EXPECT_NEAR(figure.value, 2.5, 1e-12);
  EXPECT_NEAR(figure.error, std::sqrt(5.0 / 3), 1e-12);
  auto fixed = slope("w", "r", "");
  fixed.where = {{"gatekeepers", 3}};
  EXPECT_EQ(fit(fixed, rows).value, 4);
  fixed.unit = "bytes";
  EXPECT_EQ(
      fault_of([&] { fit(fixed, rows); }),
      "w: there are rows in messages, not in bytes, of measure mail, run r, kind hollow, gatekeepers 3");
  EXPECT_EQ(
      fault_of([&] { fit(slope("s", "r", "workers"), rows); }),
      "s: needs rows at 3 sizes of workers, and there are 1; run scale/run at more, or mend its definition");
  EXPECT_EQ(
      fault_of([&] {
        fit_all({slope("s", "r", "gatekeepers"), slope("f", "x", ""), slope("g", "y", "")}, rows);
      }),
      "f: there are no rows of measure mail, run x, kind hollow; run scale/run, or mend its definition\n"
      "g: there are no rows of measure mail, run y, kind hollow; run scale/run, or mend its definition");
  EXPECT_NE(describe({line, figure})
                .find("| s | 0.8 ± 0.4243 | messages | 1.3 | 0.64 | 45% | 4 sizes, 0 to 3 "
                      "gatekeepers |  |\n| f | 2.5 ± 1.291 | messages | | | | 4 rows |  |"),
            std::string::npos);
}

TEST(Slopes, AreReadAndFaultsNamed) {
  const auto read =
      read_slopes("l.yaml",
                  "slopes:\n- {name: s, measure: mail, run: r, kind: hollow, against: workers,\n"
                  "   where: {gatekeepers: 30}, unit: messages, text: Mail.}");
  ASSERT_EQ(read.size(), 1U);
  EXPECT_EQ(read[0].against, "workers");
  EXPECT_EQ(read[0].where.at("gatekeepers"), 30);
  EXPECT_EQ(
      fault_of([] { read_slopes("l.yaml", "slopes:\n- {name: S, measure: m, run: r, kind: h, unit: u}"); }),
      "l.yaml:2:3: slopes[0].text: missing\nl.yaml:2:10: slopes[0].name: must be made of a-z, 0-9 and _\n"
      "l.yaml:2:39: slopes[0].kind: must be hollow, process or parts");
}

TEST(Page, FindsEachKindOfFault) {
  const std::vector<Row> rows{row("r", 1, 2), row("r", 2, 4), row("r", 3, 6)};
  const std::vector<Slope> slopes{slope("s", "r", "gatekeepers"), slope("f", "r", ""),
                                  slope("gone", "x", "")};
  const auto faults = [&](const std::string& text) {
    return lines_of(check_page("p.md", text, slopes, rows));
  };
  const std::string good = "| `{s = 2 ± 0.1 messages}` | `{f = 4.1 +- 0.2 messages}` |\n";
  const std::string gone =
      "p.md: gone: is not mentioned: state {gone = VALUE ± ERROR messages}, or drop its definition\n";
  EXPECT_EQ(faults(good + "`{least, most}`\n```\n`{s = 9 ± 0 x}`\n```\n"), gone);
  EXPECT_EQ(faults(good + "`{gone = 1 ± 0.1 messages}`"),
            "p.md:2: gone: there are no rows of measure mail, run x, kind hollow; run scale/run, or mend its "
            "definition\n");
  EXPECT_EQ(faults(good + "`{t = 1 ± 0.1 s}`"), "p.md:2: t: has no definition among the slopes\n" + gone);
  EXPECT_EQ(faults(good + "`{s = 2.3 ± 0.2 messages}`"),
            "p.md:2: s: states 2.3 and is off by more than its error: the runs give 2 ± 0 messages\n" + gone);
  EXPECT_EQ(faults(good + "`{s = 2 ± 1.1 messages}`"),
            "p.md:2: s: the error is above half of the value: measure more, or state it as unknown\n" + gone);
  EXPECT_EQ(faults(good + "`{s = 2 ± 0.1 bytes}`"), "p.md:2: s: is in messages, not in bytes\n" + gone);
  EXPECT_EQ(
      faults(good + "`{s = 2 messages}`"),
      "p.md:2: {s = 2 messages}: must read {name = VALUE ± ERROR UNIT}, as in {x = 2 ± 0.1 s}\n" + gone);
  EXPECT_EQ(check_page("p.md", "", slopes, rows).size(), 3U);
}

}  // namespace
}  // namespace cranemux::scale
