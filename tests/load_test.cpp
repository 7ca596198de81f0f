// What a gatekeeper of a large fleet makes of its few answers.
#include "pool/load.h"

#include <gtest/gtest.h>

#include <random>

#include "pool/windows.h"

namespace cranemux::pool {
namespace {

struct Answers {
  // By how much windows change over so many answers with exponential times of this mean.
  double play(Load& load, double mean, int count) {
    double factor = 1;
    for (int i = 0; i < count; ++i) factor *= load.change(std::exponential_distribution(1 / mean)(random));
    return factor;
  }
  std::mt19937_64 random{11};
};

// Whatever the site's answers take, as long as they take what they always take.
TEST(Load, UsualAnswersOpenWindows) {
  for (const double mean : {0.02, 0.2, 0.45, 0.8}) {
    Answers answers;
    Load load;
    for (int i = 0; i < 50; ++i) EXPECT_GE(answers.play(load, mean, 200), 1) << mean;
  }
}

TEST(Load, SlowerOnesCloseThemAndTheyOpenAgain) {
  for (int seed = 0; seed < 10; ++seed) {
    Answers answers{std::mt19937_64(static_cast<unsigned>(seed))};
    Load load;
    answers.play(load, 0.3, 100);
    EXPECT_LT(answers.play(load, 0.9, 60), 0.2) << seed;
    EXPECT_GT(answers.play(load, 0.3, 120), 2) << seed;
  }
}

TEST(Load, NothingAtAllIsNoAnswerOfNoTime) {
  Load load;
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(std::isfinite(load.change(0)));
}

TEST(Windows, AreScaledOnlyWhereTheyAreUsedAndNeverToNothing) {
  const Windows windows(100);
  ASSERT_TRUE(windows.together());
  std::vector<Server> servers(60);
  for (auto& server : servers) server.window = windows.first();
  const auto sum = Windows::in_use(servers).windows;
  Windows::scale(servers, 1.03);
  EXPECT_EQ(Windows::in_use(servers).windows, sum);  // one in use would be enough
  servers[0].open = 5;
  Windows::scale(servers, 1.03);
  EXPECT_GT(Windows::in_use(servers).windows, sum);
  for (int i = 0; i < 1000; ++i) Windows::scale(servers, 0.92);
  EXPECT_GT(Windows::in_use(servers).windows, 0.9);
  EXPECT_FALSE(Windows(2).together());
}

}  // namespace
}  // namespace cranemux::pool
