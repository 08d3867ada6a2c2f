// Shared by the sources of KeyBuckets and KeyedCalls.
#pragma once

#include "sycamore/KeyBuckets.h"

namespace sycamore::keytable {

/// Returns At, or the time of an earlier call if that is later, so that time
/// never goes back.
Now advanceLatestTime(BucketTable &Table, Now At);

/// Finds or creates a record. A new one is kept for the resend window plus
/// twice the clock skew, so that its key is too old by any clock when the
/// record expires.
KeyEntry &findOrCreateRecord(BucketTable &Table, std::uint32_t BucketIndex,
                             const std::string &Key, TimePoint Now);

void eraseRecord(BucketTable &Table, std::uint32_t BucketIndex,
                 const std::string &Key);

/// Stores an answer, and drops the oldest ones while all together exceed
/// MaxAnswerBytes_.
void storeAnswer(BucketTable &Table, std::uint32_t BucketIndex,
                 const std::string &Key, KeyEntry &Entry,
                 std::shared_ptr<const StoredAnswer> Answer);

void dropAnswer(BucketTable &Table, KeyEntry &Entry);

/// Removes expired records.
void expireRecords(BucketTable &Table, std::uint32_t BucketIndex,
                   TimePoint Now);

/// An update for the successor, if the bucket has one.
BucketActions updateSuccessor(const BucketTable &Table,
                              std::uint32_t BucketIndex, const std::string &Key,
                              const KeyEntry *Entry);

} // namespace sycamore::keytable
