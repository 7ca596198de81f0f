// Log lines, and a reader of them that stalls.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>

#include "json/json.h"
#include "metrics/line_writer.h"
#include "metrics/logger.h"

namespace cranemux::metrics {
namespace {

struct Pipe {
  Pipe() { EXPECT_EQ(::pipe2(ends, O_CLOEXEC), 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string read() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string out;
    char piece[4096];
    for (ssize_t got; (got = ::read(ends[0], piece, sizeof piece)) > 0;)
      out.append(piece, static_cast<std::size_t>(got));
    return out;
  }
  int ends[2];
};

TEST(Log, LinesHaveASeverityTextAndFields) {
  Pipe pipe;
  Logger logger(pipe.ends[1]);
  logger.log(Level::debug, "not this one");
  logger.log(Level::info, "pool ", 7, Field{"pool", "quote"}, " drained");
  logger.log(Level::error, "no");
  EXPECT_EQ(pipe.read(), "info: pool 7 drained pool=quote\nerror: no\n");
  logger.set_level(Level::debug);
  logger.log(Level::debug, "now");
  EXPECT_EQ(pipe.read(), "debug: now\n");
}

TEST(Log, AsJsonEachLineIsOneObject) {
  Pipe pipe;
  Logger logger(pipe.ends[1], Level::info, LogForm::json);
  logger.log(Level::warning, "a \"quoted\"\nline", Field{"node", "n\\1"});
  auto text = pipe.read();
  ASSERT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  const auto line = json::parse(text);
  EXPECT_EQ(*line.find("severity")->string(), "warning");
  EXPECT_EQ(*line.find("message")->string(), "a \"quoted\"\nline");
  EXPECT_EQ(*line.find("node")->string(), "n\\1");
  EXPECT_EQ(line.find("time")->string()->size(), 24U);
}

TEST(Log, EachLoggerWritesItsOwnLinesOnly) {
  Pipe one, two;
  Logger a(one.ends[1]), b(two.ends[1]);
  a.log(Level::info, "a");
  b.log(Level::info, "b");
  EXPECT_EQ(one.read(), "info: a\n");
  EXPECT_EQ(two.read(), "info: b\n");
}

// A pipe that nobody reads: nothing blocks, memory is bounded, and what was lost is told once it flows again.
TEST(Log, AStalledReaderCostsLinesAndNothingElse) {
  Pipe pipe;
  ::fcntl(pipe.ends[1], F_SETPIPE_SZ, 4096);
  LineWriter writer(pipe.ends[1], 10'000);
  const std::string line(99, 'x');
  for (int i = 0; i < 1000; ++i) writer.line(line);
  EXPECT_TRUE(writer.pending());
  EXPECT_GT(writer.dropped(), 800U);
  EXPECT_LT(writer.dropped(), 900U);
  const auto dropped = writer.dropped();
  std::string got;
  for (int i = 0; i < 20; ++i) {
    got += pipe.read();
    writer.flush();
  }
  EXPECT_FALSE(writer.pending());
  EXPECT_EQ(got.size(), (1000 - dropped) * 100);  // whole lines, none torn
  writer.line("again");
  EXPECT_EQ(pipe.read(), "warning: " + std::to_string(dropped) + " log lines were dropped\nagain\n");
}

}  // namespace
}  // namespace cranemux::metrics
