// Tests of the checks of settings: all faults are reported at once, each with its key and what is allowed.
#include "config/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cranemux::config {
namespace {

// Valid settings in three forms (0 to 2), which differ in how requests may be repeated and in the plan's
// limits.
Fields valid_settings(int form) {
  Fields f{{"balancers", "3"},
           {"index", "1"},
           {"caps.most-tries", "4"},
           {"specifics.most-units", "6"},
           {"specifics.mail-per-s", "40"},
           {"invariants.drain-grace-ns", form == 0 ? "1000000000" : "250000000"},
           {"invariants.cold-from", "0.15"},
           {"invariants.warm-up-ns", "14000000000"},
           {"classes.count", "2"},
           {"classes.0.name", form == 1 ? "page-read" : "look"},
           {"classes.0.goal-time-ns", "250000000"},
           {"classes.0.give-up-ns", "600000000"},
           {"classes.0.semantics", "free"},
           {"classes.1.name", "push"},
           {"classes.1.goal-time-ns", "750000000"},
           {"classes.1.give-up-ns", "3000000000"},
           {"classes.1.semantics", form == 0 ? "single_shot" : "guarded"},
           {"contracts.count", "1"},
           {"contracts.0.name", "campus"},
           {"contracts.0.per-second", "8.5"},
           {"contracts.0.peak-units", "20"}};
  if (form > 0) {
    f["classes.1.dedup-scope"] = form == 1 ? "cell" : "zone";
    f["classes.1.memory-span-ns"] = form == 1 ? "3000000000" : "400000000";
    f["contracts.0.at-once"] = "3";
    f["contracts.0.ceiling-rate"] = "17";
    f["contracts.0.cap-depth"] = "40";
    f["contracts.0.tolerance"] = "6";
  }
  return f;
}

TEST(SettingsFaults, ValidSettingsHaveNone) {
  for (int form = 0; form < 3; ++form)
    EXPECT_TRUE(faults_of(parse_settings(valid_settings(form))).empty()) << form;
}

TEST(SettingsFaults, EachNamesItsKey) {
  const std::vector<std::pair<std::string, std::string>> invalid = {{"balancers", "0"},
                                                                    {"index", "3"},
                                                                    {"index", "-1"},
                                                                    {"caps.most-tries", "0"},
                                                                    {"specifics.most-units", "0"},
                                                                    {"specifics.most-units", "nan"},
                                                                    {"specifics.mail-per-s", "-1"},
                                                                    {"invariants.drain-grace-ns", "-5"},
                                                                    {"invariants.cold-from", "1.5"},
                                                                    {"invariants.warm-up-ns", "-1"},
                                                                    {"classes.0.name", ""},
                                                                    {"classes.0.goal-time-ns", "0"},
                                                                    {"classes.0.late-share", "1.1"},
                                                                    {"classes.0.points", "-1"},
                                                                    {"classes.0.points", "inf"},
                                                                    {"classes.1.name", "look"},
                                                                    {"classes.1.memory-span-ns", "0"},
                                                                    {"contracts.0.name", ""},
                                                                    {"contracts.0.per-second", "-1"},
                                                                    {"contracts.0.per-second", "nan"},
                                                                    {"contracts.0.peak-units", "0"},
                                                                    {"contracts.0.at-once", "-1"},
                                                                    {"contracts.0.ceiling-rate", "2"},
                                                                    {"contracts.0.cap-depth", "0"},
                                                                    {"contracts.0.tolerance", "-1"},
                                                                    {"contracts.0.pays", "-1"},
                                                                    {"contracts.0.over-worth", "-1"},
                                                                    {"contracts.0.excess-cost", "inf"}};
  for (const auto& [key, value] : invalid) {
    auto fields = valid_settings(2);
    fields[key] = value;
    const auto faults = faults_of(parse_settings(fields));
    ASSERT_GE(faults.size(), 1U) << key << "=" << value;
    const bool named = std::any_of(faults.begin(), faults.end(),
                                   [&, name = key](const auto& f) { return f.starts_with(name + ": "); });
    EXPECT_TRUE(named) << key << "=" << value << " gave " << faults.front();
    EXPECT_THROW(DecisionModule{parse_settings(fields)}, std::invalid_argument) << key;
  }
}

TEST(SettingsFaults, AllAreReportedAtOnce) {
  auto fields = valid_settings(1);
  fields["classes.1.memory-span-ns"] = "0";
  fields["contracts.0.cap-depth"] = "0";
  fields["index"] = "9";
  EXPECT_EQ(faults_of(parse_settings(fields)).size(), 3U);
}

}  // namespace
}  // namespace cranemux::config
