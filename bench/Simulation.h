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
  RouteCost Costs_; ///< From responses, to tell long requests.
  Admission Admission_;
  RouteCost LocalCosts_; ///< Measured beside the target.
  double Slowness_ = 1;
  std::size_t Turn_ = 0;            ///< Index, for the baseline.
  std::deque<std::size_t> Waiting_; ///< Attempts, for the baseline.
  std::uint32_t Busy_ = 0;          ///< Slots in use, for the baseline.
  std::deque<std::pair<TimePoint, AdmissionLoad>> Loads_;
};

struct Attempt {
  std::size_t Call_ = None;
  std::size_t Target_ = None; ///< Index of the host.
  std::size_t Child_ = None;  ///< Nested call that the attempt waits for.
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
  std::uint32_t Tries_ = 0; ///< Attempts made after a refusal.
  std::uint32_t Sends_ = 0; ///< By the customer, up to this call.
  TimePoint SentByCustomer_{};
  TimePoint Begun_{};
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
  void arrive(std::size_t Workload);
  void sendCustomer(std::size_t Sample, std::uint32_t Sends, bool Long,
                    double WorkFactor);
  void endCustomer(std::size_t Id, bool Ok, Duration RetryAfter);

  // Entry daemon.
  std::size_t newCall(const Call &Value);
  void begin(std::size_t Id);
  bool dispatch(std::size_t Id);
  std::optional<std::size_t> pick(const Call &Value);
  void scheduleHedge(std::size_t Id);
  void sendHedge(std::size_t Id, Duration Delay);
  void endHedge(std::size_t AttemptId);
  void answered(std::size_t AttemptId, AttemptOutcome Outcome, TargetLoad Load,
                Duration RetryAfter);
  void refused(std::size_t Id, Duration RetryAfter);
  void settle(std::size_t Id, bool Ok, Duration RetryAfter);
  void cancelAttempt(std::size_t AttemptId);

  // Target and the daemon beside it.
  void offered(std::size_t AttemptId);
  void offeredToBaseline(std::size_t AttemptId);
  void startWork(std::size_t AttemptId);
  void afterFirstHalf(std::size_t AttemptId);
  void childEnded(std::size_t AttemptId, bool Ok);
  void endWork(std::size_t AttemptId, AttemptOutcome Outcome);
  void pump(std::size_t HostId);
  void tick();
  void answer(std::size_t AttemptId, AttemptOutcome Outcome,
              Duration RetryAfter);

  std::string routeOf(const Call &Value) const;
  std::string costKeyOf(const Call &Value) const;
  Duration delayBetween(std::size_t Left, std::size_t Right) const;
  AdmissionLoad reportedLoad(const Host &Value) const;
  Duration workOf(const Call &Value, double Share) const;
  double demandAt(TimePoint Time) const;

  const RunConfig &Config_;
  Agenda Agenda_;
  Random Rng_;
  std::vector<Host> Hosts_;
  std::vector<std::vector<std::size_t>> HostsOf_;    ///< By service.
  std::vector<std::vector<Candidate>> CandidatesOf_; ///< By service.
  std::deque<Call> Calls_;
  std::deque<Attempt> Attempts_;
  RunResult Result_;
};

} // namespace sycamore::bench
