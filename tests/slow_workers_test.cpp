// Workers that write a long answer slowly, or read a long request slowly: nothing is cut off that still
// comes, and the final answer comes in time.
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "testing/site.h"
#include "testing/slow_worker.h"
#include "testing/wire.h"

namespace cranemux::testing {
namespace {

constexpr std::size_t kMega = std::size_t{1024} * 1024, kPiece = kMega / 50;  // bytes
constexpr milliseconds kInTime{4550};  // the request's time and half a second

class slow_workers : public ::testing::Test {
 protected:
  slow_workers() : site(std::getenv("CRANEMUX_PROGRAM")), worker(site.stage) {
    site.elsewhere["one"] = worker.address();
  }
  void TearDown() override { EXPECT_TRUE(site.life().program->alive()) << site.log(0); }
  // So many pieces, one after each pause, as `frame` writes them.
  template <typename Frame>
  void writes(const std::string& head, std::size_t pieces, milliseconds every, const Frame& frame,
              const std::string& end = {}) {
    worker.answer = {{milliseconds(20), head}};
    for (std::size_t i = 0; i < pieces; ++i)
      worker.answer.push_back({every, frame(std::string(kPiece, 'a'))});
    worker.answer.push_back({milliseconds(0), end});
  }
  // A booking, which may not be sent again.
  void ask() {
    wire = std::make_unique<Wire>(site.stage, site.port);
    wire->send(request("slow", "Content-Length: 0\r\n", false));
  }
  void expect_whole(std::size_t size) {
    ask();
    EXPECT_TRUE(wire->answer(body)) << body.size() << " of " << size;
    EXPECT_EQ(wire->status, 200);
    EXPECT_EQ(body.size(), size);
  }

  Site site;
  SlowWorker worker;
  std::unique_ptr<Wire> wire;  // ends before the site's event loop
  std::string body;
};

const auto kPlain = [](const std::string& data) { return data; };

// Guards against a long answer that ends with its request's time (4 s) though the worker still writes.
TEST_F(slow_workers, long_answers_come_whole) {
  site.start();
  const auto told = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(12 * kPiece) + "\r\n\r\n";
  writes(told, 12, milliseconds(450), kPlain);
  expect_whole(12 * kPiece);
}

// The same where nothing tells how long it will be, and the worker pauses for seconds from the first bytes
// on: they were held back until the request's time was over, and the answer was given up.
TEST_F(slow_workers, answers_in_chunks_come_whole) {
  site.start();
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("first");
  writes(
      head, 4, milliseconds(2500), [](const auto& data) { return chunk(data); }, "0\r\n\r\n");
  expect_whole(5 + 4 * kPiece);
}

TEST_F(slow_workers, answers_that_end_with_their_connection_come_whole) {
  site.start();
  worker.ends = true;
  writes("HTTP/1.1 200 OK\r\n\r\nfirst", 4, milliseconds(2500), kPlain);
  expect_whole(5 + 4 * kPiece);
}

// One that never goes on is broken off by the request's time: its client can tell, and knows in time.
TEST_F(slow_workers, an_answer_that_stops_ends_in_time) {
  site.start();
  writes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("first"), 1, milliseconds(20'000),
         kPlain);
  ask();
  const auto sent = Clock::now();
  EXPECT_FALSE(wire->answer(body) && wire->status == 200);
  EXPECT_LT(Clock::now() - sent, kInTime);
}

// Guards against an answer that comes seconds after its time: the worker still reads the request.
TEST_F(slow_workers, a_long_request_is_answered_in_time) {
  worker.reads = kMega / 64;
  worker.every = milliseconds(100);
  worker.answer = {{milliseconds(0), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
  site.start();
  for (const bool chunks : {false, true}) {
    const std::string data(3 * kMega, 'b');
    Wire client(site.stage, site.port);
    const auto text =
        chunks ? request("c", "Transfer-Encoding: chunked\r\n", false) + chunk(data) + "0\r\n\r\n"
               : request("l", "Content-Length: " + std::to_string(data.size()) + "\r\n", false) + data;
    client.send(text);
    const auto sent = Clock::now();
    EXPECT_TRUE(client.answer(body));
    EXPECT_LT(Clock::now() - sent, kInTime);
    EXPECT_EQ(client.status, 502);
  }
}

// An answer of no told length, as a worker writes it slowly.
struct Writing {
  const char* name;
  bool chunked;
  std::size_t pieces;  // with as many pauses, over kWriting together
  std::size_t bytes;   // of each
};
constexpr milliseconds kWriting{1500};
constexpr std::size_t kKilo = 1024;
constexpr Writing kWritings[] = {
    {"a lump behind a pause, in chunks", true, 1, 20 * kKilo},
    {"a lump behind a pause, to the end", false, 1, 20 * kKilo},
    {"lumps in chunks", true, 3, 10 * kKilo},
    {"lumps to the end", false, 3, 10 * kKilo},
    {"lumps in chunks", true, 3, 60 * kKilo},
    {"lumps to the end", false, 3, 60 * kKilo},
    {"steadily in chunks", true, 100, 2 * kKilo},
    {"steadily to the end", false, 100, 2 * kKilo},
};

// Classes with an aim of 205 ms whose answers earn nothing past it, as the classes of short days have it.
std::string short_classes(const std::string& booking) {
  return R"([{"name":"job-status","goal-time-ns":205000000,"give-up-ns":800000000,"points":3,"semantics":"free"},)"
         R"({"name":"book-job","goal-time-ns":205000000,"give-up-ns":800000000,"points":5,"semantics":)" +
         booking + "}]";
}
constexpr milliseconds kShortWait{800};

class slow_answers : public slow_workers {
 protected:
  void play(const Writing& writing) {
    const auto frame = [&](const std::string& data) { return writing.chunked ? chunk(data) : data; };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    worker.ends = !writing.chunked;
    worker.answer = {
        {milliseconds(10), head + (writing.chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n") +
                               frame(std::string(writing.bytes, 'a'))}};
    for (std::size_t i = 0; i < writing.pieces; ++i)
      worker.answer.push_back({kWriting / writing.pieces, frame(std::string(writing.bytes, 'a'))});
    if (writing.chunked) worker.answer.push_back({milliseconds(0), "0\r\n\r\n"});
  }
  void expect_all_whole(const std::string& booking, bool safe) {
    site.classes = short_classes(booking);
    site.start();
    int number = 0;
    for (const auto& writing : kWritings) {
      play(writing);
      Wire client(site.stage, site.port);
      const std::string fields = safe ? "" : "Idempotency-Key: k\r\nContent-Length: 0\r\n";
      client.send(request("a" + std::to_string(++number), fields, safe, "1.1", kShortWait));
      EXPECT_TRUE(client.answer(body)) << writing.name << ": " << body.size();
      EXPECT_EQ(client.status, 200) << writing.name;
      EXPECT_EQ(body.size(), (writing.pieces + 1) * writing.bytes) << writing.name;
      EXPECT_EQ(worker.heads, static_cast<std::size_t>(number)) << "another attempt";
    }
    EXPECT_EQ(worker.cut, 0U);
  }
};

// Guards against answers of no told length that are cut once their request's aim is over, though the worker
// still writes: they were held back until then where the class lets a request be sent again.
TEST_F(slow_answers, of_a_safe_class_come_whole) { expect_all_whole(R"("free")", true); }

TEST_F(slow_answers, of_a_keyed_class_come_whole) {
  expect_all_whole(R"("guarded","dedup-scope":"all","memory-span-ns":4000000000)", false);
}

TEST_F(slow_answers, of_a_class_that_runs_once_come_whole) { expect_all_whole(R"("single_shot")", false); }

// A long request that its worker reads slowly.
struct Reading {
  std::size_t size;   // bytes of the request
  std::size_t per_s;  // bytes that the worker reads
};
constexpr Reading kReadings[] = {
    {6 * kMega, 160 * kKilo}, {10 * kMega, 160 * kKilo}, {10 * kMega, kMega}, {16 * kMega, 3 * kMega}};

// Guards against final answers that come seconds after their time: the last byte is written, but lies in the
// client's own buffer, as the worker takes no more and so nothing is read.
class long_requests : public slow_workers {
 protected:
  void expect_answered_in_time(bool chunked) {
    constexpr milliseconds kEvery{20}, kWait{1500}, kLate{500};
    worker.every = kEvery;
    worker.answer = {{milliseconds(0), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
    site.start();
    int number = 0;
    for (const auto& reading : kReadings) {
      worker.reads = reading.per_s * static_cast<std::size_t>(kEvery.count()) / 1000;
      const std::string data(reading.size, 'b');
      const auto told = "Content-Length: " + std::to_string(data.size()) + "\r\n";
      Wire client(site.stage, site.port);
      const auto id = "l" + std::to_string(++number);
      client.send(request(id, chunked ? "Transfer-Encoding: chunked\r\n" : told, false, "1.1", kWait));
      client.send(chunked ? chunk(data) + "0\r\n\r\n" : data);
      const auto written = Clock::now();
      EXPECT_TRUE(client.answer(body)) << reading.size << " bytes at " << reading.per_s;
      EXPECT_LT(Clock::now() - written, kWait + kLate) << reading.size << " bytes at " << reading.per_s;
    }
  }
};

TEST_F(long_requests, by_length_are_answered_in_time) { expect_answered_in_time(false); }

TEST_F(long_requests, in_chunks_are_answered_in_time) { expect_answered_in_time(true); }

}  // namespace
}  // namespace cranemux::testing
