#include "pool/budget.h"

#include <algorithm>
#include <utility>

namespace cranemux::pool {

SharedBudget::Member SharedBudget::join(const Part& part) {
  const auto free = std::find_if(members_.begin(), members_.end(),
                                 [](const auto& account) { return !account.here && account.used == 0; });
  const auto member = static_cast<Member>(free - members_.begin());
  if (free == members_.end()) members_.emplace_back();
  members_[member] = {part, 0, true};
  guaranteed_ += part.guaranteed;
  return member;
}

void SharedBudget::alter(Member member, const Part& part) {
  auto& account = members_[member];
  lent_ -= lent(member);
  guaranteed_ = guaranteed_ - account.part.guaranteed + part.guaranteed;
  account.part = part;
  lent_ += lent(member);
}

void SharedBudget::leave(Member member) {
  alter(member, {});
  members_[member].here = false;
}

std::size_t SharedBudget::lent(Member member) const {
  const auto& account = members_[member];
  return account.used - std::min(account.used, account.part.guaranteed);
}

std::size_t SharedBudget::room(Member member) const {
  const auto& account = members_[member];
  const auto own = account.part.guaranteed - std::min(account.used, account.part.guaranteed);
  const auto shared = total_ - std::min(total_, guaranteed_);
  const auto bound = account.part.most - std::min(account.part.most, account.used);
  // A part that has just grown may still be lent to others: the whole is never overdrawn.
  const auto left = total_ - std::min(total_, used_);
  return std::min({own + shared - std::min(shared, lent_), bound, left});
}

bool SharedBudget::take(Member member, std::size_t count) {
  if (room(member) < count) return false;
  lent_ -= lent(member);
  members_[member].used += count;
  used_ += count;
  lent_ += lent(member);
  return true;
}

void SharedBudget::give_back(Member member, std::size_t count) {
  lent_ -= lent(member);
  members_[member].used -= count;
  used_ -= count;
  lent_ += lent(member);
}

Lease::Lease(Lease&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), member_(other.member_), count_(other.count_) {}

Lease& Lease::operator=(Lease&& other) noexcept {
  if (this == &other) return *this;
  end();
  budget_ = std::exchange(other.budget_, nullptr);
  member_ = other.member_;
  count_ = other.count_;
  return *this;
}

void Lease::end() {
  if (const auto budget = std::exchange(budget_, nullptr)) budget->give_back(member_, count_);
}

Purse::Purse(std::shared_ptr<SharedBudget> budget, const Part& part)
    : budget_(std::move(budget)), member_(budget_->join(part)) {}

Purse::~Purse() {
  if (budget_) budget_->leave(member_);
}

Lease Purse::take(std::size_t count) {
  if (!budget_->take(member_, count)) return {};
  return {budget_, member_, count};
}

}  // namespace cranemux::pool
