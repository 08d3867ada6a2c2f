// Adds the entry daemons' reports to the evidence of a roll-out's holder.
#include "RolloutEvidence.h"

#include <algorithm>

namespace sycamore {
namespace {

RolloutCounts countsOf(const wire::RolloutCounts &Counts) {
  return {Counts.requests(), Counts.failures(), Counts.slow(),
          Duration(static_cast<std::int64_t>(Counts.time_sum_us()))};
}

std::uint64_t difference(std::uint64_t Now, std::uint64_t Before) {
  return Now > Before ? Now - Before : 0;
}

/// What Now counts beyond Before.
RolloutCounts difference(const RolloutCounts &Now,
                         const RolloutCounts &Before) {
  return {difference(Now.Answers_, Before.Answers_),
          difference(Now.Failures_, Before.Failures_),
          difference(Now.Slow_, Before.Slow_),
          std::max(Now.Times_ - Before.Times_, Duration(0))};
}

using CountsByRoute = std::map<std::string, RolloutCounts>;

template <typename Rows> CountsByRoute byRoute(const Rows &Items) {
  CountsByRoute Out;
  for (const wire::RolloutCounts &Item : Items)
    Out[Item.route()] = countsOf(Item);
  return Out;
}

/// Runs Add with each row's growth; a row without a route goes to Sent.
template <typename Rows, typename AddCounts>
void addRows(const Rows &Now, const Rows &Before, std::uint64_t &Sent,
             AddCounts Add) {
  CountsByRoute Known = byRoute(Before);
  for (const auto &[Route, Counts] : byRoute(Now)) {
    RolloutCounts Added = difference(Counts, Known[Route]);
    if (Route.empty())
      Sent += Added.Answers_;
    else
      Add(Route, Added);
  }
}

/// Counters of one process never fall; a report with lower ones was overtaken.
bool isOutdated(const wire::RolloutReport &Report,
                const wire::RolloutReport &Known) {
  if (Report.step() < Known.step())
    return true;
  CountsByRoute New = byRoute(Report.new_version());
  for (const auto &[Route, Counts] : byRoute(Known.new_version()))
    if (!Route.empty() && New[Route].Answers_ < Counts.Answers_)
      return true;
  return false;
}

} // namespace

void addRolloutReport(RolloutHolder &Holder, const std::string &Server,
                      std::uint64_t Process, const wire::RolloutReport &Report,
                      TimePoint Time) {
  if (Report.order_revision() != Holder.Order_.Revision_)
    return;
  RolloutReporter &Reporter = Holder.Reporters_[Server];
  if (Process < Reporter.Process_)
    return;
  if (Process > Reporter.Process_)
    Reporter = {Process, {}, Time};
  const wire::RolloutReport &Known = Reporter.Report_;
  if (isOutdated(Report, Known))
    return;
  addRows(Report.old_version(), Known.old_version(), Holder.OldSent_,
          [&](const std::string &Route, const RolloutCounts &Added) {
            addOldAnswers(Holder.Routes_[Route], Added, Time);
            addOldAnswers(Holder.All_, Added, Time);
          });
  addRows(Report.new_version(), Known.new_version(), Holder.NewSent_,
          [&](const std::string &Route, const RolloutCounts &Added) {
            addNewAnswers(Holder.Routes_[Route], Added);
            addNewAnswers(Holder.All_, Added);
          });
  Reporter.Report_ = Report;
  Reporter.HeardAt_ = Time;
}

} // namespace sycamore
