// The mail between gatekeepers about quotas: entries wait for messages, messages for the budget, so that no
// gatekeeper is sent more than it takes in. Entries that are lost are asked again. Free of I/O.
//
// A message is a head, then entries, then a checksum of both (checksum.h). Head: version (1), life of the
// sender (2, little endian); where quotas are guarded more follows (frame.h). An entry: kind and plan (1: two
// bits and six), customer (4, little endian), and figures as varints:
//   ask    used, level, weight, wanted, number (guarded) or turn, hold in 10 ms, parts of the ledger, owed;
//          trusting: 0, 1 for a report only, from 2 on for one by a word of who is throttled: 2 and the share
//          in hundredths; of reports wanted is what was refused by that word, in units since the last one
//   grant  life of who asked, limit, level, number or turn, pause in 50 ms; guarded: whether the keeper has
//          the right; trusting: whether the store is far from empty
//   hand   level, number; guarded only: a ledger on its way to its keeper
//   throttle  share in hundredths; trusting only, with hand's bits: of a member set aside, so much of what is
//          asked for that customer may go
//   news   of the members (membership.h), until the message's end; guarded only
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/figures.h"
#include "ledger/rights.h"
#include "ledger/throttle.h"
#include "membership/membership.h"

namespace cranemux::ledger {

enum class Kind : std::uint8_t { ask, grant, hand, news, throttle };
struct Entry {
  Kind kind = Kind::ask;
  std::uint32_t plan = 0;  // its number in the settings
  std::uint32_t customer = 0;
  std::array<std::uint64_t, 9> figures{};
};

struct MailTerms {
  int members = 1, self = 0;
  std::uint16_t life = 0;
  std::size_t message_bytes = 256;  // at most, checksum and all
  double messages_per_s = 0;        // that may leave
  double burst = 5;                 // that may leave at once after a quiet spell
  bool flows = true;                // false: nothing leaves
  bool guarded = false;
  std::uint64_t seed = 0;
  int aside = 0;  // trusting: so many members, the last ones, are set aside to keep ledgers
};

class Mail {
 public:
  Mail(const MailTerms& terms, Time now);

  void write(int to, const Entry& entry);
  // Of a member set aside: all gatekeepers are to hear it, with whatever goes to them next, or soon.
  void tell(const ThrottleWord& word) { words_.add(word); }
  void tell(int to, const ThrottleWord& word);
  // Lets go what the budget allows, the longest waiting first.
  void post(Time now, const std::function<void(int to, std::string bytes)>& send);
  bool waits() const { return !posts_.empty(); }
  // A member set aside that says nothing, not even its signs: it keeps no ledger now.
  bool silent(int member, Time now) const;

  struct Letter {
    std::uint32_t life = 0;  // of its sender; guarded: with how often that one has begun, in the upper bits
    std::vector<Entry> entries;
  };
  // None: it is no message of this form, or was overtaken by a later one. Entries from the first damaged one
  // on are left out.
  std::optional<Letter> read(int from, std::string_view bytes, Time now);

  // Where quotas are guarded: votes flow to every member, whether there is mail or not. True: this
  // gatekeeper's view of who is there has changed. Call it at least every `every`.
  bool beat(Time now);
  Time every() const;
  const Rights* rights() const { return rights_.get(); }
  const membership::Membership* members() const { return members_.get(); }

 private:
  struct Peer {
    std::string entries;
    Time posted{-1}, heard{0};
    bool called = false;  // stands in `posts_`
  };
  void call(int to);
  void call_gatekeepers(Time now);
  std::string message(int to, Time now);
  std::string body(int to, Time now);                // of a message: all but its checksum
  std::size_t most_head() const, most_body() const;  // bytes

  const MailTerms terms_;
  std::vector<Peer> peers_;
  const int tells_;  // the first so many members hear from it who is throttled
  std::deque<int> posts_;
  ThrottleLog words_;
  Time looked_{0};     // at who is to hear of them
  double stamps_ = 1;  // messages that may go now
  Time posted_;
  std::unique_ptr<Rights> rights_;
  std::unique_ptr<membership::Membership> members_;
};

}  // namespace cranemux::ledger
