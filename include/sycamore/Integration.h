// Interface by which a platform replaces the built-in store client, ticket
// format and announcements of targets. An implementation only translates
// between formats; decisions, state and recovery stay in the library.
#pragma once

#include "sycamore/EtcdStore.h"
#include "sycamore/HttpServer.h"
#include "sycamore/Rollout.h"
#include "sycamore/Settings.h"
#include "sycamore/Snapshot.h"
#include "sycamore/Store.h"

#include <variant>

namespace sycamore {

/// A target announces that it is running.
struct TargetAnnouncement {
  std::string Name_;
  std::string Service_;
  std::string Version_; ///< Of the target's software; empty when not stated.
  std::string Address_; ///< "IP:PORT" for requests.
  std::uint32_t Slots_ = 1;
  bool Leaving_ = false; ///< The target drains and accepts no new work.
  /// Remaining warm-up time, during which the target is slow.
  Duration WarmUpRemaining_{0};
  /// Rises with each announcement of one process; unset when not stated.
  std::optional<std::uint64_t> Sequence_;
  /// Start of the target's process by its own clock; unset when not stated.
  std::optional<std::int64_t> StartedUnixMs_;
};

/// A target announces that it is shutting down.
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

  /// Key of the document that holds the complete configuration.
  virtual std::string configurationKey() const = 0;

  /// Key or prefix (see Store::watch()) that covers configurationKey() and the
  /// orders of roll-outs.
  virtual std::string watchedKey() const { return configurationKey(); }

  virtual bool isRolloutOrder(std::string_view /*Key*/) const { return false; }
  /// Parses a value whose key isRolloutOrder(). Errors: InvalidArgument.
  virtual Result<RolloutOrder>
  parseRolloutOrder(const KeyValue & /*Entry*/) const {
    return fail(ErrorKind::NotFound, "the platform has no roll-outs", "");
  }
  /// Key and value with which the system states the progress of a roll-out.
  virtual KeyValue formatRolloutStatus(const std::string & /*Service*/,
                                       const std::string & /*TargetVersion*/,
                                       wire::RolloutPhase /*Phase*/) const {
    return {};
  }

  /// Parses the document stored under configurationKey(). Errors:
  /// InvalidTicket.
  virtual Result<FullState>
  parseConfiguration(std::string_view Text,
                     const ParsedDocument &Before) const = 0;

  /// Whether a text that is not applied, because parseConfiguration() rejects
  /// it or for its number, is known to hold every credential of InForce.
  virtual bool keepsCredentials(std::string_view Text,
                                const State &InForce) const = 0;

  /// Parses a request received on target.announce_listen. Errors:
  /// InvalidArgument; NotFound for a request that is neither an announcement
  /// nor a departure.
  virtual Result<TargetNotice>
  parseNotice(const HttpRequest &Request) const = 0;
};

} // namespace sycamore
