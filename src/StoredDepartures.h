// Departed targets in the store, one key for each target process.
#pragma once

#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Store.h"

namespace sycamore {

/// Age from which a stored departure is removed. Delayed announcements arrive
/// within seconds of the departure.
constexpr Duration StoredDepartureRetention = std::chrono::minutes(10);

struct StoredDeparture {
  wire::DepartedTarget Target_;
  WallTime RecordedAt_;
};

/// The write that stores a departure.
Put storeDeparture(const StoredDeparture &Departure);

/// Errors: InvalidData that names the key and the invalid field.
Result<StoredDeparture> parseStoredDeparture(const KeyValue &Entry);

} // namespace sycamore
