// Guards against a server that runs an old ticket although it has been up and
// has reached the store: while others freeze, lose power, the store or each
// other, and while the store returns from a copy.
#include "FleetSim.h"

#include <array>
#include <gtest/gtest.h>
#include <sstream>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// An accepted ticket must be in force within this time on every server that
/// has been undisturbed for TouchTime.
constexpr Duration ConfigurationLimit = milliseconds(2500);
constexpr Duration TouchTime = seconds(3);

/// Added to the limit while the store has returned less than TouchTime ago.
constexpr Duration ReturnAllowance = seconds(5);

constexpr Duration RunTime = seconds(20);
constexpr Duration CheckInterval = milliseconds(100);

Duration between(double Low, double High, Random &Rng) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Low + (High - Low) * randomUnit(Rng)));
}

/// One run with random disturbances, determined by its seed.
class DisturbedFleet {
public:
  explicit DisturbedFleet(std::uint64_t Seed)
      : Sim_(options(Seed)), Rng_(Seed) {
    Sim_.acceptTicket();
    Converged_ = Sim_.startAndConverge();
    Sim_.run(seconds(5));
    // A server that starts later knows its peers from the store alone.
    Sim_.Options_.BootstrapPeers_ = false;
    Start_ = Sim_.time();
    DisturbedUntil_.assign(Sim_.Daemons_.size(), Start_ - TouchTime);
    Sim_.DropsLink_ = [this](std::size_t From, std::size_t To) {
      return isCut(From, To);
    };
    scheduleTickets();
    std::size_t Count = 2 + randomIndex(Rng_, 3);
    for (std::size_t I = 0; I < Count; ++I)
      scheduleDisturbance();
  }

  /// Returns a line for each server that is late, once for each ticket.
  std::vector<std::string> run() {
    recordHead();
    while (Sim_.time() < Start_ + RunTime) {
      Sim_.run(CheckInterval);
      while (!Actions_.empty() && Actions_.begin()->first <= Sim_.time()) {
        auto Action = std::move(Actions_.extract(Actions_.begin()).mapped());
        Action();
      }
      check();
    }
    Late_.insert(Late_.end(), Sim_.Violations_.begin(), Sim_.Violations_.end());
    return Late_;
  }

  bool converged() const { return Converged_; }
  const std::string &story() const { return Story_; }

private:
  static FleetOptions options(std::uint64_t Seed) {
    FleetOptions Out = slowFleetOptions(Seed);
    Out.BootstrapConfig_.MaxReadDelay_ = milliseconds(300);
    Out.BootstrapConfig_.MinRetryDelay_ = seconds(1);
    Out.BootstrapConfig_.MaxRetryDelay_ = seconds(2);
    Out.BootstrapConfig_.ReaderDelay_ = seconds(1);
    Out.Costs_.Pack_ = milliseconds(20);
    Out.Costs_.Apply_ = milliseconds(50);
    Out.Costs_.StoredBytes_ = 100'000;
    return Out;
  }

  void at(TimePoint Time, std::function<void()> Action) {
    Actions_.emplace(Time, std::move(Action));
  }

  void note(std::string_view What, std::size_t Servers, Duration From,
            Duration For) {
    Story_ += " " + std::string(What) + "(" + std::to_string(Servers) +
              " servers, " + std::to_string(toMilliseconds(From)) + "+" +
              std::to_string(toMilliseconds(For)) + " ms)";
  }

  void scheduleTickets() {
    for (Duration At = between(0.5, 2, Rng_); At < RunTime - seconds(3);
         At += between(0.3, 2.5, Rng_))
      at(Start_ + At, [this] {
        Sim_.acceptTicket();
        recordHead();
      });
  }

  std::vector<std::size_t> someServers(double Share) {
    std::vector<std::size_t> Out;
    bool OnlyReaders = randomUnit(Rng_) < 0.3;
    for (std::size_t I = 0; I < Sim_.Daemons_.size(); ++I)
      if (OnlyReaders ? isReader(Sim_.Daemons_[I].Members_)
                      : randomUnit(Rng_) < Share)
        Out.push_back(I);
    return Out;
  }

  void scheduleDisturbance() {
    using Kind = void (DisturbedFleet::*)(TimePoint, Duration);
    static constexpr std::array<Kind, 6> Kinds = {
        &DisturbedFleet::freezeSome,    &DisturbedFleet::stopSome,
        &DisturbedFleet::refuseSome,    &DisturbedFleet::separateSome,
        &DisturbedFleet::separateZones, &DisturbedFleet::returnStore};
    TimePoint From = Start_ + between(1, 14, Rng_);
    (this->*Kinds[randomIndex(Rng_, Kinds.size())])(From, between(1, 5, Rng_));
  }

  void freezeSome(TimePoint From, Duration For) {
    std::vector<std::size_t> Servers = someServers(0.2);
    note("freeze", Servers.size(), From - Start_, For);
    at(From, [this, Servers, For] {
      for (std::size_t I : Servers) {
        Sim_.freeze(I, For);
        disturb(I, For);
      }
    });
  }

  void stopSome(TimePoint From, Duration For) {
    std::vector<std::size_t> Servers = someServers(0.4);
    note("stop", Servers.size(), From - Start_, For);
    at(From, [this, Servers, For] {
      for (std::size_t I : Servers) {
        Sim_.kill(I);
        disturb(I, For);
      }
    });
    at(From + For, [this, Servers] {
      for (std::size_t I : Servers)
        if (!Sim_.Daemons_[I].Up_)
          Sim_.start(I);
    });
  }

  void refuseSome(TimePoint From, Duration For) {
    std::vector<std::size_t> Servers = someServers(0.35);
    note("refuse", Servers.size(), From - Start_, For);
    at(From, [this, Servers, For] {
      for (std::size_t I : Servers) {
        Sim_.CutOffFromStore_.insert(I);
        disturb(I, For);
      }
    });
    at(From + For, [this, Servers] {
      for (std::size_t I : Servers)
        Sim_.CutOffFromStore_.erase(I);
    });
  }

  /// Some servers and the others lose each other. All reach the store.
  void separateSome(TimePoint From, Duration For) {
    std::vector<std::size_t> Servers = someServers(0.2);
    note("separate", Servers.size(), From - Start_, For);
    cut(From, For, {Servers.begin(), Servers.end()});
  }

  void separateZones(TimePoint From, Duration For) {
    std::set<std::size_t> Zone;
    for (std::size_t I = 0; I < Sim_.Daemons_.size(); ++I)
      if (Sim_.Daemons_[I].DataCentre_ == "dc0")
        Zone.insert(I);
    note("separate-zone", Zone.size(), From - Start_, For);
    cut(From, For, Zone);
  }

  void cut(TimePoint From, Duration For, std::set<std::size_t> Group) {
    at(From, [this, Group] { Groups_.push_back(Group); });
    at(From + For, [this, Group] { std::erase(Groups_, Group); });
  }

  /// The store loses what it accepted in the last moments; the operators write
  /// it again later.
  void returnStore(TimePoint From, Duration For) {
    note("return", 0, From - Start_, For);
    at(From - between(0.2, 2, Rng_), [this] { Copy_ = Sim_.Store_; });
    at(From, [this] {
      if (!Copy_ || Lost_)
        return;
      Lost_ = Sim_.Store_;
      restoreFrom(*Copy_);
      for (std::size_t I : Sim_.Store_.Watchers_)
        Sim_.noticeRestoration(I);
      ReturnedAt_ = Sim_.time();
    });
    at(From + For, [this] {
      if (Lost_ && Sim_.Store_.Head_.Number_ < Lost_->Head_.Number_)
        restoreFrom(*Lost_);
      Lost_.reset();
      Copy_.reset();
      Sim_.acceptTicket();
      recordHead();
    });
  }

  void restoreFrom(const SimStore &Other) {
    std::set<std::size_t> Watchers = Sim_.Store_.Watchers_;
    Sim_.Store_ = Other;
    Sim_.Store_.Watchers_ = std::move(Watchers);
    recordHead();
  }

  void disturb(std::size_t I, Duration For) {
    DisturbedUntil_[I] = std::max(DisturbedUntil_[I], Sim_.time() + For);
  }

  bool isCut(std::size_t From, std::size_t To) const {
    return std::any_of(Groups_.begin(), Groups_.end(), [=](const auto &Group) {
      return Group.contains(From) != Group.contains(To);
    });
  }

  void recordHead() {
    Heads_.emplace_back(Sim_.time(), Sim_.Store_.Head_.Number_);
  }

  /// The least ticket that the store has held throughout the last Span.
  std::uint64_t heldFor(Duration Span) const {
    std::uint64_t Out = UINT64_MAX;
    for (auto Item = Heads_.rbegin(); Item != Heads_.rend(); ++Item) {
      Out = std::min(Out, Item->second);
      if (Item->first <= Sim_.time() - Span)
        return Out;
    }
    return 0;
  }

  std::string describeLate(const SimDaemon &Daemon, std::uint64_t Runs,
                           std::uint64_t Required) const {
    std::ostringstream Out;
    Out << "at " << toMilliseconds(Sim_.time() - Start_) << " ms "
        << Daemon.Name_ << " of " << Daemon.DataCentre_ << " runs ticket "
        << Runs << ", not " << Required
        << (Daemon.IsReader_ ? ", reads the store" : "")
        << (Daemon.Members_.ReaderContact_.Lost_ ? ", readers silent" : "")
        << ", " << Daemon.Dissemination_.Sources_.size() << " sources";
    return Out.str();
  }

  void check() {
    Duration Limit = ConfigurationLimit;
    if (ReturnedAt_ && Sim_.time() - *ReturnedAt_ < TouchTime + ReturnAllowance)
      Limit += ReturnAllowance;
    std::uint64_t Required = heldFor(Limit);
    for (std::size_t I = 0; I < Sim_.Daemons_.size(); ++I) {
      const SimDaemon &Daemon = Sim_.Daemons_[I];
      bool InTouch =
          Daemon.Up_ && Sim_.time() - DisturbedUntil_[I] >= TouchTime;
      std::uint64_t Runs = hasFloor(Daemon.Bootstrap_)
                               ? Daemon.Replica_.Current_->Number_
                               : Required;
      if (!InTouch || Runs >= Required || !Reported_.insert({I, Runs}).second)
        continue;
      Late_.push_back(describeLate(Daemon, Runs, Required));
    }
  }

  FleetSim Sim_;
  Random Rng_; ///< Of the disturbances, so that they do not depend on the code.
  bool Converged_ = false;
  TimePoint Start_;
  std::multimap<TimePoint, std::function<void()>> Actions_;
  std::vector<TimePoint> DisturbedUntil_; ///< By server.
  std::vector<std::set<std::size_t>> Groups_;
  std::optional<SimStore> Copy_;
  std::optional<SimStore> Lost_;
  std::optional<TimePoint> ReturnedAt_;
  std::vector<std::pair<TimePoint, std::uint64_t>> Heads_;
  std::set<std::pair<std::size_t, std::uint64_t>> Reported_;
  std::vector<std::string> Late_;
  std::string Story_;
};

int runCount() {
  const char *Text = std::getenv("SYCAMORE_TEST_RUNS");
  return Text ? std::atoi(Text) : 8;
}

} // namespace

// SYCAMORE_TEST_RUNS sets the number of seeds.
TEST(TicketAge, AnUndisturbedServerRunsTheLatestTicketInTime) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + runCount(); ++Seed) {
    DisturbedFleet Run(Seed);
    ASSERT_TRUE(Run.converged()) << "seed " << Seed;
    std::vector<std::string> Late = Run.run();
    for (std::size_t I = 0; I < std::min<std::size_t>(Late.size(), 5); ++I)
      ADD_FAILURE() << "seed " << Seed << ":" << Run.story() << ": " << Late[I]
                    << " (" << Late.size() << " in all)";
  }
}
