// Which nodes a pool may use, from what discovery (or the file) says and what an operator drains. Knows no
// socket and no clock. Whatever one of them drains is drained; an undo only takes back the operator's word,
// never discovery's.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"

namespace cranemux::pool {

class NodeList {
 public:
  // What has come from the source. Returns the same as the pool sees it.
  config::ResolverResult told(const config::ResolverResult& result, bool whole);

  // Each returns the entries that change, or nothing where the node is not known or nothing changes.
  std::optional<config::ResolverResult> drain(const std::string& node, bool drained);
  config::ResolverResult drain_all(bool drained);

  config::ResolverResult list() const;  // as the source has it
  bool drained() const { return all_; }
  bool drained(const std::string& node) const { return all_ || nodes_.contains(node); }
  std::size_t usable() const;
  std::size_t size() const { return listed_.size(); }

 private:
  using AddressKey = std::pair<std::string, int>;
  static AddressKey key_of(const config::ListEntry& entry);
  void take(const config::ListEntry& entry, std::vector<config::ListEntry>& out);
  const config::ListEntry* other_at_address(const config::ListEntry& entry) const;
  void forget(const std::string& name);
  config::ListEntry seen(config::ListEntry entry) const;

  std::map<std::string, config::ListEntry> listed_;  // as the source has them
  std::map<AddressKey, std::string> at_address_;     // the name that was listed there last
  std::int64_t index_ = 0;                           // of the source's last word
  std::set<std::string> nodes_;                      // drained by the operator
  bool all_ = false;
};

}  // namespace cranemux::pool
