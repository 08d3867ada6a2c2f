// State of one simulation run; see DecisionRun.h.
#pragma once

#include "Agenda.h"
#include "DecisionRun.h"

#include "sycamore/RouteCost.h"

#include <deque>

namespace sycamore::bench {

inline constexpr std::size_t None = SIZE_MAX;

/// A server: its daemon, as entry daemon and as the daemon beside its target,
/// and the target.
struct Host {
  std::string Name_;
  std::string DataCentre_;
  std::size_t Service_ = 0;
  Placement Placement_;
  HedgePolicy Hedges_;
  RetryBudget Budget_;
  RouteCost EntryCosts_; ///< From responses, to tell long requests.
  Admission Admission_;
  RouteCost LocalCosts_; ///< Measured beside the target.
  double SlowFactor_ = 1;
  std::size_t NextRoundRobin_ = 0;        ///< Index, for the baseline.
  std::deque<std::size_t> BaselineQueue_; ///< Attempts, for the baseline.
  std::uint32_t BaselineBusySlots_ = 0;   ///< Slots in use, for the baseline.
  std::deque<std::pair<TimePoint, AdmissionLoad>> LoadHistory_;
};

struct Attempt {
  std::size_t Call_ = None;
  std::size_t Target_ = None;     ///< Index of the host.
  std::size_t NestedCall_ = None; ///< Nested call that the attempt waits for.
  TimePoint Sent_{};
  TimePoint Started_{};
  bool Running_ = false;
  bool Hedge_ = false;
  bool Failed_ = false; ///< Its nested call failed: an error status.
  bool Ended_ = false;  ///< At the entry daemon.
};

struct Call {
  std::size_t Workload_ = 0;
  std::size_t Entry_ = None;  ///< Index of the host.
  std::size_t Parent_ = None; ///< Attempt that made it; None for customers.
  std::size_t Sample_ = None;
  std::uint32_t Depth_ = 0;
  std::uint32_t RetryCount_ = 0;  ///< Attempts made after a refusal.
  std::uint32_t ResendCount_ = 0; ///< By the customer, up to this call.
  TimePoint SentByCustomer_{};
  TimePoint StartedAt_{};
  TimePoint Deadline_{};
  double WorkFactor_ = 1; ///< Of this request, the same for each attempt.
  bool Long_ = false;
  bool Done_ = false;
  std::vector<std::size_t> Attempts_;
};

class Simulation {
public:
  explicit Simulation(const RunConfig &Config);
  RunResult run();

private:
  // Customers.
  void scheduleArrivals();
  void addCustomerRequest(std::size_t Workload);
  void sendCustomerRequest(std::size_t Sample, std::uint32_t ResendCount,
                           bool Long, double WorkFactor);
  void onCustomerResponse(std::size_t Id, bool Ok, Duration RetryAfter);

  // Entry daemon.
  std::size_t newCall(const Call &CurrentCall);
  void startCall(std::size_t Id);
  bool dispatch(std::size_t Id);
  std::optional<std::size_t> pickTarget(const Call &CurrentCall);
  void scheduleHedge(std::size_t Id);
  void sendHedge(std::size_t Id, Duration Delay);
  void endHedge(std::size_t AttemptId);
  void onAttemptAnswered(std::size_t AttemptId, AttemptOutcome Outcome,
                         TargetLoad Load, Duration RetryAfter);
  void onAttemptRefused(std::size_t Id, Duration RetryAfter);
  void completeCall(std::size_t Id, bool Ok, Duration RetryAfter);
  void cancelAttempt(std::size_t AttemptId);

  // Target and the daemon beside it.
  void onAttemptArrived(std::size_t AttemptId);
  void admitByBaseline(std::size_t AttemptId);
  void startWork(std::size_t AttemptId);
  void makeNestedCall(std::size_t AttemptId);
  void onNestedCallEnded(std::size_t AttemptId, bool Ok);
  void endWork(std::size_t AttemptId, AttemptOutcome Outcome);
  void startQueued(std::size_t HostId);
  void tick();
  void sendResponse(std::size_t AttemptId, AttemptOutcome Outcome,
                    Duration RetryAfter);

  std::string routeOf(const Call &CurrentCall) const;
  std::string costKeyOf(const Call &CurrentCall) const;
  Duration delayBetween(std::size_t Left, std::size_t Right) const;
  AdmissionLoad reportedLoad(const Host &TargetHost) const;
  Duration workTime(const Call &CurrentCall, double Share) const;
  double demandAt(TimePoint Time) const;

  const RunConfig &Config_;
  EventQueue Queue_;
  Random Rng_;
  std::vector<Host> Hosts_;
  std::vector<std::vector<std::size_t>> HostsOf_;    ///< By service.
  std::vector<std::vector<Candidate>> CandidatesOf_; ///< By service.
  std::deque<Call> Calls_;
  std::deque<Attempt> Attempts_;
  RunResult Result_;
};

} // namespace sycamore::bench
