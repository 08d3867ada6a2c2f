// Open-loop schedule of a scenario's requests.
#include "LoadPlan.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace sycamore {
namespace {

/// Seconds into the phase at which the expected number of arrivals reaches
/// ExpectedArrivals: solves
/// rate*t + (end_rate-rate)*t^2/(2*length) = ExpectedArrivals.
double arrivalTime(const LoadPhase &Phase, double ExpectedArrivals) {
  std::chrono::duration<double> Length = Phase.Length_;
  double Slope = (Phase.EndRate_ - Phase.Rate_) / Length.count();
  if (std::abs(Slope) < 1e-9)
    return ExpectedArrivals / Phase.Rate_;
  // This form of the quadratic formula also holds for a rate that starts at 0.
  double Discriminant =
      Phase.Rate_ * Phase.Rate_ + 2 * Slope * ExpectedArrivals;
  return 2 * ExpectedArrivals /
         (Phase.Rate_ + std::sqrt(std::max(Discriminant, 0.0)));
}

} // namespace

LoadPlan::LoadPlan(const LoadScenario &Scenario)
    : Scenario_(Scenario), Rng_(Scenario.Seed_) {}

std::size_t LoadPlan::pickRequest() {
  double Total = 0;
  for (const LoadRequest &Request : Scenario_.Requests_)
    Total += Request.Weight_;
  double Remaining = randomUnit(Rng_) * Total;
  std::size_t Chosen = 0;
  for (std::size_t I = 0; I < Scenario_.Requests_.size(); ++I) {
    if (Scenario_.Requests_[I].Weight_ <= 0)
      continue;
    Chosen = I;
    Remaining -= Scenario_.Requests_[I].Weight_;
    if (Remaining < 0)
      break;
  }
  return Chosen;
}

std::optional<LoadArrival> LoadPlan::next() {
  while (Phase_ < Scenario_.Phases_.size()) {
    const LoadPhase &Phase = Scenario_.Phases_[Phase_];
    ExpectedArrivals_ +=
        Scenario_.EvenlySpaced_ ? 1.0 : -std::log(1.0 - randomUnit(Rng_));
    if (ExpectedArrivals_ < Phase.expectedRequests() &&
        ArrivalCount_ < Scenario_.MaxRequests_) {
      ++ArrivalCount_;
      double Offset = arrivalTime(Phase, ExpectedArrivals_) * 1e6;
      return LoadArrival{PhaseStart_ +
                             Duration(static_cast<std::int64_t>(Offset)),
                         Phase_, pickRequest()};
    }
    PhaseStart_ += Phase.Length_;
    ExpectedArrivals_ = 0;
    ++Phase_;
  }
  return std::nullopt;
}

std::string uuidV7(WallTime Now, Random &Rng) {
  constexpr std::uint64_t Variant = 0x8000000000000000U;
  constexpr std::uint64_t VariantMask = 0x3fffffffffffffffU;
  auto Milliseconds = static_cast<unsigned long long>(
      std::chrono::floor<milliseconds>(Now.time_since_epoch()).count());
  std::uint64_t High = Rng();
  std::uint64_t Low = (Rng() & VariantMask) | Variant;
  std::array<char, 37> Text{};
  std::snprintf(Text.data(), Text.size(),
                "%08llx-%04llx-7%03llx-%04llx-%012llx",
                (Milliseconds >> 16U) & 0xffffffffU, Milliseconds & 0xffffU,
                static_cast<unsigned long long>(High & 0xfffU),
                static_cast<unsigned long long>(Low >> 48U),
                static_cast<unsigned long long>(Low & 0xffffffffffffU));
  return Text.data();
}

} // namespace sycamore
