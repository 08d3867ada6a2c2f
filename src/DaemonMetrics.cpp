// Writes all metrics of the daemon.
#include "AdminApi.h"
#include "HttpBudget.h"

#include "sycamore/Clock.h"
#include "sycamore/Metrics.h"

#include <fstream>
#include <unistd.h>

namespace sycamore {
namespace {

/// One counter metric and the member that holds its value.
template <typename T> struct CounterRow {
  std::string_view Name_;
  std::string_view Help_;
  std::uint64_t T::*Member_;
};

template <typename T, std::size_t N>
void writeTable(MetricsPage &Page, const T &Counters,
                const std::array<CounterRow<T>, N> &Rows) {
  for (const CounterRow<T> &Row : Rows)
    writeCounter(Page, Row.Name_, Row.Help_, Counters.*Row.Member_);
}

constexpr std::array<CounterRow<EntryProxyCounters>, 12> EntryRows = {{
    {"sycamore_requests_total", "Requests of callers.",
     &EntryProxyCounters::Requests_},
    {"sycamore_refused_no_floor_total", "Refused before the floor was known.",
     &EntryProxyCounters::RefusedNoFloor_},
    {"sycamore_refused_leaving_total", "Refused while leaving.",
     &EntryProxyCounters::RefusedLeaving_},
    {"sycamore_refused_limit_total", "Refused by limits.max_calls.",
     &EntryProxyCounters::RefusedLimit_},
    {"sycamore_no_route_total", "Requests that match no route.",
     &EntryProxyCounters::NoRoute_},
    {"sycamore_unauthenticated_total",
     "Requests without the credential of a tenant on routes that need one.",
     &EntryProxyCounters::Unauthenticated_},
    {"sycamore_refused_stale_total",
     "Requests with a credential while the configuration was stale.",
     &EntryProxyCounters::RefusedStale_},
    {"sycamore_refused_quarantine_total", "Refused by quarantine.",
     &EntryProxyCounters::Quarantined_},
    {"sycamore_callers_gone_total", "Callers that left before their answer.",
     &EntryProxyCounters::CallersDisconnected_},
    {"sycamore_link_heartbeats_total", "Heartbeats on links with calls.",
     &EntryProxyCounters::HeartbeatsSent_},
    {"sycamore_answer_parts_total", "Parts of large answers received.",
     &EntryProxyCounters::AnswerParts_},
    {"sycamore_answer_parts_rejected_total",
     "Parts of answers that do not fit, or that nobody waits for.",
     &EntryProxyCounters::AnswerPartsRejected_},
}};

constexpr std::array<CounterRow<EntryCallsCounters>, 16> CallRows = {{
    {"sycamore_calls_begun_total", "Calls begun.", &EntryCallsCounters::Begun_},
    {"sycamore_attempts_total", "Attempts sent.",
     &EntryCallsCounters::Attempts_},
    {"sycamore_retries_total", "Attempts after the first one.",
     &EntryCallsCounters::Retries_},
    {"sycamore_hedges_total", "Hedged attempts.", &EntryCallsCounters::Hedges_},
    {"sycamore_call_queries_total", "Questions about silent calls.",
     &EntryCallsCounters::Queries_},
    {"sycamore_cancels_total", "Cancellations sent.",
     &EntryCallsCounters::Cancels_},
    {"sycamore_calls_done_total", "Calls that ran.",
     &EntryCallsCounters::Done_},
    {"sycamore_calls_not_run_total", "Calls that did not run.",
     &EntryCallsCounters::NotRun_},
    {"sycamore_calls_unknown_total", "Calls of unknown outcome.",
     &EntryCallsCounters::Unknown_},
    {"sycamore_deadlines_passed_total", "Calls past their deadline.",
     &EntryCallsCounters::DeadlinePassed_},
    {"sycamore_answers_late_total", "Answers to calls that had ended.",
     &EntryCallsCounters::LateAnswers_},
    {"sycamore_answers_duplicate_total", "Answers that came twice.",
     &EntryCallsCounters::DuplicateAnswers_},
    {"sycamore_answers_mismatched_total", "Answers that were not asked for.",
     &EntryCallsCounters::MismatchedAnswers_},
    {"sycamore_refusals_withheld_total",
     "Answers of targets that callers would take for a refusal although the "
     "request may have run.",
     &EntryCallsCounters::RefusalsWithheld_},
    {"sycamore_answers_damaged_total", "Answers that arrived incomplete.",
     &EntryCallsCounters::DamagedAnswers_},
    {"sycamore_links_silent_total", "Links found silent.",
     &EntryCallsCounters::SilentLinks_},
}};

constexpr std::array<CounterRow<TargetProxyCounters>, 12> TargetRows = {{
    {"sycamore_announcements_total", "Announcements of local targets.",
     &TargetProxyCounters::Announcements_},
    {"sycamore_announcements_ignored_total",
     "Announcements and departures older than the known state of the target.",
     &TargetProxyCounters::AnnouncementsIgnored_},
    {"sycamore_announcements_missed_total", "Targets that went silent.",
     &TargetProxyCounters::MissedAnnouncements_},
    {"sycamore_target_requests_total", "Attempts received.",
     &TargetProxyCounters::Requests_},
    {"sycamore_target_unknown_total", "Attempts for targets not here.",
     &TargetProxyCounters::UnknownTargets_},
    {"sycamore_bodies_damaged_total", "Request bodies that arrived damaged.",
     &TargetProxyCounters::DamagedBodies_},
    {"sycamore_target_done_total", "Attempts that ran.",
     &TargetProxyCounters::Done_},
    {"sycamore_target_not_run_total", "Attempts that did not run.",
     &TargetProxyCounters::NotRun_},
    {"sycamore_target_outcome_unknown_total", "Attempts of unknown outcome.",
     &TargetProxyCounters::Unknown_},
    {"sycamore_targets_lost_total", "Targets lost while they ran a request.",
     &TargetProxyCounters::TargetsLost_},
    {"sycamore_target_quarantine_refusals_total",
     "Attempts refused by quarantine beside the target.",
     &TargetProxyCounters::QuarantineRefusals_},
    {"sycamore_target_stale_refusals_total",
     "Requests of tenants refused while the configuration was stale.",
     &TargetProxyCounters::RefusedStale_},
}};

constexpr std::array<CounterRow<PeerTransportCounters>, 13> PeerRows = {{
    {"sycamore_peer_messages_sent_total", "Messages to peers.",
     &PeerTransportCounters::MessagesSent_},
    {"sycamore_peer_bytes_sent_total", "Bytes to peers.",
     &PeerTransportCounters::BytesSent_},
    {"sycamore_peer_messages_received_total", "Messages from peers.",
     &PeerTransportCounters::MessagesReceived_},
    {"sycamore_peer_bytes_received_total", "Bytes from peers.",
     &PeerTransportCounters::BytesReceived_},
    {"sycamore_control_bytes_sent_total", "Bytes to peers without calls.",
     &PeerTransportCounters::ControlBytesSent_},
    {"sycamore_control_bytes_received_total", "Bytes from peers without calls.",
     &PeerTransportCounters::ControlBytesReceived_},
    {"sycamore_peer_unroutable_total", "Messages dropped for want of a link.",
     &PeerTransportCounters::DroppedUnroutable_},
    {"sycamore_peer_malformed_total", "Messages that do not parse.",
     &PeerTransportCounters::DroppedMalformed_},
    {"sycamore_peer_impostors_total",
     "Messages whose sender does not match its key.",
     &PeerTransportCounters::DroppedImpostor_},
    {"sycamore_links_opened_total", "Links dialled.",
     &PeerTransportCounters::LinksOpened_},
    {"sycamore_links_closed_total", "Links closed.",
     &PeerTransportCounters::LinksClosed_},
    {"sycamore_links_evicted_total", "Links closed by limits.peer_links.",
     &PeerTransportCounters::LinksEvicted_},
    {"sycamore_handshakes_refused_total", "Handshakes that peers refused.",
     &PeerTransportCounters::HandshakesRefused_},
}};

constexpr std::array<CounterRow<MembershipCounters>, 8> MembershipRows = {{
    {"sycamore_probes_sent_total", "Probes sent.",
     &MembershipCounters::ProbesSent_},
    {"sycamore_probe_rounds_failed_total", "Probe rounds without an answer.",
     &MembershipCounters::ProbeRoundsFailed_},
    {"sycamore_suspicions_total", "Servers suspected by this daemon.",
     &MembershipCounters::Suspicions_},
    {"sycamore_refutations_total", "Suspicions of this server refuted.",
     &MembershipCounters::Refutations_},
    {"sycamore_deaths_total", "Servers declared dead by this daemon.",
     &MembershipCounters::Deaths_},
    {"sycamore_freezes_total", "Pauses of this process.",
     &MembershipCounters::Freezes_},
    {"sycamore_gossip_records_sent_total", "Records sent by gossip.",
     &MembershipCounters::RecordsSent_},
    {"sycamore_gossip_repairs_total", "Table comparisons that differed.",
     &MembershipCounters::Repairs_},
}};

constexpr std::array<CounterRow<DisseminationCounters>, 8> DisseminationRows = {
    {
        {"sycamore_ticket_offers_sent_total", "Tickets offered to peers.",
         &DisseminationCounters::OffersSent_},
        {"sycamore_ticket_pulls_sent_total", "Tickets asked of peers.",
         &DisseminationCounters::PullsSent_},
        {"sycamore_ticket_pull_timeouts_total", "Pulls without an answer.",
         &DisseminationCounters::PullTimeouts_},
        {"sycamore_ticket_pulls_served_total", "Tickets sent to peers.",
         &DisseminationCounters::PullsServed_},
        {"sycamore_ticket_busy_sent_total", "Pulls refused as busy.",
         &DisseminationCounters::BusySent_},
        {"sycamore_ticket_bodies_packed_total",
         "Ticket bodies compressed for peers.",
         &DisseminationCounters::BodiesPacked_},
        {"sycamore_ticket_snapshots_sent_total", "Snapshots sent to peers.",
         &DisseminationCounters::SnapshotsSent_},
        {"sycamore_ticket_bodies_rejected_total", "Tickets from peers refused.",
         &DisseminationCounters::BodiesRejected_},
    }};

constexpr std::array<CounterRow<ControlPlaneCounters>, 10> ControlRows = {{
    {"sycamore_head_reads_total", "Reads of the head.",
     &ControlPlaneCounters::HeadReads_},
    {"sycamore_snapshot_reads_total", "Reads of a base snapshot.",
     &ControlPlaneCounters::SnapshotReads_},
    {"sycamore_seed_writes_total", "Writes of the seeds.",
     &ControlPlaneCounters::SeedWrites_},
    {"sycamore_store_restorations_total",
     "Times that the store came back from a copy.",
     &ControlPlaneCounters::StoreRestorations_},
    {"sycamore_departures_restored_total",
     "Departures of targets written again to a restored store.",
     &ControlPlaneCounters::DeparturesRestored_},
    {"sycamore_departures_stored_total",
     "Departures of targets written to the store.",
     &ControlPlaneCounters::DeparturesStored_},
    {"sycamore_departure_store_failures_total",
     "Writes of departures that failed.",
     &ControlPlaneCounters::DepartureStoreFailures_},
    {"sycamore_watches_started_total", "Watches of the head.",
     &ControlPlaneCounters::WatchesStarted_},
    {"sycamore_watch_events_total", "New heads by watch.",
     &ControlPlaneCounters::WatchEvents_},
    {"sycamore_store_failures_total", "Reads of the head that failed.",
     &ControlPlaneCounters::StoreFailures_},
}};

constexpr std::array<CounterRow<WatchDelegationCounters>, 4> DelegationRows = {{
    {"sycamore_watch_requests_sent_total", "Servers asked to watch instead.",
     &WatchDelegationCounters::RequestsSent_},
    {"sycamore_watch_requests_received_total", "Requests to watch for readers.",
     &WatchDelegationCounters::RequestsReceived_},
    {"sycamore_watch_delegations_total", "Delegates found.",
     &WatchDelegationCounters::Delegations_},
    {"sycamore_watch_passes_failed_total", "Searches without a delegate.",
     &WatchDelegationCounters::PassesFailed_},
}};

constexpr std::array<CounterRow<ConfigFreshnessCounters>, 6> FreshnessRows = {{
    {"sycamore_freshness_store_total", "Confirmations by the store.",
     &ConfigFreshnessCounters::StoreConfirmations_},
    {"sycamore_freshness_peers_total", "Newer confirmations from peers.",
     &ConfigFreshnessCounters::PeerConfirmations_},
    {"sycamore_freshness_sent_total", "Messages sent.",
     &ConfigFreshnessCounters::Sent_},
    {"sycamore_freshness_received_total", "Messages received.",
     &ConfigFreshnessCounters::Received_},
    {"sycamore_freshness_undated_total",
     "Messages received whose age was not known.",
     &ConfigFreshnessCounters::Undated_},
    {"sycamore_freshness_mismatched_total",
     "Confirmations of a ticket with another digest.",
     &ConfigFreshnessCounters::Mismatched_},
}};

constexpr std::array<CounterRow<KeyedCallsCounters>, 10> KeyRows = {{
    {"sycamore_keys_run_total", "Keys run here.", &KeyedCallsCounters::Run_},
    {"sycamore_keys_joined_total", "Keys that waited for an earlier sending.",
     &KeyedCallsCounters::Joined_},
    {"sycamore_keys_replayed_total", "Keys answered from memory.",
     &KeyedCallsCounters::Replayed_},
    {"sycamore_keys_mismatched_total", "Keys used for another request.",
     &KeyedCallsCounters::Mismatched_},
    {"sycamore_keys_lease_lapsed_total", "Keys refused without a lease.",
     &KeyedCallsCounters::LeaseLapsed_},
    {"sycamore_keys_unknown_takeover_total", "Keys of an earlier holder.",
     &KeyedCallsCounters::UnknownAfterTakeover_},
    {"sycamore_buckets_acquired_total", "Buckets taken.",
     &KeyedCallsCounters::Acquired_},
    {"sycamore_lease_keep_alives_total", "Leases renewed.",
     &KeyedCallsCounters::KeepAlives_},
    {"sycamore_lease_keep_alive_failures_total", "Renewals that failed.",
     &KeyedCallsCounters::KeepAliveFailures_},
    {"sycamore_bucket_handovers_total", "Buckets handed over.",
     &KeyedCallsCounters::HandoversSent_},
}};

constexpr std::array<CounterRow<WaitLimitCounters>, 3> WaitLimitRows = {{
    {"sycamore_wait_limit_accepted_total",
     "Attempts with a limit of the wait that were not refused.",
     &WaitLimitCounters::Accepted_},
    {"sycamore_wait_limit_refused_total",
     "Attempts with a limit of the wait that were refused.",
     &WaitLimitCounters::Refused_},
    {"sycamore_wait_limit_skipped_total",
     "Calls without a limit of the wait because nearly all targets are busy.",
     &WaitLimitCounters::SkippedBusy_},
}};

constexpr std::array<CounterRow<PlacementCounters>, 6> PlacementRows = {{
    {"sycamore_placements_total", "Targets chosen.",
     &PlacementCounters::Chosen_},
    {"sycamore_placements_far_total", "Targets in another data centre.",
     &PlacementCounters::ChosenFar_},
    {"sycamore_placements_none_total", "Calls without a target.",
     &PlacementCounters::NoCandidate_},
    {"sycamore_outliers_total", "Targets found slow.",
     &PlacementCounters::OutliersFound_},
    {"sycamore_panics_total", "Choices with too many slow targets.",
     &PlacementCounters::Panics_},
    {"sycamore_ejections_total", "Targets that refused connections.",
     &PlacementCounters::Ejections_},
}};

constexpr std::array<CounterRow<RolloutCounters>, 10> RolloutRows = {{
    {"sycamore_rollout_orders_total", "Orders of roll-outs read.",
     &RolloutCounters::Orders_},
    {"sycamore_rollout_orders_rejected_total", "Orders that cannot be read.",
     &RolloutCounters::OrdersRejected_},
    {"sycamore_rollout_states_received_total", "States from peers.",
     &RolloutCounters::StatesReceived_},
    {"sycamore_rollout_reports_sent_total", "Reports to a holder.",
     &RolloutCounters::ReportsSent_},
    {"sycamore_rollout_reports_received_total", "Reports from peers.",
     &RolloutCounters::ReportsReceived_},
    {"sycamore_rollout_steps_total", "Shares and verdicts set by this holder.",
     &RolloutCounters::StepsSet_},
    {"sycamore_rollout_takeovers_total", "Roll-outs taken over.",
     &RolloutCounters::Takeovers_},
    {"sycamore_rollouts_completed_total", "Versions found good.",
     &RolloutCounters::Completed_},
    {"sycamore_rollouts_rolled_back_total", "Versions found bad.",
     &RolloutCounters::RolledBack_},
    {"sycamore_rollout_store_failures_total",
     "Calls for the state of a roll-out that failed.",
     &RolloutCounters::StoreFailures_},
}};

/// Only of services with a roll-out.
void writeRollouts(MetricsPage &Page, const RolloutTable &Table) {
  for (const auto &[Service, Entry] : Table.Rollouts_) {
    MetricLabels Labels = {{"service", Service},
                           {"target_version", Entry.State_.target_version()}};
    writeGauge(Page, "sycamore_rollout_share",
               "Part of the requests that goes to the new version.",
               static_cast<double>(Entry.State_.share_permille()) /
                   FullSharePermille,
               Labels);
    writeGauge(Page, "sycamore_rollout_phase",
               "0 running, 1 completed, 2 rolled back.", Entry.State_.phase(),
               Labels);
    writeCounter(Page, "sycamore_rollout_new_requests_total",
                 "Requests of this daemon to the new version.",
                 Entry.New_.Sent_, Labels);
    writeCounter(Page, "sycamore_rollout_old_requests_total",
                 "Requests of this daemon to other versions.", Entry.Old_.Sent_,
                 Labels);
  }
}

constexpr std::array<CounterRow<QuotaCounters>, 8> QuotaRows = {{
    {"sycamore_quota_granted_total", "Requests of tenants run for a token.",
     &QuotaCounters::Granted_},
    {"sycamore_quota_denied_total", "Requests refused over a quota.",
     &QuotaCounters::Denied_},
    {"sycamore_quota_lapsed_total", "Tokens that were not used in time.",
     &QuotaCounters::Lapsed_},
    {"sycamore_quota_returned_total", "Tokens of requests that did not run.",
     &QuotaCounters::Returned_},
    {"sycamore_quota_fallback_total",
     "Requests run for this daemon's own part of a quota, without an owner.",
     &QuotaCounters::Fallback_},
    {"sycamore_quota_waited_total", "Requests that waited for a token.",
     &QuotaCounters::Waited_},
    {"sycamore_quota_questions_total", "Requests for tokens sent to owners.",
     &QuotaCounters::QuestionsSent_},
    {"sycamore_quota_unanswered_total",
     "Requests for tokens without an answer.", &QuotaCounters::Unanswered_},
}};

void writeStoreCalls(MetricsPage &Page, const StoreCounters &Counters) {
  for (const auto &[Kind, Outcomes] : Counters.Calls_)
    for (const auto &[Outcome, Count] : Outcomes)
      writeCounter(Page, "sycamore_store_calls_total", "Calls of the store.",
                   Count, {{"kind", Kind}, {"outcome", Outcome}});
}

void writeAdmission(MetricsPage &Page, const TargetProxy &Targets) {
  for (const auto &[Name, Target] : Targets.targets()) {
    MetricLabels Labels = {{"target", Name}};
    AdmissionLoad Load = load(Target.Admission_);
    const AdmissionCounters &Counters = Target.Admission_.Counters_;
    writeGauge(Page, "sycamore_slots", "Slots of the target.", Load.Slots_,
               Labels);
    writeGauge(Page, "sycamore_slots_running", "Requests that run.",
               Load.Running_, Labels);
    writeGauge(Page, "sycamore_queue_length", "Requests that wait.",
               Load.Queued_, Labels);
    writeCounter(Page, "sycamore_admitted_total", "Requests given a slot.",
                 Counters.Admitted_, Labels);
    writeCounter(Page, "sycamore_refused_queue_full_total",
                 "Refused for a full queue.", Counters.RefusedQueueFull_,
                 Labels);
    writeCounter(Page, "sycamore_refused_too_late_total",
                 "Refused for their deadline.", Counters.RefusedTooLate_,
                 Labels);
    writeCounter(Page, "sycamore_refused_wait_limit_total",
                 "Refused for the limit of their wait.",
                 Counters.RefusedWaitLimit_, Labels);
  }
}

/// Resident memory in bytes, from the second field of statm.
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void writeWork(MetricsPage &Page, const LoopWork &Work) {
  for (std::size_t I = 0; I < LoopTaskCount; ++I)
    writeGauge(Page, "sycamore_loop_task_seconds_total",
               "Time that the event loop spent in each kind of work.",
               std::chrono::duration<double>(Work.Tasks_[I].Total_).count(),
               {{"task", std::string(loopTaskName(static_cast<LoopTask>(I)))}});
}

void writeGauges(MetricsPage &Page, const AdminContext &Context) {
  const ControlPlane &Control = Context.Control_;
  writeGauge(Page, "sycamore_ticket", "Number of the ticket in force.",
             static_cast<double>(Control.snapshot()->Number_));
  writeGauge(Page, "sycamore_serving", "1 when the floor is known.",
             Control.mayServe() ? 1 : 0);
  const ConfigFreshness &Freshness = Control.freshness();
  if (isBounded(Freshness)) {
    TimePoint Time = monotonicNow();
    auto Age = confirmationAge(Freshness, Time);
    writeGauge(Page, "sycamore_configuration_age_seconds",
               "Age of the store's last confirmation of the ticket in force; "
               "-1 without any.",
               Age ? std::chrono::duration<double>(*Age).count() : -1);
    writeGauge(Page, "sycamore_configuration_stale",
               "1 when requests with a credential are refused.",
               isStale(Freshness, Time) ? 1 : 0);
  }
  writeGauge(Page, "sycamore_stopping", "1 during a planned stop.",
             Context.Entry_.isStopping() ? 1 : 0);
  writeGauge(Page, "sycamore_rejected_ticket", "Last ticket refused; 0: none.",
             Control.replica().Rejection_
                 ? static_cast<double>(Control.replica().Rejection_->Number_)
                 : 0);
  writeGauge(Page, "sycamore_peer_silence_seconds",
             "Time since the last message of a peer; since the start before "
             "the first.",
             std::chrono::duration<double>(monotonicNow() -
                                           Context.Control_.members().HeardAt_)
                 .count());
  writeGauge(Page, "sycamore_servers_known", "Rows of the server table.",
             static_cast<double>(Control.members().Servers_.size()));
  writeGauge(Page, "sycamore_targets_known", "Rows of the target table.",
             static_cast<double>(Control.members().Targets_.size()));
  writeGauge(Page, "sycamore_calls_in_flight", "Calls of callers.",
             static_cast<double>(Context.Entry_.inFlight()));
  writeGauge(Page, "sycamore_quota_waiting", "Requests that wait for a token.",
             static_cast<double>(Context.Quotas_.waiting()));
  writeGauge(Page, "sycamore_links", "Links dialled.",
             static_cast<double>(Context.Peers_.linkCount()));
  const HttpBudget &Http = Context.HttpBudget_;
  writeGauge(Page, "sycamore_request_bytes_held",
             "Memory of requests that are not answered, on all listeners.",
             static_cast<double>(Http.Bytes_));
  writeCounter(Page, "sycamore_requests_dropped_total",
               "Connections closed because requests took too much memory.",
               Http.DroppedForBytes_);
  writeCounter(Page, "sycamore_connections_evicted_total",
               "Connections without progress closed for lack of descriptors.",
               Http.ClosedForDescriptors_);
  const AnswerPacing &Pacing = Context.Answers_.pacing();
  writeGauge(Page, "sycamore_answer_bytes_waiting",
             "Bytes of large answers that wait for the link.",
             static_cast<double>(Pacing.QueuedBytes_));
  writeCounter(Page, "sycamore_answers_paced_total",
               "Large answers sent in pieces.", Pacing.Counters_.BodiesPaced_);
  writeCounter(Page, "sycamore_answers_dropped_total",
               "Large answers that nobody waited for any more.",
               Pacing.Counters_.Dropped_);
  writeGauge(Page, "sycamore_buckets_held", "Buckets of keys held.",
             static_cast<double>(heldBuckets(Context.Keys_.buckets()).size()));
  writeGauge(Page, "process_resident_memory_bytes", "Resident memory.",
             residentBytes());
  writeGauge(Page, "process_cpu_seconds_total", "Processor time.",
             std::chrono::duration<double>(processorTime()).count());
  writeGauge(Page, "sycamore_tick_delay_seconds",
             "Longest delay of a tick since the last line totals.",
             std::chrono::duration<double>(Context.Work_.TickDelay_).count());
}

} // namespace

std::string metricsText(const AdminContext &Context) {
  MetricsPage Page;
  writeGauges(Page, Context);
  writeWork(Page, Context.Work_);
  writeTable(Page, Context.Entry_.counters(), EntryRows);
  writeTable(Page, Context.Entry_.calls().Counters_, CallRows);
  writeTable(Page, Context.Targets_.counters(), TargetRows);
  writeTable(Page, Context.Peers_.counters(), PeerRows);
  writeTable(Page, Context.Control_.members().Counters_, MembershipRows);
  writeTable(Page, Context.Control_.dissemination().Counters_,
             DisseminationRows);
  writeTable(Page, Context.Control_.counters(), ControlRows);
  writeTable(Page, Context.Control_.watchDelegation().Counters_,
             DelegationRows);
  if (isBounded(Context.Control_.freshness()))
    writeTable(Page, Context.Control_.freshness().Counters_, FreshnessRows);
  writeTable(Page, Context.Keys_.buckets().Counters_, KeyRows);
  writeTable(Page, Context.Entry_.placement().Counters_, PlacementRows);
  writeTable(Page, Context.Rollouts_.counters(), RolloutRows);
  writeRollouts(Page, Context.Rollouts_.table());
  writeTable(Page, Context.Entry_.waitLimits().Counters_, WaitLimitRows);
  writeTable(Page, Context.Quotas_.counters(), QuotaRows);
  writeStoreCalls(Page, Context.StoreCounters_);
  writeAdmission(Page, Context.Targets_);
  for (wire::RunOutcome Run :
       {wire::RUN_NOT_RUN, wire::RUN_DONE, wire::RUN_UNKNOWN})
    writeHistogram(Page, "sycamore_call_seconds", "Time of a caller's request.",
                   Context.Entry_.callTimes(Run),
                   {{"run", std::string(runOutcomeName(Run))}});
  writeHistogram(Page, "sycamore_added_seconds",
                 "Time of an attempt without its time in the target.",
                 Context.Entry_.overheadTimes());
  writeHistogram(Page, "sycamore_target_seconds",
                 "Time that the target took to answer.",
                 Context.Targets_.serviceTimes());
  writeHistogram(Page, "sycamore_queue_seconds", "Time in the queue.",
                 Context.Targets_.queueTimes());
  return Page.Text_;
}

} // namespace sycamore
