// Carries out the store part of bucket actions and reports the outcome to the
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
  Duration Deadline_ = seconds(3); ///< Of each store call.
};

/// False for an action that does not concern the store (SendHandover).
bool carryOut(BucketStore &With, const BucketAction &Action);

} // namespace sycamore
