// Shared by the parts of the quota decisions at the entry daemon.
#pragma once

#include "sycamore/TenantQuota.h"

namespace sycamore::quota {

/// Longest wait of a request for a token.
inline constexpr Duration QuotaWaitLimit = milliseconds(300);
/// Most requests that wait at one daemon.
inline constexpr std::size_t MaxQuotaWaiting = 1000;
/// Retry-After when no owner answered.
inline constexpr Duration QuotaUnansweredRetry = seconds(1);

double secondsOf(Duration Value);

/// Brings the owners up to date with the fleet.
void refreshSources(QuotaLedger &Ledger, const QuotaFleet &Fleet,
                    const std::string &Tenant);

void dropLapsed(QuotaEntry &Entry, QuotaLedger &Ledger, TimePoint Now);

/// The owner to ask next: one that has not refused; one that answers, if there
/// is any. Null if all have refused.
const QuotaSource *chooseSource(const QuotaEntry &Entry,
                                const QuotaLedger &Ledger, TimePoint Now);

QuotaDecision refuse(QuotaEntry &Entry, const std::string &Tenant,
                     QuotaLedger &Ledger, TimePoint Now);

/// A token of this daemon's own part of the rate, if it may use that.
std::optional<QuotaDecision> useFallback(QuotaEntry &Entry,
                                         const QuotaFleet &Fleet,
                                         const std::string &Tenant,
                                         QuotaLedger &Ledger, TimePoint Now);

/// Notes the end of a time of excess.
void endExcess(QuotaEntry &Entry, const std::string &Tenant,
               QuotaLedger &Ledger, TimePoint Now);

/// Gives tokens to waiting requests, refuses the others if no owner is left to
/// ask, and marks the tenant if there is.
void settle(QuotaEntry &Entry, const std::string &Tenant, QuotaLedger &Ledger,
            TimePoint Now, std::vector<QuotaOutcome> &Out);

} // namespace sycamore::quota
