// Splitting the body of a watch into objects, however they are broken into lines and wherever the bytes are
// split.
#include "resolver/object_reader.h"

#include <gtest/gtest.h>

#include <vector>

#include "json/json.h"

namespace cranemux::resolver {
namespace {

using State = ObjectReader::State;

const std::string kIndented =
    "{\n  \"index\": 43,\n  \"snapshot\": false,\r\n\t\"endpoints\": [\n    {\n      \"name\": "
    "\"s}{\\\"\\\\\",\n"
    "      \"status\": \"leaving\"\n    }\n  ]\n}\n";
const std::string kOneLine = "{\"index\":44,\"endpoints\":[]}\n";

// Returns the objects in `text`, read in pieces of `piece` bytes, followed by "damaged" if it is damaged.
std::vector<std::string> objects_in(const std::string& text, std::size_t piece) {
  ObjectReader reader(4096);
  std::vector<std::string> out;
  std::string in;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    in += text.substr(at, piece);
    for (auto state = reader.consume(in); state != State::incomplete; state = reader.consume(in)) {
      if (state == State::damaged) {
        out.emplace_back("damaged");
        return out;
      }
      out.push_back(reader.object());
    }
    EXPECT_TRUE(in.empty());
  }
  return out;
}

TEST(ObjectReader, ReadsWholeObjectsWhereverTheirBytesAreSplit) {
  const auto text = "\n\n" + kIndented + "\n \r\n" + kOneLine + kOneLine + "\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    const auto found = objects_in(text, piece);
    ASSERT_EQ(found.size(), 3U) << piece;
    EXPECT_EQ(json::parse(found[0]).find("endpoints")->array()->size(), 1U) << piece;
    EXPECT_EQ(found[1] + "\n", kOneLine) << piece;
    EXPECT_EQ(found[2], found[1]) << piece;
  }
}

// A truncated object must not swallow what follows it: discovery keeps sending empty lines, which end it.
TEST(ObjectReader, AnEmptyLineWithinAnObjectIsDamage) {
  const auto truncated = kIndented.substr(0, 60);
  for (std::size_t piece = 1; piece < 100; ++piece) {
    EXPECT_EQ(objects_in(truncated + "\n\n" + kOneLine, piece), std::vector<std::string>{"damaged"}) << piece;
  }
}

TEST(ObjectReader, AnythingButObjectsIsDamage) {
  for (const std::string text : {"nonsense\n", "}\n", "\"index\"\n", "{\"a\":\"b\nc\"}\n", "\x01"}) {
    EXPECT_EQ(objects_in(text + kOneLine, 1), std::vector<std::string>{"damaged"}) << text;
  }
}

TEST(ObjectReader, BoundsTheSizeOfAnObject) {
  ObjectReader reader(10);
  std::string in = "{\"a\":\"" + std::string(100, 'x');
  EXPECT_EQ(reader.consume(in), State::damaged);
  EXPECT_LE(reader.object().size(), 11U);
}

}  // namespace
}  // namespace cranemux::resolver
