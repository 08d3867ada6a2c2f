// Fair sharing of a target's slots between tenants whose requests wait with
// equal rank: deficit round robin by expected work, one request at a time. The
// tenant for which the least work was started runs next. Requests without a
// tenant share as one more tenant. Queues without tenants are left as they are.
#pragma once

#include "sycamore/Admission.h"

namespace sycamore {

/// Whether two requests of equal rank take turns, because their tenants differ.
bool shareSlots(const Admission &Table, const AdmissionRequest &Left,
                const AdmissionRequest &Right, TimePoint Now);

/// Expected work of other tenants that runs before the request: of each at most
/// as much as the request's own tenant has waiting up to this request.
Duration sharedWorkBefore(const Admission &Table,
                          const AdmissionRequest &Request, TimePoint Now);

/// Orders requests of equal rank in a sorted queue so that tenants take turns.
/// The order among the requests of one tenant stays.
void shareQueue(Admission &Table, TimePoint Now);

/// Adds the work of a request that left the queue for a slot.
void recordShare(Admission &Table, const AdmissionRequest &Request);

/// Forgets tenants without waiting requests, and keeps only the differences
/// between the others.
void balanceShares(Admission &Table);

/// The last queued request of the tenant that has the most work waiting at the
/// rank of Request, if that is more than the tenant of Request would have;
/// otherwise the end of the queue. A full queue then takes Request in its
/// place, so that one tenant cannot fill the queue alone.
std::vector<QueuedRequest>::iterator
lastOfLargestTenant(Admission &Table, const AdmissionRequest &Request,
                    TimePoint Now);

} // namespace sycamore
