// Schedules a reader's store calls: the watch, periodic reads of the head, and
// writes of the seeds.
#include "sycamore/Bootstrap.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

/// The readers first, then other servers in the order of the overlay ring, so
/// that both readers of a data centre choose the same seeds.
std::vector<std::string> chooseSeeds(const Bootstrap &Boot,
                                     const Membership &Members) {
  std::vector<std::string> Out =
      readersOf(Members, Members.Config_.DataCentre_);
  for (const std::string &Name : Members.Overlay_.Ring_) {
    const wire::ServerRecord *Record = findServer(Members, Name);
    if (Out.size() >= Boot.Config_.MaxSeeds_)
      break;
    if (Record && Record->state() == wire::SERVER_ALIVE &&
        std::find(Out.begin(), Out.end(), Name) == Out.end())
      Out.push_back(Name);
  }
  std::sort(Out.begin(), Out.end());
  return Out;
}

std::vector<wire::ServerRecord>
recordsOf(const Membership &Members, const std::vector<std::string> &Names) {
  std::vector<wire::ServerRecord> Out;
  for (const std::string &Name : Names)
    if (const wire::ServerRecord *Record = findServer(Members, Name))
      Out.push_back(*Record);
  return Out;
}

} // namespace

void recordSeeds(Bootstrap &Boot, std::span<const wire::ServerRecord> Seeds) {
  Boot.CurrentSeeds_.clear();
  Boot.SeedsMissing_ = Seeds.empty();
  for (const wire::ServerRecord &Seed : Seeds)
    Boot.CurrentSeeds_.push_back(Seed.name());
  std::sort(Boot.CurrentSeeds_.begin(), Boot.CurrentSeeds_.end());
}

ReaderStep tickReader(Bootstrap &Boot, const Membership &Members, Now Time,
                      Random &Rng) {
  ReaderStep Step;
  // In a simultaneous restart, the first daemon to reach its floor writes
  // itself to the empty seeds key at once, so that daemons that read later find
  // it and do not all write.
  if (Boot.FloorReachedAt_ && std::exchange(Boot.SeedsMissing_, false)) {
    std::vector<std::string> Own = {Members.Config_.Name_};
    Step.WriteSeeds_ = recordsOf(Members, Own);
    Boot.CurrentSeeds_ = std::move(Own);
  }
  // A daemon that has just started knows few servers and may wrongly rank
  // itself as a reader, so it waits until its server table has filled.
  if (!Boot.FloorReachedAt_ ||
      Time.Monotonic_ - *Boot.FloorReachedAt_ < Boot.Config_.ReaderDelay_)
    return Step;
  // Without a table from a peer, no peer is known to pass tickets on.
  bool Joined = Members.Joined_ || !Boot.Config_.WatchUntilJoinedForTest_;
  if (!isReader(Members) && Joined && !isIsolated(Members, Time))
    return Step;
  Step.WatchHead_ = true;
  if (Time.Monotonic_ >= Boot.NextHead_) {
    Step.ReadHead_ = true;
    Boot.NextHead_ = Time.Monotonic_ + std::chrono::duration_cast<Duration>(
                                           Boot.Config_.HeadInterval_ *
                                           (0.9 + 0.1 * randomUnit(Rng)));
  }
  if (Time.Monotonic_ < Boot.NextSeeds_ || !isReader(Members))
    return Step;
  std::vector<std::string> Names = chooseSeeds(Boot, Members);
  if (Names == Boot.CurrentSeeds_)
    return Step;
  Boot.NextSeeds_ = Time.Monotonic_ + Boot.Config_.SeedsInterval_;
  Step.WriteSeeds_ = recordsOf(Members, Names);
  Boot.CurrentSeeds_ = std::move(Names);
  return Step;
}

} // namespace sycamore
