// Bodies of any size, read as they come: every framing, in pieces of every size.
#include <gtest/gtest.h>

#include "http/http.h"

namespace cranemux::http {
namespace {

using State = BodyReader::State;
constexpr Framing kChunked{Framing::Kind::chunked};

// Feeds `text` in pieces of `piece` bytes; returns the state at the end.
State feed(const Framing& framing, std::string_view text, std::size_t piece, std::string& body,
           std::string& rest, bool ends = false) {
  BodyReader reader(framing);
  auto state = State::more;
  std::string in;
  for (std::size_t at = 0; at < text.size() && state == State::more; at += piece) {
    in += text.substr(at, piece);
    state = reader.take(in, body);
    if (state != State::more && at + piece < text.size()) in += text.substr(at + piece);
  }
  if (state == State::more && ends) state = reader.take(in, body, true);
  rest = in;
  return state;
}

TEST(http_body, each_framing_in_pieces_of_each_size) {
  const std::string data(1000, 'd');
  const std::string chunks = "3e8;name=\"v\"\r\n" + data + "\r\n5\r\nhello\r\n0\r\nTrailer: x\r\n\r\nNEXT";
  for (std::size_t piece = 1; piece <= chunks.size(); piece += piece < 20 ? 1 : 97) {
    std::string body, rest;
    EXPECT_EQ(feed(kChunked, chunks, piece, body, rest), State::done) << piece;
    EXPECT_EQ(body, data + "hello");
    EXPECT_EQ(rest, "NEXT");
    body.clear();
    EXPECT_EQ(feed({Framing::Kind::length, 1000}, data + "NEXT", piece, body, rest), State::done);
    EXPECT_EQ(body, data);
    EXPECT_EQ(rest, "NEXT");
    body.clear();
    EXPECT_EQ(feed({Framing::Kind::until_end}, data, piece, body, rest, true), State::done);
    EXPECT_EQ(body, data);
  }
}

TEST(http_body, what_ends_early_is_bad) {
  std::string body, rest;
  EXPECT_EQ(feed({Framing::Kind::length, 10}, "123456789", 3, body, rest, true), State::bad);
  for (const auto* text : {"", "5", "5\r\n", "5\r\nhello", "5\r\nhello\r\n", "5\r\nhello\r\n0\r\n"}) {
    body.clear();
    EXPECT_EQ(feed(kChunked, text, 1, body, rest, true), State::bad) << text;
  }
}

TEST(http_body, what_is_malformed_is_bad) {
  for (const std::string& text :
       {std::string("g\r\n"), std::string("-1\r\n"), std::string("\r\n"), std::string("5 5\r\nhello\r\n"),
        std::string("5\r\nhelloX\r\n"), std::string("ffffffffffffffffff\r\n"), std::string(300, '1'),
        "5;" + std::string(300, 'x') + "\r\nhello\r\n0\r\n\r\n", "0\r\n" + std::string(20'000, 't')}) {
    for (const std::size_t piece : {std::size_t{1}, text.size()}) {
      std::string body, rest;
      EXPECT_EQ(feed(kChunked, text, piece, body, rest), State::bad) << text.substr(0, 30);
    }
  }
}

// A size line of just the bound, in pieces that part its end.
TEST(http_body, a_size_line_at_its_bound) {
  const auto text = "5;" + std::string(254, 'x') + "\r\nhello\r\n0\r\n\r\n";
  for (const std::size_t piece : {std::size_t{1}, std::size_t{257}, text.size()}) {
    std::string body, rest;
    EXPECT_EQ(feed(kChunked, text, piece, body, rest), State::done) << piece;
    EXPECT_EQ(body, "hello");
  }
}

// It holds nothing back: what has come of a chunk is handed on.
TEST(http_body, a_part_of_a_chunk_is_handed_on) {
  BodyReader reader(kChunked);
  std::string in = "100000\r\nabc", body;
  EXPECT_EQ(reader.take(in, body), State::more);
  EXPECT_EQ(body, "abc");
  EXPECT_TRUE(in.empty());
}

TEST(http_body, framing) {
  const auto of = [](const std::string& text, Kind kind, int& status) {
    Message head;
    EXPECT_EQ(parse_head(text, kind, head).state, http::State::whole);
    return framing(head, kind, status);
  };
  int status = 0;
  EXPECT_EQ(of("GET / HTTP/1.1\r\n\r\n", Kind::request, status), Framing{});
  EXPECT_EQ(of("GET / HTTP/1.1\r\nContent-Length: 7\r\n\r\n", Kind::request, status),
            (Framing{Framing::Kind::length, 7}));
  EXPECT_EQ(of("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Kind::request, status), kChunked);
  EXPECT_FALSE(
      of("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n", Kind::request, status));
  EXPECT_EQ(status, 400);
  EXPECT_FALSE(of("GET / HTTP/1.1\r\nContent-Length: 7\r\nContent-Length: 8\r\n\r\n", Kind::request, status));
  EXPECT_FALSE(of("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", Kind::request, status));
  EXPECT_EQ(status, 501);
  EXPECT_EQ(of("HTTP/1.1 204 No\r\nContent-Length: 7\r\n\r\n", Kind::response, status), Framing{});
  EXPECT_EQ(of("HTTP/1.1 304 No\r\n\r\n", Kind::response, status), Framing{});
  EXPECT_EQ(of("HTTP/1.1 200 OK\r\n\r\n", Kind::response, status), (Framing{Framing::Kind::until_end}));
}

}  // namespace
}  // namespace cranemux::http
