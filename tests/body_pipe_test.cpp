#include "attempt/body_pipe.h"

#include <gtest/gtest.h>

namespace cranemux::attempt {
namespace {

TEST(body_pipe, flows_and_knows_its_end) {
  BodyPipe pipe({}, 100);
  EXPECT_FALSE(pipe.length());
  pipe.put("hello ");
  EXPECT_EQ(pipe.take(3), "hel");
  pipe.put("world");
  EXPECT_EQ(pipe.take(100), "lo world");
  EXPECT_EQ(pipe.take(100), "");
  EXPECT_FALSE(pipe.ended());
  pipe.end();
  EXPECT_TRUE(pipe.ended());
  EXPECT_EQ(pipe.length(), 11U);
  pipe.break_off();  // after its end it is whole all the same
  EXPECT_FALSE(pipe.broken());
}

// It is full by what has not gone on; what has gone makes room, and cannot be had again then.
TEST(body_pipe, is_repeated_only_while_all_is_held) {
  BodyPipe pipe(20, 10);
  int room = 0;
  pipe.on_room = [&] { ++room; };
  pipe.put("0123456789");
  EXPECT_TRUE(pipe.full());
  EXPECT_EQ(pipe.take(4), "0123");
  EXPECT_EQ(room, 1);
  EXPECT_TRUE(pipe.rewind());
  EXPECT_EQ(pipe.take(4), "0123");
  pipe.put("abcd");
  EXPECT_FALSE(pipe.repeatable());
  EXPECT_FALSE(pipe.rewind());
  EXPECT_EQ(pipe.held(), 10U);
  EXPECT_EQ(pipe.take(100), "456789abcd");
  EXPECT_EQ(pipe.length(), 20U);
}

TEST(body_pipe, says_that_it_is_broken) {
  BodyPipe pipe(20, 10);
  int more = 0;
  pipe.on_more = [&] { ++more; };
  pipe.put("x");
  pipe.break_off();
  EXPECT_EQ(more, 2);
  EXPECT_TRUE(pipe.broken());
  EXPECT_FALSE(pipe.ended());
}

}  // namespace
}  // namespace cranemux::attempt
