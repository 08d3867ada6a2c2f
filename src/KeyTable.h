// Shared by the sources of KeyBuckets and KeyedCalls.
#pragma once

#include "sycamore/KeyBuckets.h"

namespace sycamore::keytable {

/// At, or the time of an earlier call if that is later.
Now latest(BucketTable &Table, Now At);

/// Enters or finds a record; a new one is kept for the resend window and twice
/// the skew, so that its key is too old by any clock when the record ends.
KeyEntry &enterRecord(BucketTable &Table, std::uint32_t Bucket,
                      const std::string &Key, TimePoint Now);

void eraseRecord(BucketTable &Table, std::uint32_t Bucket,
                 const std::string &Key);

/// Keeps an answer within the bound on answers; the oldest give way.
void keepAnswer(BucketTable &Table, std::uint32_t Bucket,
                const std::string &Key, KeyEntry &Entry,
                std::shared_ptr<const KeptAnswer> Answer);

void dropAnswer(BucketTable &Table, KeyEntry &Entry);

/// Ends records whose time is over.
void expireRecords(BucketTable &Table, std::uint32_t Bucket, TimePoint Now);

/// An update for the successor, if the bucket has one.
BucketActions updateSuccessor(const BucketTable &Table, std::uint32_t Bucket,
                              const std::string &Key, const KeyEntry *Entry);

} // namespace sycamore::keytable
