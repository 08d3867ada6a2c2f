// Sites, policies, set-up and customers of a simulation run.
#include "Simulation.h"

#include <algorithm>

namespace sycamore::bench {

Site daegu() {
  return {"Daegu",
          {{"shelfview", 5}, {"reservedesk", 5}, {"issuedesk", 3}},
          6,
          microseconds(500)};
}

Site ashworth() {
  return {"Ashworth",
          {{"catalog", 6}, {"cutting-room", 4}, {"order-desk", 3}},
          12,
          microseconds(1400)};
}

Policy product() { return {}; }

Policy baseline() {
  Policy Out;
  Out.Placement_ = false;
  Out.Admission_ = false;
  Out.Retries_ = false;
  Out.Hedging_ = false;
  return Out;
}

Simulation::Simulation(const RunConfig &Config)
    : Config_(Config), Rng_(Config.Seed_) {
  const Site &TestSite = Config.Site_;
  for (std::size_t Service = 0; Service < TestSite.Services_.size();
       ++Service) {
    HostsOf_.emplace_back();
    for (std::size_t Each = 0; Each < TestSite.Services_[Service].second;
         ++Each) {
      Host New;
      New.Name_ =
          TestSite.Services_[Service].first + "-" + std::to_string(Each + 1);
      New.DataCentre_ = "dc-" + std::to_string(Hosts_.size() % 3);
      New.Service_ = Service;
      New.Placement_.Options_ = Config.Policy_.PlacementOptions_;
      New.Hedges_.Options_ = Config.Policy_.HedgeOptions_;
      New.Admission_.Options_ = Config.Policy_.AdmissionOptions_;
      setSlots(New.Admission_, TestSite.Slots_);
      HostsOf_[Service].push_back(Hosts_.size());
      Hosts_.push_back(std::move(New));
    }
  }
  // Candidates hold views of strings in Hosts_, so Hosts_ must be complete
  // before they are built.
  for (const auto &Ids : HostsOf_) {
    CandidatesOf_.emplace_back();
    for (std::size_t Id : Ids)
      CandidatesOf_.back().push_back({Hosts_[Id].Name_, Hosts_[Id].Name_,
                                      Hosts_[Id].DataCentre_, TestSite.Slots_});
  }
}

RunResult Simulation::run() {
  for (const Slowdown &Each : Config_.Slowdowns_) {
    std::size_t Id = HostsOf_[Each.Service_][Each.Server_];
    Queue_.schedule(Each.From_, [this, Id, Factor = Each.Factor_] {
      Hosts_[Id].SlowFactor_ = Factor;
    });
    Queue_.schedule(Each.To_, [this, Id] { Hosts_[Id].SlowFactor_ = 1; });
  }
  scheduleArrivals();
  tick();
  Queue_.runUntil(TimePoint{Config_.Length_});
  for (const Host &Each : Hosts_)
    Result_.ConflictRefusals_ +=
        Each.Admission_.Counters_.RefusedDepthConflict_;
  return std::move(Result_);
}

RunResult run(const RunConfig &Config) { return Simulation(Config).run(); }

double Simulation::demandAt(TimePoint Time) const {
  const Demand &Curve = Config_.Demand_;
  Duration At = Time.time_since_epoch();
  if (At < Curve.RiseFrom_ || At >= Curve.FallAt_)
    return Curve.Base_;
  if (At >= Curve.RiseTo_)
    return Curve.Peak_;
  double Share = static_cast<double>((At - Curve.RiseFrom_).count()) /
                 static_cast<double>((Curve.RiseTo_ - Curve.RiseFrom_).count());
  return Curve.Base_ + (Curve.Peak_ - Curve.Base_) * Share;
}

void Simulation::scheduleArrivals() {
  for (std::size_t Each = 0; Each < Config_.Workloads_.size(); ++Each)
    if (Config_.Workloads_[Each].Rate_ > 0)
      Queue_.schedule(Duration{0}, [this, Each] { addCustomerRequest(Each); });
}

/// Poisson arrivals at the current rate.
void Simulation::addCustomerRequest(std::size_t Workload) {
  const struct Workload &Kind = Config_.Workloads_[Workload];
  double Rate = Kind.Rate_ * demandAt(Queue_.Now_);
  std::exponential_distribution<double> Gap(Rate / 1e6);
  Queue_.schedule(Duration(static_cast<std::int64_t>(Gap(Rng_)) + 1),
                  [this, Workload] { addCustomerRequest(Workload); });
  Sample New;
  New.Sent_ = Queue_.Now_;
  New.Workload_ = Workload;
  // Both random values are drawn in every run, so that runs with and without
  // long requests have the same arrivals.
  New.Long_ = randomUnit(Rng_) < Kind.LongShare_;
  // Log-normal with mean 1: the 99th percentile is 3.4 times the mean.
  std::lognormal_distribution<double> Spread(-0.18, 0.6);
  double WorkFactor = Spread(Rng_) * (New.Long_ ? Kind.LongFactor_ : 1);
  Result_.Samples_.push_back(New);
  sendCustomerRequest(Result_.Samples_.size() - 1, 0, New.Long_, WorkFactor);
}

void Simulation::sendCustomerRequest(std::size_t Sample,
                                     std::uint32_t ResendCount, bool Long,
                                     double WorkFactor) {
  Call New;
  New.Workload_ = Result_.Samples_[Sample].Workload_;
  New.Entry_ = randomIndex(Rng_, Hosts_.size());
  New.Sample_ = Sample;
  New.ResendCount_ = ResendCount;
  New.SentByCustomer_ = Queue_.Now_;
  New.Long_ = Long;
  New.WorkFactor_ = WorkFactor;
  // The daemon's deadline leaves time for the response to reach the customer.
  New.Deadline_ = Queue_.Now_ + Config_.Timeout_ - Config_.ClientDelay_;
  std::size_t Id = newCall(New);
  Queue_.schedule(Config_.ClientDelay_, [this, Id] { startCall(Id); });
}

void Simulation::onCustomerResponse(std::size_t Id, bool Ok,
                                    Duration RetryAfter) {
  const Call &CurrentCall = Calls_[Id];
  Sample &Record = Result_.Samples_[CurrentCall.Sample_];
  Record.Ended_ = Queue_.Now_;
  Record.Latency_ = Queue_.Now_ - CurrentCall.SentByCustomer_;
  Record.Answered_ = Ok && Record.Latency_ <= Config_.Timeout_;
  if (Record.Answered_ || CurrentCall.ResendCount_ >= Config_.MaxResends_)
    return;
  Duration Wait = backoffDelay({milliseconds(50), seconds(1)},
                               CurrentCall.ResendCount_, RetryAfter, Rng_);
  Queue_.schedule(Wait, [this, Id] {
    const Call &EndedCall = Calls_[Id];
    sendCustomerRequest(EndedCall.Sample_, EndedCall.ResendCount_ + 1,
                        EndedCall.Long_, EndedCall.WorkFactor_);
  });
}

} // namespace sycamore::bench
