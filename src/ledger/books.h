// All that a gatekeeper holds of its customers' quotas.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "ledger/account.h"
#include "ledger/agenda.h"
#include "ledger/ledger.h"
#include "ledger/mail.h"
#include "tier/isolation.h"

namespace cranemux::ledger {

// Quotas and the mail about them: of one Brain, or of several in a process that hold them together.
struct Books {
  std::vector<PlanSettings> plans;
  std::uint32_t life = 0;
  std::map<std::uint32_t, Account> accounts;
  Agenda agenda;                     // accounts with something to ask or tell
  std::vector<Nanos> shunned_until;  // by gateway: as a keeper it has not answered
  Nanos started = -1;
  Nanos next_split = 0;        // of ledgers, by whoever of several modules comes to it first
  std::unique_ptr<Mail> mail;  // from the start on
  std::unique_ptr<Ledgers> ledgers;
  std::optional<tier::Isolation> isolation;
};

}  // namespace cranemux::ledger
