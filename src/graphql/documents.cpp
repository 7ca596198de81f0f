#include "graphql/documents.h"

#include <sha2.h>

#include <algorithm>
#include <array>

namespace cranemux::graphql {
namespace {

// What a read document takes beside its text: about a node of 200 bytes for each ten bytes written.
constexpr std::size_t kTimes = 20, kLeast = 512;

}  // namespace

std::string sha256_hex(std::string_view text) {
  std::array<char, SHA256_DIGEST_STRING_LENGTH> out{};
  ::SHA256Data(reinterpret_cast<const std::uint8_t*>(text.data()), text.size(), out.data());
  return {out.data(), SHA256_DIGEST_STRING_LENGTH - 1};
}

bool is_sha256_hex(std::string_view text) {
  return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

DocumentStore::Order::iterator DocumentStore::touch(Order::iterator at) {
  order_.splice(order_.end(), order_, at);
  return at;
}

std::shared_ptr<const Checked> DocumentStore::find(std::string_view text) {
  const auto at = by_text_.find(text);
  if (at == by_text_.end() || !at->second->checked) {
    ++counts.misses;
    return nullptr;
  }
  ++counts.hits;
  return touch(at->second)->checked;
}

void DocumentStore::keep(std::string_view text, std::shared_ptr<const Checked> checked) {
  const auto at = enter(text);
  at->checked = std::move(checked);
  weigh(at);
}

void DocumentStore::persist(const std::string& hash, std::string_view text) {
  const auto at = enter(text);
  if (at->hash.empty()) {
    at->hash = hash;
    by_hash_[at->hash] = at;
    ++counts.registered;
  }
  weigh(at);
}

std::optional<std::string> DocumentStore::persisted(const std::string& hash) {
  const auto at = by_hash_.find(hash);
  if (at == by_hash_.end()) return std::nullopt;
  return touch(at->second)->text;
}

DocumentStore::Order::iterator DocumentStore::enter(std::string_view text) {
  const auto known = by_text_.find(text);
  if (known != by_text_.end()) return touch(known->second);
  order_.push_back({std::string(text), {}, nullptr, 0});
  const auto at = std::prev(order_.end());
  by_text_[at->text] = at;
  return at;
}

// The newest stays, unless it alone is over the bound.
void DocumentStore::weigh(Order::iterator at) {
  bytes_ -= at->bytes;
  at->bytes = kLeast + at->text.size() * (at->checked ? 1 + kTimes : 1);
  bytes_ += at->bytes;
  while (bytes_ > most_bytes_ && !order_.empty()) {
    ++counts.evicted;
    drop(order_.begin());
  }
}

void DocumentStore::drop(Order::iterator at) {
  bytes_ -= at->bytes;
  if (!at->hash.empty()) by_hash_.erase(at->hash);
  by_text_.erase(at->text);
  order_.erase(at);
}

std::map<std::string, std::string> read_trusted(const json::Value& root) {
  std::map<std::string, std::string> out;
  const auto add = [&](const std::string& hash, const json::Value* text) {
    if (!text || !text->string()) throw Error("BAD_FILE", hash + ": its document must be a text");
    if (!is_sha256_hex(hash))
      throw Error("BAD_FILE", "'" + hash + "' is no SHA-256 in 64 lower-case hex digits");
    if (sha256_hex(*text->string()) != hash)
      throw Error("BAD_FILE", hash + ": its document has another hash");
    out[hash] = *text->string();
  };
  if (!root.object()) throw Error("BAD_FILE", "an object of documents by hash is wanted");
  const auto* operations = root.find("operations");
  if (operations && operations->array()) {
    for (const auto& operation : *operations->array()) {
      const auto* id = operation.find("id");
      if (!id || !id->string()) throw Error("BAD_FILE", "operations: each needs an id");
      add(*id->string(), operation.find("body"));
    }
    return out;
  }
  for (const auto& [hash, text] : *root.object()) add(hash, &text);
  return out;
}

}  // namespace cranemux::graphql
