// Makes the store calls of bucket actions and reports their results to the
// bucket table.
#pragma once

#include "sycamore/KeyBuckets.h"

namespace sycamore {

/// Must outlive the store calls that it starts.
struct BucketStore {
  Store *Store_ = nullptr;
  BucketTable *Table_ = nullptr;
  Random *Rng_ = nullptr;
  /// Reads the wall clock first; see KeyBuckets.h.
  std::function<Now()> Clock_;
  Duration Deadline_ = seconds(3); ///< Time-out of each store call.
};

/// Starts the store call of an action. Returns false for an action without one
/// (SendHandover).
bool executeStoreAction(BucketStore &Context, const BucketAction &Action);

} // namespace sycamore
