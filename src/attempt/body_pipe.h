// A request's body on its way from a client's channel to a call attempt. Free of I/O: whoever fills it is
// told when there is room, whoever empties it when there is more. What has gone on is held for another
// attempt as long as there is room for it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cranemux::attempt {

class BodyPipe {
 public:
  // `length`: of the whole body, where it was told. `most`: that is held and has not gone on.
  BodyPipe(std::optional<std::uint64_t> length, std::size_t most) : length_(length), most_(most) {}

  void put(std::string_view data);
  void end();        // the last byte is there
  void break_off();  // and will never be
  bool full() const { return data_.size() - next_ >= most_; }
  std::size_t held() const { return data_.size(); }

  std::string take(std::size_t most);  // what comes next; empty: nothing yet, or no more
  bool ended() const { return ended_ && next_ == data_.size(); }  // all has been taken
  bool whole() const { return ended_; }                           // its last byte is there
  bool broken() const { return broken_; }
  // From its first byte again. False: a part of what has gone is held no more.
  bool rewind();
  bool repeatable() const { return first_ == 0; }
  std::optional<std::uint64_t> length() const;

  std::function<void()> on_more, on_room;

 private:
  void tell(const std::function<void()>& whom) {
    if (whom) whom();
  }

  const std::optional<std::uint64_t> length_;
  const std::size_t most_;
  std::string data_;
  std::uint64_t first_ = 0;  // of the body, at the start of `data_`
  std::size_t next_ = 0;     // in `data_`
  bool ended_ = false, broken_ = false;
};

}  // namespace cranemux::attempt
