// Options of a simulated fleet, and the environment variables that set its seed
// and its mutation.
#pragma once

#include "sycamore/Bootstrap.h"
#include "sycamore/Dissemination.h"
#include "sycamore/WatchDelegation.h"

#include <cstdlib>
#include <iostream>

namespace sycamore::test {

/// SYCAMORE_TEST_SEED, or Default; printed so that a run can be reproduced.
inline std::uint64_t testSeed(std::uint64_t Default) {
  const char *Text = std::getenv("SYCAMORE_TEST_SEED");
  std::uint64_t Seed = Text ? std::strtoull(Text, nullptr, 10) : Default;
  std::cout << "SYCAMORE_TEST_SEED=" << Seed << std::endl;
  return Seed;
}

/// Whether SYCAMORE_TEST_MUTATION names this rule; see test/mutations.txt.
inline bool mutationEnabled(std::string_view Rule) {
  const char *Text = std::getenv("SYCAMORE_TEST_MUTATION");
  return Text && Text == Rule;
}

/// What a large ticket costs each daemon; all zero unless set.
struct TicketCosts {
  Duration Pack_{0};    ///< The event loop is busy while it packs a body.
  Duration Apply_{0};   ///< Likewise while it unpacks and applies one.
  double LinkMbps_ = 0; ///< Of each server; 0 for no limit.
  std::size_t StoredBytes_ = 0; ///< Of the store's answer with the ticket.
  /// The first servers of each data centre, whose links are FastLink_ times as
  /// fast and whose loops are FastLoop_ times as fast.
  std::size_t FastServers_ = 0;
  double FastLink_ = 20;
  double FastLoop_ = 5;
};

struct FleetOptions {
  std::uint64_t Seed_ = 1;
  std::size_t DataCentres_ = 3;
  std::size_t PerDataCentre_ = 5;
  double Loss_ = 0;
  double Duplicates_ = 0;
  Duration LocalDelay_ = microseconds(500);
  Duration RemoteDelay_ = milliseconds(8);
  Duration ExtraDelay_ = Duration(0); ///< Uniform on top; reorders messages.
  Duration Tick_ = milliseconds(20);
  bool BootstrapPeers_ = true; ///< Daemons know a few peers from settings.
  bool ClockSkew_ = false;     ///< Up to 0.5 s in both directions.
  MembershipConfig Membership_;
  ConfigReplicaConfig Replica_;
  DisseminationConfig DisseminationConfig_;
  BootstrapConfig BootstrapConfig_;
  WatchDelegationConfig Delegation_;
  AcceptanceRequest Acceptance_; ///< Signs tickets when set.
  TicketCosts Costs_;
};

/// Three data centres with the probe times of the deployed settings, where all
/// but two servers of each have slow links.
inline FleetOptions slowFleetOptions(std::uint64_t Seed) {
  FleetOptions Out;
  Out.Seed_ = Seed;
  Out.PerDataCentre_ = 24;
  Out.RemoteDelay_ = microseconds(500);
  Out.Membership_.ProbeInterval_ = milliseconds(500);
  Out.Membership_.ProbeTimeout_ = milliseconds(200);
  Out.Membership_.SuspicionTimeout_ = milliseconds(1500);
  Out.Costs_.LinkMbps_ = 7;
  Out.Costs_.FastServers_ = 2;
  return Out;
}

/// Disables the rule that SYCAMORE_TEST_MUTATION names.
inline FleetOptions withMutation(FleetOptions Options) {
  MembershipConfig &Members = Options.Membership_;
  const std::pair<const char *, bool *> Rules[] = {
      {"refutation", &Members.RefuteForTest_},
      {"owner-only", &Members.OwnerOnlyForTest_},
      {"indirect-probes", &Members.IndirectForTest_},
      {"transit-time", &Members.CountTransitForTest_},
      {"return-departures", &Members.ReturnDeparturesForTest_},
      {"heard-peers", &Members.HeardPeersForTest_},
      {"confirm-readers", &Members.ConfirmReadersForTest_},
      {"contact-readers", &Members.ContactReadersForTest_},
      {"monotone", &Options.Replica_.MonotoneForTest_},
      {"signatures", &Options.Replica_.SignaturesForTest_},
      {"anti-entropy", &Options.DisseminationConfig_.AntiEntropyForTest_},
      {"relay-token", &Options.DisseminationConfig_.ReserveForTest_},
      {"serve-cap", &Options.DisseminationConfig_.ServeCapForTest_},
      {"other-sources", &Options.DisseminationConfig_.OtherSourcesForTest_},
      {"watch-delegation", &Options.Delegation_.EnabledForTest_},
      {"start-jitter", &Options.BootstrapConfig_.JitterForTest_},
      {"wait-for-all", &Options.BootstrapConfig_.WaitForAllForTest_},
      {"combined-reads", &Options.BootstrapConfig_.CombineReadsForTest_},
      {"watch-until-joined",
       &Options.BootstrapConfig_.WatchUntilJoinedForTest_},
      {"peers-before-store",
       &Options.BootstrapConfig_.PeersBeforeStoreForTest_},
      {"verify-by-read", &Options.BootstrapConfig_.VerifyByReadForTest_}};
  for (const auto &[Name, Flag] : Rules)
    if (mutationEnabled(Name))
      *Flag = false;
  if (mutationEnabled("gone-retention"))
    Members.DepartedRetention_ = Duration(0);
  return Options;
}

} // namespace sycamore::test
