// Change tickets: the whole new state of the routes, services and targets that
// they touch.
#pragma once

#include "sycamore/Json.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

/// Largest ticket file in bytes. The store's values are at most one megabyte,
/// and a head holds the newest ticket inline beside up to 128 KiB of others.
inline constexpr std::size_t MaxTicketBytes = 512U << 10U;

/// Longest name of a route, service, target, server or operator, in bytes.
inline constexpr std::size_t MaxNameBytes = 128;

/// The share of a route's requests that one service gets.
struct RouteShare {
  std::string Service_;
  std::uint32_t Weight_ = 0; ///< Relative to the other shares of the route.

  bool operator==(const RouteShare &) const = default;
};

/// Maps requests to a service.
struct Route {
  std::string Host_;                 ///< Empty for every host.
  std::string PathPrefix_ = "/";     ///< The longest match wins.
  std::vector<std::string> Methods_; ///< Empty for every method.
  std::string Service_;              ///< Empty when Split_ is set.
  /// Services that share the requests by weight; empty for Service_ alone.
  std::vector<RouteShare> Split_;
  /// Targets that alone may serve this route; empty for all of the service.
  std::vector<std::string> Targets_;
  /// Whether a request may run twice. Unset: by method, as RFC 9110 says.
  std::optional<bool> Idempotent_;
  /// Time for the whole call; 0 takes the service's.
  milliseconds Timeout_{0};
  /// Time within which an answer has its full value; 0 when none is stated.
  milliseconds LatencyTarget_{0};
  /// Targets that one request may be sent to; 0 leaves it to the daemon.
  std::uint32_t MaxAttempts_ = 0;
  /// Rank among the requests of a service; 0 is the most urgent.
  std::uint32_t Priority_ = 0;

  bool operator==(const Route &) const = default;
};

/// A group of targets that run the same requests.
struct Service {
  milliseconds Timeout_{1000};
  std::uint32_t QueueLimit_ = 64; ///< Waiting requests per target.
  bool Hedging_ = true;           ///< Applies to idempotent routes only.
  /// Admits every target that announces itself for the service; otherwise only
  /// those that a ticket names.
  bool AdmitAnnounced_ = false;

  bool operator==(const Service &) const = default;
};

/// Admits a target to the mesh; it serves once it has announced itself.
struct TargetSpec {
  std::string Service_;
  std::string DataCentre_;  ///< Empty when any data centre will do.
  std::uint32_t Slots_ = 6; ///< Requests that run at the same time.

  bool operator==(const TargetSpec &) const = default;
};

/// New state by name; an unset value removes the entity.
template <typename T> using Changes = std::map<std::string, std::optional<T>>;

struct Ticket {
  std::uint64_t Number_ = 0; ///< 0 until filed: takes the next free number.
  std::string Author_;
  std::string Title_;
  Changes<Route> Routes_;
  Changes<Service> Services_;
  Changes<TargetSpec> Targets_;

  bool operator==(const Ticket &) const = default;
};

/// Reads a ticket document. Errors are of kind InvalidTicket, one line for each
/// problem, with Source, field, value and what is allowed.
Result<Ticket> parseTicket(const Json &Document, std::string_view Source);

/// Parses bytes from outside and reads the ticket; the size limit is
/// MaxTicketBytes.
Result<Ticket> parseTicketText(std::string_view Text, std::string_view Source);

/// Problems that the ticket has whatever state it is applied to: references to
/// what it removes itself, and targets that it gives to another service.
std::vector<std::string> lintTicket(const Ticket &Value);

Json toJson(const Ticket &Value);
Json toJson(const Route &Value);
Json toJson(const Service &Value);
Json toJson(const TargetSpec &Value);

/// Readers for entities, shared by tickets and stored snapshots. Problems are
/// appended with the path of the field.
Route readRoute(const Json &Value, const std::string &Path,
                std::vector<std::string> &Problems);
Service readService(const Json &Value, const std::string &Path,
                    std::vector<std::string> &Problems);
TargetSpec readTargetSpec(const Json &Value, const std::string &Path,
                          std::vector<std::string> &Problems);

/// The services that a route may send requests to.
std::vector<std::string> servicesOf(const Route &Value);

/// Whether Name may name an entity: 1 to MaxNameBytes of letters, digits,
/// '-', '_' and '.'.
bool isValidName(std::string_view Name);

} // namespace sycamore
