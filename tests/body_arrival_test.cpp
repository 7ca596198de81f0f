// When the last byte of a body counts as arrived, though it is not read yet.
#include "front/body_arrival.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cranemux::front {
namespace {

// A connection of which a part has been read; the rest lies in the kernel's buffer as it arrives.
class Connection {
 public:
  Connection(const http::Framing& framing, std::string text) : text_(std::move(text)), reader_(framing) {}
  void arrive(std::size_t count) { arrived_ = std::min(text_.size(), arrived_ + count); }
  void read(std::size_t count) {
    const auto piece = text_.substr(read_, std::min(count, arrived_ - read_));
    read_ += piece.size();
    pending_ += piece;
    std::string data;
    reader_.take(pending_, data);
  }
  bool look() {
    return arrival_.complete({reader_, pending_, read_, arrived_ - read_, [this] {
                                ++peeks;
                                return text_.substr(read_, arrived_ - read_);
                              }});
  }
  bool unread() const { return read_ < arrived_; }
  int peeks = 0;

 private:
  const std::string text_;
  http::BodyReader reader_;
  BodyArrival arrival_;
  std::string pending_;
  std::size_t arrived_ = 0, read_ = 0;
};

const http::Framing kChunked{http::Framing::Kind::chunked, 0};

std::string chunked(const std::vector<std::size_t>& sizes, const std::string& trailer) {
  std::string out;
  for (const auto size : sizes) {
    char line[20];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    out += line + std::string(size, '0') + "\r\n";
  }
  return out + "0\r\n" + trailer + "\r\n";
}

TEST(body_arrival, a_told_length_is_counted_and_nothing_is_looked_at) {
  Connection connection({http::Framing::Kind::length, 100}, std::string(150, 'b'));  // and a next request
  connection.arrive(60);
  connection.read(40);
  EXPECT_FALSE(connection.look());
  connection.arrive(39);
  EXPECT_FALSE(connection.look());
  connection.arrive(1);
  EXPECT_TRUE(connection.look());
  EXPECT_EQ(connection.peeks, 0);
}

TEST(body_arrival, what_can_be_no_body_is_not_waited_for) {
  Connection connection(kChunked, "5\r\nhello\r\nnonsense\r\n");
  connection.arrive(100);
  EXPECT_FALSE(connection.look());
  EXPECT_TRUE(connection.look());
}

// However a chunked body arrives and is read: its end is seen at the second look after it has come, not
// before, and what was looked at is not looked at again.
RC_GTEST_PROP(body_arrival, the_end_of_chunks_is_seen_once_it_is_here, ()) {
  const auto size = rc::gen::inRange<std::size_t>(1, 3000);
  const auto sizes = *rc::gen::container<std::vector<std::size_t>>(size);
  const auto text = chunked(sizes, *rc::gen::element<std::string>("", "Some: trailer\r\n"));
  Connection connection(kChunked, text);
  std::size_t arrived = 0;
  while (arrived < text.size()) {
    RC_ASSERT(!connection.look());
    RC_ASSERT(!connection.look());
    const auto looks = connection.peeks;
    RC_ASSERT(!connection.look());
    RC_ASSERT(connection.peeks == looks);
    const auto piece = std::min(text.size() - arrived, *rc::gen::inRange<std::size_t>(1, 4000));
    connection.arrive(piece);
    arrived += piece;
    if (arrived < text.size()) connection.read(*rc::gen::inRange<std::size_t>(0, 3000));
  }
  RC_ASSERT(connection.unread());
  RC_ASSERT(!connection.look());
  RC_ASSERT(connection.look());
}

}  // namespace
}  // namespace cranemux::front
