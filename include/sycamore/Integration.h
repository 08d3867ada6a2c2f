// What a platform supplies in place of the built-in store client, ticket format
// and announcements of targets. An implementation only translates: decisions,
// state and recovery stay in the library.
#pragma once

#include "sycamore/EtcdStore.h"
#include "sycamore/HttpServer.h"
#include "sycamore/Settings.h"
#include "sycamore/Snapshot.h"
#include "sycamore/Store.h"

#include <variant>

namespace sycamore {

/// A target says that it runs.
struct TargetAnnouncement {
  std::string Name_;
  std::string Service_;
  std::string Address_; ///< "IP:PORT" for requests.
  std::uint32_t Slots_ = 1;
  bool Leaving_ = false; ///< It drains and takes no new work.
  /// How much longer the target is slow after its start.
  Duration ColdFor_{0};
  /// Rises with each announcement of one process; unset when not stated.
  std::optional<std::uint64_t> Sequence_;
  /// Start of the target's process by its own clock; unset when not stated.
  std::optional<std::int64_t> StartedUnixMs_;
};

/// A target says that it ends.
struct TargetDeparture {
  std::string Name_;
  std::optional<std::int64_t> StartedUnixMs_; ///< As in TargetAnnouncement.
};

using TargetNotice = std::variant<TargetAnnouncement, TargetDeparture>;

class Integration {
public:
  virtual ~Integration() = default;

  /// The platform's store; counts its calls in Counters.
  virtual std::unique_ptr<Store>
  makeStore(event_base *Base, const StoreSettings &Config,
            std::shared_ptr<StoreCounters> Counters) const = 0;

  /// Key that holds the configuration as one whole-state document.
  virtual std::string configurationKey() const = 0;

  /// Reads that document. Errors: InvalidTicket.
  virtual Result<WholeState> readConfiguration(std::string_view Text) const = 0;

  /// Reads a request to target.announce_listen. Errors: InvalidArgument,
  /// NotFound for a request that is no notice.
  virtual Result<TargetNotice> readNotice(const HttpRequest &Request) const = 0;
};

} // namespace sycamore
