// The state of a guarded tier as text, for the console command `members`.
#pragma once

#include <string>

#include "ledger/ledger.h"
#include "ledger/transport.h"

namespace cranemux::ledger {

// Returns a line for each gatekeeper of the tier, one for the tier's condition, one for the ledgers led here,
// and one for `on_fallback`: the number of customers for whom this gatekeeper uses its fallback share.
std::string tier_report(const Transport& transport, const Ledgers& ledgers, std::size_t on_fallback,
                        Time now);

}  // namespace cranemux::ledger
