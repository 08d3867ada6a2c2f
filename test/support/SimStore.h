// Simulated store of a simulated fleet: holds head and seeds, counts calls and
// simulates outages and slow responses.
#pragma once

#include "sycamore/Head.h"
#include "sycamore/PeerMessages.pb.h"

#include <map>
#include <set>

namespace sycamore::test {

enum class StoreMode { Up, Down, Slow };

class SimStore {
public:
  StoreMode Mode_ = StoreMode::Up;
  Head Head_;
  Snapshot Current_;
  std::map<std::string, std::vector<wire::ServerRecord>> Seeds_;
  std::set<std::size_t> Watchers_; ///< Daemons with a pending watch.
  std::uint64_t Calls_ = 0;

  void recordCall(TimePoint Time) {
    ++Calls_;
    ++CallsPerSecond_[std::chrono::floor<seconds>(Time.time_since_epoch())
                          .count()];
  }

  std::uint64_t peakPerSecond() const {
    std::uint64_t Peak = 0;
    for (const auto &[Second, Count] : CallsPerSecond_)
      Peak = std::max(Peak, Count);
    return Peak;
  }

  void resetPeak() { CallsPerSecond_.clear(); }

  /// Time until a call completes; while the store is down, until it fails.
  Duration latency() const {
    return Mode_ == StoreMode::Slow ? Duration(seconds(4)) : milliseconds(3);
  }

  AcceptedTicket accept(const Ticket &Change, std::int64_t UnixUs,
                        const AcceptanceRequest &Template = {}) {
    TicketRecord Record;
    Record.Ticket_ = Change;
    Record.Filer_ = "ana";
    AcceptanceRequest Request = Template;
    Request.Approver_ = "bo";
    Request.AcceptanceId_ = "id-" + std::to_string(Change.Number_);
    Request.NowUnixUs_ = UnixUs;
    AcceptancePlan Plan =
        planAcceptance(Head_, Current_, Record, Request).value();
    if (Plan.Snapshot_)
      Base_ = Current_;
    Head_ = Plan.Head_;
    Current_ = applyTicket(Current_, Plan.Accepted_).value();
    return Plan.Accepted_;
  }

  const Snapshot *base() const {
    return Head_.BaseNumber_ == 0 ? nullptr : &Base_;
  }

private:
  Snapshot Base_;
  std::map<std::int64_t, std::uint64_t> CallsPerSecond_;
};

/// Adds a target to one service; Padding bytes make the ticket larger.
inline Ticket makeChange(std::uint64_t Number, std::size_t Padding = 0) {
  Ticket Out;
  Out.Number_ = Number;
  Out.Author_ = "ana";
  Out.Title_ = "change " + std::to_string(Number);
  Out.Services_["shelfview"] = Service{};
  Out.Targets_["t" + std::to_string(Number)] =
      TargetSpec{"shelfview", "dalseo", 6};
  for (std::size_t I = 0; I * 100 < Padding; ++I) {
    Route Extra;
    Extra.Service_ = "shelfview";
    Extra.PathPrefix_ =
        "/" + sha256Hex(std::to_string(Number) + "/" + std::to_string(I))
                  .substr(0, 16);
    Out.Routes_["route-" + std::to_string(I)] = Extra;
  }
  return Out;
}

} // namespace sycamore::test
