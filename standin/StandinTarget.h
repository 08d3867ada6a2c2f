// Stand-in for a target: an HTTP server that takes a configurable time for each
// request, with fault injection.
//
// GET /health   {"status": "ok"}, or status 503 with "starting" or "draining"
// GET /load     {"running", "slots", "load"}; outdated or false under a fault
// POST /faults sets the given fields:
//   slow_factor     multiplies the work time
//   draining        /health reports "draining", new requests are refused
//   crash_marker    a request whose path or body contains this text terminates
//                   the process at once; empty for none
//   lying_load      /load reports an idle target
//   load_lag_ms     age of the load that /load reports
//   silent          requests are accepted and never answered
//   cut             number of responses (true for all) whose connection is
//                   closed after half of the body
// Any other request is work; see TargetAnswers.h for the responses.
#pragma once

#include "TargetLedger.h"
#include "sycamore/HttpClient.h"
#include "sycamore/HttpServer.h"
#include "sycamore/Random.h"

#include <deque>
#include <map>

struct event;

namespace sycamore::standin {

struct StandinTargetConfig {
  std::string Listen_ = "127.0.0.1:0";
  std::string Name_ = "target-1";
  std::string Service_ = "service";
  std::size_t Slots_ = 6;
  std::string Announce_; ///< Admin address of the daemon; empty: not announced.
  Duration ColdStart_{0}; ///< After the start; requests wait for its end.
  Duration WorkTime_ = milliseconds(1);
  double StragglerRatio_ = 0; ///< Share of requests that are stragglers.
  double StragglerFactor_ = 50;
  double SlowFactor_ = 1;
  std::string Ledger_;
  std::string NestedPath_; ///< Called after the work; empty for none.
  std::string NestedVia_;  ///< Caller address of the daemon.
  /// Length of the chain of nested calls that a request without the header
  /// x-nested-levels starts. Nested calls carry the remaining length in that
  /// header.
  std::uint64_t NestedLevels_ = 1;
  std::uint64_t Seed_ = 1;
  std::function<void()> Crash_; ///< On crash_marker; unset: the process exits.
};

struct TargetFaults {
  double SlowFactor_ = 1;
  bool Draining_ = false;
  std::string CrashMarker_;
  bool LyingLoad_ = false;
  std::uint64_t LoadLagMs_ = 0;
  bool Silent_ = false;
  std::uint64_t CutResponses_ = 0;
};

class StandinTarget {
public:
  static Result<std::unique_ptr<StandinTarget>>
  create(event_base *Base, const StandinTargetConfig &Config);
  StandinTarget(const StandinTarget &) = delete;
  StandinTarget &operator=(const StandinTarget &) = delete;
  ~StandinTarget();

  const std::string &address() const { return Address_; }
  std::size_t running() const { return Jobs_.size(); }
  std::optional<Error> setFaults(const Json &Document);

  /// Deregisters from the daemon, refuses new requests, completes the running
  /// ones, and then calls Finished. Further calls have no effect.
  void drain(std::function<void()> Finished);

private:
  struct Job {
    StandinTarget *Owner_ = nullptr;
    std::uint64_t Sequence_ = 0;
    HttpExchangePointer Exchange_;
    event *Timer_ = nullptr;
    TimePoint FinishAt_;
    TimePoint DeadlineAt_;
    std::shared_ptr<HttpCall> Nested_;
  };

  StandinTarget(event_base *Base, const StandinTargetConfig &Config);
  void handle(const HttpExchangePointer &Exchange);
  void handleFaults(const HttpExchangePointer &Exchange);
  void answerHealth(const HttpExchangePointer &Exchange) const;
  void answerLoad(const HttpExchangePointer &Exchange) const;
  void handleWork(const HttpExchangePointer &Exchange);
  void startJob(const HttpExchangePointer &Exchange);
  Duration workTime(const HttpRequest &Request);
  void armTimer(Job &Item) const;
  void onWorkDone(Job &Item);
  bool startNestedCall(Job &Item);
  void onNestedResponse(std::uint64_t Sequence, const HttpResponse &Response);
  void finish(Job &Item);
  /// Removes the job and records the event in the ledger.
  HttpExchangePointer removeJob(Job &Item, std::string_view Event);
  void sendCutResponse(const HttpExchangePointer &Exchange);
  void recordLoad();
  void announce();
  void sendDeregistration();
  void checkDrained();
  bool draining() const { return Faults_.Draining_ || DrainRequested_; }
  static void onJobTimer(int Socket, short Events, void *Self);
  static void onAnnounceTimer(int Socket, short Events, void *Self);
  static void onDrainTimer(int Socket, short Events, void *Self);

  event_base *Base_;
  StandinTargetConfig Config_;
  TargetFaults Faults_;
  TargetLedger Ledger_;
  Random Rng_;
  std::string Address_;
  std::unique_ptr<HttpServer> Server_;
  std::unique_ptr<HttpClient> Client_;
  event *AnnounceTimer_;
  event *DrainTimer_;
  TimePoint ColdStartEnd_;
  std::uint64_t LastSequence_ = 0;
  std::map<std::uint64_t, Job> Jobs_;
  /// Exchanges of silent requests, kept open without a response.
  std::vector<HttpExchangePointer> SilentExchanges_;
  std::deque<std::pair<TimePoint, std::size_t>> LoadHistory_;
  bool DrainRequested_ = false;
  bool DeregistrationAnswered_ = false;
  TimePoint DrainStartedAt_;
  std::function<void()> OnDrained_;
};

} // namespace sycamore::standin
