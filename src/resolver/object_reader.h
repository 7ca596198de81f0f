// Finds whole JSON objects in what a watch brings, whatever lines they are written on and wherever their
// bytes are parted. Free of I/O. Lines are empty only between two objects: one within an object, or anything
// else between two, is damage, after which nothing that follows is to be believed.
#pragma once

#include <cstddef>
#include <string>

namespace cranemux::resolver {

class ObjectReader {
 public:
  enum class State { incomplete, object, damaged };

  explicit ObjectReader(std::size_t most) : most_(most) {}  // bytes of one object
  // Takes from the front of `text`. `object`: one is whole, see object(); call again for what follows.
  State consume(std::string& text);
  const std::string& object() const { return object_; }

 private:
  bool byte(char c);  // false: damage

  const std::size_t most_;
  std::string object_;
  std::size_t depth_ = 0;
  bool in_text_ = false, escaped_ = false, bare_line_ = false;
};

}  // namespace cranemux::resolver
