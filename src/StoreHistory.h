// Recognizes from a store's answers that it was restored from a copy. Such a
// store lacks what it acknowledged after the copy was made, leases included,
// and gives the revisions of that time out again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore {

struct StoreHistory {
  /// Stated by the store, different after each restoration; empty if it states
  /// none.
  std::string Identity_;
  std::int64_t Revision_ = 0;  ///< Highest one answered in this history.
  std::uint64_t Restored_ = 0; ///< Restorations seen.
};

/// What was known when a call was sent.
struct HistoryMark {
  std::int64_t Revision_ = 0;
  std::uint64_t Restored_ = 0;
};

enum class AnswerAge {
  Current,
  Restored, ///< The first answer after a restoration.
  Outdated, ///< Given before a restoration that another answer has shown.
};

HistoryMark markHistory(const StoreHistory &History);

/// Records an answer to a call sent at Sent. An empty Identity is an answer
/// that states none. Revision is the store's own at that time, which never
/// falls within one history, or 0 if the answer does not state it.
AnswerAge recordAnswer(StoreHistory &History, const HistoryMark &Sent,
                       std::string_view Identity, std::int64_t Revision);

/// Records a revision that the store has reached, from an answer that may be
/// behind the store's own, such as a watch's.
void raiseRevision(StoreHistory &History, const HistoryMark &Sent,
                   std::int64_t Revision);

} // namespace sycamore
