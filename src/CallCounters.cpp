// Names of the call modules' counters.
#include "sycamore/CallCounters.h"

namespace sycamore {
namespace {

template <typename T> struct NamedCounter {
  const char *Name_;
  std::uint64_t T::*Value_;
};

constexpr NamedCounter<EntryCallsCounters> EntryCallsCountersNames[] = {
    {"begun", &EntryCallsCounters::Begun_},
    {"attempts", &EntryCallsCounters::Attempts_},
    {"retries", &EntryCallsCounters::Retries_},
    {"hedges", &EntryCallsCounters::Hedges_},
    {"wait_limited", &EntryCallsCounters::WaitLimited_},
    {"queries", &EntryCallsCounters::Queries_},
    {"cancels", &EntryCallsCounters::Cancels_},
    {"done", &EntryCallsCounters::Done_},
    {"not_run", &EntryCallsCounters::NotRun_},
    {"unknown", &EntryCallsCounters::Unknown_},
    {"caller_gone", &EntryCallsCounters::CallerDisconnected_},
    {"deadline_passed", &EntryCallsCounters::DeadlinePassed_},
    {"late_answers", &EntryCallsCounters::LateAnswers_},
    {"duplicate_answers", &EntryCallsCounters::DuplicateAnswers_},
    {"mismatched_answers", &EntryCallsCounters::MismatchedAnswers_},
    {"damaged_answers", &EntryCallsCounters::DamagedAnswers_},
    {"refusals_withheld", &EntryCallsCounters::RefusalsWithheld_},
    {"foreign_processes", &EntryCallsCounters::OtherProcessAnswers_},
    {"unnamed_processes", &EntryCallsCounters::UnknownProcesses_},
    {"silent_links", &EntryCallsCounters::SilentLinks_},
    {"resolved_by_query", &EntryCallsCounters::ResolvedByQuery_},
};

constexpr NamedCounter<TargetCallsCounters> TargetCallsCountersNames[] = {
    {"accepted", &TargetCallsCounters::Accepted_},
    {"duplicates", &TargetCallsCounters::Duplicates_},
    {"replays", &TargetCallsCounters::Replays_},
    {"refused_for_good", &TargetCallsCounters::RefusedPermanently_},
    {"expired", &TargetCallsCounters::Expired_},
    {"wrong_process", &TargetCallsCounters::WrongProcess_},
    {"forgotten", &TargetCallsCounters::Forgotten_},
    {"full", &TargetCallsCounters::Full_},
    {"mismatched", &TargetCallsCounters::Mismatched_},
    {"queries", &TargetCallsCounters::Queries_},
    {"tombstones", &TargetCallsCounters::Tombstones_},
    {"cancelled", &TargetCallsCounters::Cancelled_},
    {"answers_dropped", &TargetCallsCounters::AnswersDropped_},
    {"records_dropped", &TargetCallsCounters::RecordsDropped_},
    {"processes_forgotten", &TargetCallsCounters::ProcessesForgotten_},
    {"pauses", &TargetCallsCounters::Pauses_},
};

constexpr NamedCounter<KeyedCallsCounters> KeyedCallsCountersNames[] = {
    {"run", &KeyedCallsCounters::Run_},
    {"joined", &KeyedCallsCounters::Joined_},
    {"replayed", &KeyedCallsCounters::Replayed_},
    {"mismatched", &KeyedCallsCounters::Mismatched_},
    {"not_holder", &KeyedCallsCounters::NotHolder_},
    {"lease_lapsed", &KeyedCallsCounters::LeaseLapsed_},
    {"handing_over", &KeyedCallsCounters::HandingOver_},
    {"from_the_future", &KeyedCallsCounters::FromTheFuture_},
    {"full", &KeyedCallsCounters::Full_},
    {"unknown_after_takeover", &KeyedCallsCounters::UnknownAfterTakeover_},
    {"unknown_too_old", &KeyedCallsCounters::UnknownTooOld_},
    {"unknown_outcome", &KeyedCallsCounters::UnknownOutcome_},
    {"answers_dropped", &KeyedCallsCounters::AnswersDropped_},
    {"acquired", &KeyedCallsCounters::Acquired_},
    {"acquire_failures", &KeyedCallsCounters::AcquireFailures_},
    {"keep_alives", &KeyedCallsCounters::KeepAlives_},
    {"keep_alive_failures", &KeyedCallsCounters::KeepAliveFailures_},
    {"leases_lost", &KeyedCallsCounters::LeasesLost_},
    {"handovers_sent", &KeyedCallsCounters::HandoversSent_},
    {"handovers_taken", &KeyedCallsCounters::HandoversTaken_},
};

template <typename T, std::size_t Size>
std::vector<CounterValue> valuesOf(const T &Counters,
                                   const NamedCounter<T> (&Names)[Size]) {
  static_assert(sizeof(T) == Size * sizeof(std::uint64_t),
                "every counter needs a name");
  std::vector<CounterValue> Out;
  Out.reserve(Size);
  for (const NamedCounter<T> &Each : Names)
    Out.push_back({Each.Name_, Counters.*Each.Value_});
  return Out;
}

} // namespace

std::vector<CounterValue> counterValues(const EntryCallsCounters &Counters) {
  return valuesOf(Counters, EntryCallsCountersNames);
}

std::vector<CounterValue> counterValues(const TargetCallsCounters &Counters) {
  return valuesOf(Counters, TargetCallsCountersNames);
}

std::vector<CounterValue> counterValues(const KeyedCallsCounters &Counters) {
  return valuesOf(Counters, KeyedCallsCountersNames);
}

} // namespace sycamore
