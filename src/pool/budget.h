// One resource of the process, shared by its pools. Each member has a part that is its own in any case; what
// no part covers is lent to who asks first, up to each one's bound, and is free again as it comes back. So a
// member that floods can use up what is shared and nothing that another was promised.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace cranemux::pool {

struct Part {
  std::size_t guaranteed = 0, most = 0;  // most >= guaranteed
  bool operator==(const Part&) const = default;
};

class SharedBudget {
 public:
  using Member = std::size_t;

  explicit SharedBudget(std::size_t total) : total_(total) {}
  Member join(const Part& part);
  void alter(Member member, const Part& part);
  void leave(Member member);  // once it has given all back

  bool take(Member member, std::size_t count = 1);
  void give_back(Member member, std::size_t count = 1);

  std::size_t total() const { return total_; }
  std::size_t used(Member member) const { return members_[member].used; }
  std::size_t lent(Member member) const;  // of what it uses, beyond its own part
  std::size_t room(Member member) const;  // that it could take now
  const Part& part(Member member) const { return members_[member].part; }

 private:
  struct Account {
    Part part;
    std::size_t used = 0;
    bool here = false;
  };
  std::size_t total_, guaranteed_ = 0, lent_ = 0, used_ = 0;
  std::vector<Account> members_;
};

// So much of a budget until it ends.
class Lease {
 public:
  Lease() = default;
  Lease(std::shared_ptr<SharedBudget> budget, SharedBudget::Member member, std::size_t count)
      : budget_(std::move(budget)), member_(member), count_(count) {}
  Lease(Lease&& other) noexcept;
  Lease& operator=(Lease&& other) noexcept;
  ~Lease() { end(); }
  explicit operator bool() const { return budget_ != nullptr; }
  void end();

 private:
  std::shared_ptr<SharedBudget> budget_;
  SharedBudget::Member member_ = 0;
  std::size_t count_ = 0;
};

// A member's hold on a budget: what a pool's parts take their leases from.
class Purse {
 public:
  Purse() = default;
  Purse(std::shared_ptr<SharedBudget> budget, const Part& part);
  Purse(const Purse&) = delete;
  Purse& operator=(const Purse&) = delete;
  ~Purse();
  Lease take(std::size_t count = 1);  // false where there is no room
  void alter(const Part& part) { budget_->alter(member_, part); }
  std::size_t used() const { return budget_->used(member_); }
  std::size_t lent() const { return budget_->lent(member_); }
  std::size_t room() const { return budget_->room(member_); }
  const Part& part() const { return budget_->part(member_); }

 private:
  std::shared_ptr<SharedBudget> budget_;
  SharedBudget::Member member_ = 0;
};

}  // namespace cranemux::pool
