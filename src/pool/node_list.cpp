#include "pool/node_list.h"

#include <algorithm>

namespace cranemux::pool {
namespace {

constexpr const char* kActive = "active";
constexpr const char* kLeaving = "leaving";
constexpr const char* kLeft = "left";

}  // namespace

NodeList::AddressKey NodeList::key_of(const config::ListEntry& entry) {
  return {entry.address.host, entry.address.port};
}

config::ListEntry NodeList::seen(config::ListEntry entry) const {
  if (entry.state == kActive && drained(entry.name)) entry.state = kLeaving;
  return entry;
}

config::ResolverResult NodeList::told(const config::ResolverResult& result, bool whole) {
  if (whole) listed_.clear(), at_address_.clear();
  index_ = result.index;
  config::ResolverResult out{result.index, result.snapshot, {}};
  for (const auto& entry : result.entries) take(entry, out.entries);
  // A node that has gone needs no drain any more: one of that name that comes later is another.
  std::erase_if(nodes_, [&](const auto& name) { return !listed_.contains(name); });
  return out;
}

// Where a process has started later at an address, one that is listed there under another name has gone: what
// is meant for it would reach the other.
void NodeList::take(const config::ListEntry& entry, std::vector<config::ListEntry>& out) {
  auto told = seen(entry);
  if (const auto* other = other_at_address(entry); other && entry.state != kLeft) {
    if (other->since > entry.since) told.state = kLeft;
    if (other->since < entry.since) {
      auto gone = *other;
      gone.state = kLeft;
      forget(gone.name);
      std::erase_if(out, [&](const auto& earlier) { return earlier.name == gone.name; });
      out.push_back(std::move(gone));
    }
  }
  forget(entry.name);
  if (told.state != kLeft) {
    listed_[entry.name] = entry;
    at_address_[key_of(entry)] = entry.name;
  }
  out.push_back(std::move(told));
}

const config::ListEntry* NodeList::other_at_address(const config::ListEntry& entry) const {
  const auto name = at_address_.find(key_of(entry));
  return name == at_address_.end() || name->second == entry.name ? nullptr : &listed_.at(name->second);
}

void NodeList::forget(const std::string& name) {
  const auto at = listed_.find(name);
  if (at == listed_.end()) return;
  const auto there = at_address_.find(key_of(at->second));
  if (there != at_address_.end() && there->second == name) at_address_.erase(there);
  listed_.erase(at);
}

config::ResolverResult NodeList::list() const {
  config::ResolverResult out{index_, true, {}};
  for (const auto& [name, entry] : listed_) out.entries.push_back(entry);
  return out;
}

std::optional<config::ResolverResult> NodeList::drain(const std::string& node, bool drained) {
  const auto at = listed_.find(node);
  if (at == listed_.end() || nodes_.contains(node) == drained) return std::nullopt;
  if (drained) nodes_.insert(node);
  if (!drained) nodes_.erase(node);
  return config::ResolverResult{0, false, {seen(at->second)}};
}

config::ResolverResult NodeList::drain_all(bool drained) {
  config::ResolverResult out;
  if (std::exchange(all_, drained) == drained) return out;
  for (const auto& [name, entry] : listed_) out.entries.push_back(seen(entry));
  return out;
}

std::size_t NodeList::usable() const {
  return static_cast<std::size_t>(std::count_if(listed_.begin(), listed_.end(), [this](const auto& item) {
    return item.second.state == kActive && !drained(item.first);
  }));
}

}  // namespace cranemux::pool
