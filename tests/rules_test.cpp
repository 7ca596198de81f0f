// The checker of the rules must see each rule broken, or its silence proves nothing.
#include "testing/rules.h"

#include <gtest/gtest.h>

namespace cranemux::testing {
namespace {

using std::chrono::milliseconds;
const Rules::Time kStart{std::chrono::hours(1)};

Rules::Time at(int ms) { return kStart + milliseconds(ms); }

// One booking that goes as it should.
Rules sound() {
  Rules rules;
  rules.asked("a", false, "c", 2, at(0), milliseconds(1000));
  rules.begun("a", "n", at(10));
  rules.ran("a");
  rules.over("a", at(50));
  rules.answered("a", 200, at(51));
  return rules;
}

std::string only(const Rules& rules) {
  const auto broken = rules.broken();
  return broken.size() == 1 ? broken[0] : std::to_string(broken.size()) + " broken";
}

TEST(Rules, ASoundRunBreaksNone) { EXPECT_TRUE(sound().broken().empty()); }

TEST(Rules, EachIsSeenWhenItIsBroken) {
  auto rules = sound();
  rules.asked("b", true, "c", 1, at(0), milliseconds(500));
  EXPECT_EQ(only(rules), "b has no final answer");
  rules.answered("b", 429, at(2000));
  EXPECT_EQ(only(rules), "b was answered past its deadline");

  rules = sound();
  rules.asked("b", true, "c", 1, at(0), milliseconds(500));
  rules.asked("d", true, "c", 1, at(0), milliseconds(500));
  rules.lost_with_process("d");  // and no other one
  EXPECT_EQ(only(rules), "b has no final answer");
  rules.answered("b", 200, at(9));
  rules.begun("b", "n", at(1));
  rules.ran("b");
  rules.over("b", at(8));
  EXPECT_TRUE(rules.broken().empty());
  rules.begun("f1", "n", at(1));
  EXPECT_EQ(only(rules), "f1 has no final answer");
  rules.set_untold("f");
  EXPECT_TRUE(rules.broken().empty());
  rules.answered("d", 429, at(2000));
  EXPECT_EQ(only(rules), "d was answered past its deadline");

  rules = sound();
  rules.asked("b", true, "c", 1, at(0), milliseconds(500));
  rules.left("b", at(1));
  rules.served("a", "n a");
  rules.served("a", "short");
  EXPECT_TRUE(rules.broken().empty());
  rules.served("a", "n b");
  EXPECT_EQ(only(rules), "a got the answer to b");

  rules = sound();
  rules.answered("a", 200, at(60));
  EXPECT_EQ(only(rules), "a has 2 answers");

  rules = sound();
  rules.begun("a", "m", at(60));
  rules.ran("a");
  EXPECT_EQ(only(rules), "a may not be repeated and ran 2 times");

  rules = sound();
  rules.asked("b", true, "c", 1, at(0), milliseconds(500));
  rules.begun("b", "n", at(1));
  rules.begun("b", "m", at(2));
  rules.ran("b");
  rules.answered("b", 200, at(9));
  EXPECT_EQ(only(rules), "b had two call attempts out at once");

  rules = sound();
  rules.asked("b", true, "c", 1, at(0), milliseconds(500));
  rules.answered("b", 200, at(9));
  EXPECT_EQ(only(rules), "b was served and never ran");

  rules = Rules();
  rules.asked("a", false, "c", 2, at(0), milliseconds(1000));
  rules.begun("a", "n", at(10));
  rules.ran("a");
  rules.answered("a", 429, at(51));
  EXPECT_EQ(only(rules), "a ran and was called harmless to repeat");

  rules = sound();
  rules.drained("n", at(5));
  EXPECT_TRUE(rules.broken().empty());  // within the grace
  rules = sound();
  rules.drained("n", at(-2000));
  EXPECT_EQ(only(rules), "a was sent to n past its drain's grace");
  rules.serves("n", at(-100));
  EXPECT_TRUE(rules.broken().empty());
}

// Whoever has left is owed no answer, and nothing is sent on for it any more.
TEST(Rules, WhoLeavesIsOwedNoAnswerAndNoAttempt) {
  Rules rules;
  rules.asked("a", true, "c", 1, at(0), milliseconds(1000));
  rules.left("a", at(100));
  EXPECT_TRUE(rules.broken().empty());
  rules.begun("a", "n", at(400));
  EXPECT_TRUE(rules.broken().empty());  // 0.1 s and the checker's slack
  rules.over("a", at(410));
  rules.begun("a", "n", at(500));
  EXPECT_EQ(only(rules), "a was sent on after its client had left");
}

TEST(Rules, TheWindowOfTheLargestExcessIsTold) {
  Rules rules;
  for (int i = 0; i < 8; ++i) {
    const auto id = std::to_string(i);
    const int ms = i < 2 ? 0 : 1000 * i;  // two at once, then one each second
    rules.asked(id, true, "c", 1, at(ms), milliseconds(500));
    rules.begun(id, "n", at(ms));
  }
  const auto worst = rules.worst_excess("c", 0.5, 1);
  EXPECT_DOUBLE_EQ(worst.units, 8 - 0.5 * 7 - 1);
  EXPECT_EQ(worst.from, at(0));
  EXPECT_EQ(worst.until, at(7000));
}

TEST(Rules, QuotasAreCountedAgainstAPerfectStore) {
  Rules rules;
  for (int i = 0; i < 10; ++i) {
    const auto id = std::to_string(i);
    rules.asked(id, true, "c", 1, at(i * 100), milliseconds(500));
    rules.begun(id, "n", at(i * 100));
    rules.begun(id, "m", at(i * 100 + 1));  // a further attempt of the same try takes nothing
  }
  EXPECT_DOUBLE_EQ(rules.beyond_quota("c", 0, 4), 6);
  EXPECT_DOUBLE_EQ(rules.beyond_quota("c", 10.1, 1), 0);
  EXPECT_DOUBLE_EQ(rules.beyond_quota("else", 0, 0), 0);
}

}  // namespace
}  // namespace cranemux::testing
