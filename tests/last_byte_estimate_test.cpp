// Since when the last byte of a body may have been written: never later than it was, and never while the
// client is known to have more to write.
#include "front/last_byte_estimate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace cranemux::front {
namespace {

using std::chrono::milliseconds;
using Time = LastByteEstimate::Time;
constexpr std::uint64_t kMega = std::uint64_t{1024} * 1024;

TEST(last_byte_estimate, is_none_while_more_is_missing_than_a_client_can_hold) {
  LastByteEstimate estimate;
  estimate.look(Time(milliseconds(0)), 2 * kMega, 10 * kMega, false);
  EXPECT_FALSE(estimate.since());
  estimate.look(Time(milliseconds(100)), 6 * kMega, 10 * kMega, false);
  EXPECT_EQ(estimate.since(), Time(milliseconds(100)));
  estimate.look(Time(milliseconds(900)), 6 * kMega, 10 * kMega, false);
  EXPECT_EQ(estimate.since(), Time(milliseconds(100)));
}

TEST(last_byte_estimate, begins_anew_once_all_that_came_is_read) {
  LastByteEstimate estimate;
  estimate.look(Time(milliseconds(0)), kMega, 2 * kMega, false);
  estimate.look(Time(milliseconds(500)), kMega + 10, 2 * kMega, true);
  EXPECT_EQ(estimate.since(), Time(milliseconds(500)));
}

// Without a length, what came later tells that the client was not done earlier.
TEST(last_byte_estimate, moves_on_with_what_comes_in_chunks) {
  LastByteEstimate estimate;
  for (int i = 0; i < 100; ++i)
    estimate.look(Time(milliseconds(100 * i)), static_cast<std::uint64_t>(i) * kMega, std::nullopt, false);
  EXPECT_EQ(estimate.since(), Time(milliseconds(95 * 100)));
}

// A client that writes as fast as its own buffer, of any size, lets it, to a machine that takes and reads at
// any pace: once its last byte is written, the estimate is no later than that.
RC_GTEST_PROP(last_byte_estimate, is_never_later_than_the_last_byte, (bool told)) {
  const auto size = *rc::gen::inRange<std::uint64_t>(1, 20 * kMega);
  const auto buffer = *rc::gen::inRange<std::uint64_t>(1, LastByteEstimate::kMostUnsent + 1);
  LastByteEstimate estimate;
  std::uint64_t written = 0, arrived = 0, read = 0;
  std::optional<Time> done;
  for (int turn = 0; turn < 400; ++turn) {
    const Time now{milliseconds(100 * turn)};
    const auto limit = std::min(size, arrived + buffer);
    written = std::max(written, std::min(limit, written + *rc::gen::inRange<std::uint64_t>(0, 2 * kMega)));
    if (written == size && !done) done = now;
    arrived = std::min(written, arrived + *rc::gen::inRange<std::uint64_t>(0, kMega));
    read = std::min(arrived, read + *rc::gen::inRange<std::uint64_t>(0, 2 * kMega));
    // What is read at once leaves the client's buffer empty.
    const bool all_read = read == arrived && arrived == written;
    if (arrived == size) break;
    estimate.look(now, arrived, told ? std::optional(size) : std::nullopt, all_read);
    if (!done) continue;
    RC_ASSERT(estimate.since().has_value());
    RC_ASSERT(*estimate.since() <= *done);
  }
}

}  // namespace
}  // namespace cranemux::front
