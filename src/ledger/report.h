// What an operator wants to know of a guarded tier, in words.
#pragma once

#include <string>

#include "ledger/ledger.h"
#include "ledger/transport.h"

namespace cranemux::ledger {

// A line for each gatekeeper of the tier, one for what seems to be the matter, and one for the ledgers kept
// here. `on_parts`: customers for whom this gatekeeper has turned to its guaranteed part.
std::string tier_report(const Transport& mail, const Ledgers& ledgers, std::size_t on_parts, Time now);

}  // namespace cranemux::ledger
