// Values as bytes and back, for what one process tells the next. One function names the fields of a record
// for both ways. Free of I/O. A reader believes nothing: what does not fit ends the reading, and `good` says
// so.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace cranemux::handover {

constexpr std::uint32_t kMostItems = 1'000'000;  // of one list

// Which way a record goes is the archive's: `Io::kReads`.
class Writer {
 public:
  static constexpr bool kReads = false;
  template <typename... Values>
  void operator()(Values&... values) {
    (put(values), ...);
  }
  bool good() const { return true; }
  std::string take() { return std::move(out_); }

 private:
  template <typename T>
  void put(T& value) {
    if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
      out_.append(reinterpret_cast<const char*>(&value), sizeof value);
    } else {
      fields(*this, value);
    }
  }
  void put(std::string& text) {
    count(text.size());
    out_ += text;
  }
  template <typename T>
  void put(std::vector<T>& items) {
    count(items.size());
    for (auto& item : items) put(item);
  }
  template <typename Key, typename T>
  void put(std::map<Key, T>& items) {
    count(items.size());
    for (auto& [key, item] : items) {
      auto copy = key;
      put(copy);
      put(item);
    }
  }
  template <typename Rep, typename Period>
  void put(std::chrono::duration<Rep, Period>& span) {
    auto ticks = span.count();
    put(ticks);
  }
  void count(std::size_t size) {
    auto told = static_cast<std::uint32_t>(size);
    put(told);
  }

  std::string out_;
};

class Reader {
 public:
  static constexpr bool kReads = true;
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename... Values>
  void operator()(Values&... values) {
    (get(values), ...);
  }
  bool good() const { return good_; }
  bool whole() const { return good_ && in_.empty(); }  // nothing is left over either

 private:
  template <typename T>
  void get(T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      std::uint8_t byte = 0;
      get(byte);
      value = byte == 1;
      good_ = good_ && byte <= 1;
    } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
      if (in_.size() < sizeof value) return fail();
      std::memcpy(&value, in_.data(), sizeof value);
      in_.remove_prefix(sizeof value);
    } else {
      fields(*this, value);
    }
  }
  void get(std::string& text) {
    const auto size = count();
    if (in_.size() < size) return fail();
    text.assign(in_.substr(0, size));
    in_.remove_prefix(size);
  }
  template <typename T>
  void get(std::vector<T>& items) {
    items.clear();
    for (auto left = count(); left > 0 && good_; --left) get(items.emplace_back());
  }
  template <typename Key, typename T>
  void get(std::map<Key, T>& items) {
    items.clear();
    for (auto left = count(); left > 0 && good_; --left) {
      Key key{};
      get(key);
      if (good_) get(items[key]);
    }
  }
  template <typename Rep, typename Period>
  void get(std::chrono::duration<Rep, Period>& span) {
    Rep ticks{};
    get(ticks);
    span = std::chrono::duration<Rep, Period>(ticks);
  }
  std::uint32_t count() {
    std::uint32_t told = 0;
    get(told);
    if (told > kMostItems) fail();
    return good_ ? told : 0;
  }
  void fail() {
    good_ = false;
    in_ = {};
  }

  std::string_view in_;
  bool good_ = true;
};

}  // namespace cranemux::handover
