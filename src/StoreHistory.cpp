// Compares the store's answers with what it answered before.
#include "StoreHistory.h"

#include <algorithm>

namespace sycamore {

HistoryMark markHistory(const StoreHistory &History) {
  return {History.Revision_, History.Restored_};
}

AnswerAge recordAnswer(StoreHistory &History, const HistoryMark &Sent,
                       std::string_view Identity, std::int64_t Revision) {
  bool SameIdentity = !Identity.empty() && Identity == History.Identity_;
  if (Sent.Restored_ != History.Restored_ && !SameIdentity)
    return AnswerAge::Outdated;
  bool OtherIdentity =
      !Identity.empty() && !History.Identity_.empty() && !SameIdentity;
  // The call was sent after the higher revision had been answered.
  bool FellBack = Sent.Restored_ == History.Restored_ && Revision > 0 &&
                  Revision < Sent.Revision_;
  if (!Identity.empty())
    History.Identity_ = Identity;
  if (!OtherIdentity && !FellBack) {
    History.Revision_ = std::max(History.Revision_, Revision);
    return AnswerAge::Current;
  }
  History.Revision_ = Revision;
  ++History.Restored_;
  return AnswerAge::Restored;
}

void raiseRevision(StoreHistory &History, const HistoryMark &Sent,
                   std::int64_t Revision) {
  if (Sent.Restored_ == History.Restored_)
    History.Revision_ = std::max(History.Revision_, Revision);
}

} // namespace sycamore
