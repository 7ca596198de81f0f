// Documents that have been read and checked, kept by their text, and persisted ones by their SHA-256:
// automatic ones, which clients register, and trusted ones, from a file. Bounded in bytes; the one that was
// used longest ago goes.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "graphql/cost.h"

namespace cranemux::graphql {

// A document as it may run, and what it was checked against.
struct Checked {
  explicit Checked(Document read) : document(std::move(read)), fragments(document) {}
  const Document document;
  const FragmentIndex fragments;
  std::shared_ptr<const Schema> schema;  // none: costs by fields
  // The last prices of its operations, the newest last; see same_price().
  struct Price {
    const Operation* operation;
    std::shared_ptr<const Priced> priced;
  };
  mutable std::vector<Price> prices;
};

// SHA-256 (FIPS 180-4) in 64 lower-case hex digits.
std::string sha256_hex(std::string_view text);
bool is_sha256_hex(std::string_view text);

struct DocumentCounts {  // since the start
  std::uint64_t hits = 0, misses = 0, evicted = 0;
  std::uint64_t registered = 0, not_found = 0, wrong_hash = 0, untrusted = 0;
};

class DocumentStore {
 public:
  explicit DocumentStore(std::size_t most_bytes) : most_bytes_(most_bytes) {}

  std::shared_ptr<const Checked> find(std::string_view text);
  void keep(std::string_view text, std::shared_ptr<const Checked> checked);
  // Registered texts, by hash. The hash must be the text's.
  void persist(const std::string& hash, std::string_view text);
  std::optional<std::string> persisted(const std::string& hash);

  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return by_text_.size(); }

 private:
  struct Kept {
    std::string text, hash;                  // hash: empty where it is not persisted
    std::shared_ptr<const Checked> checked;  // none: not checked yet, or no more
    std::size_t bytes = 0;
  };
  using Order = std::list<Kept>;  // used longest ago first

  Order::iterator touch(Order::iterator at);
  Order::iterator enter(std::string_view text);
  void weigh(Order::iterator at);
  void drop(Order::iterator at);

  const std::size_t most_bytes_;
  std::size_t bytes_ = 0;
  Order order_;
  std::unordered_map<std::string_view, Order::iterator> by_text_, by_hash_;

 public:
  DocumentCounts counts;
};

// A list of trusted documents: `{"HASH": "TEXT", …}`, or Apollo's manifest of persisted queries (version 1).
// Throws Error where a text can't be read, or a hash is not its text's.
std::map<std::string, std::string> read_trusted(const json::Value& root);

}  // namespace cranemux::graphql
