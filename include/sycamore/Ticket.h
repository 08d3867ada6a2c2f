// Change tickets. A ticket holds the complete new definition of every route,
// service, target and tenant that it changes.
#pragma once

#include "sycamore/Json.h"
#include "sycamore/Tenant.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

/// Largest ticket file in bytes. Values of the store are at most 1 MiB, and one
/// value (the head or a ticket record) holds the ticket with its metadata.
inline constexpr std::size_t MaxTicketBytes = 512U << 10U;

/// Longest name of a route, service, target, server or operator, in bytes.
inline constexpr std::size_t MaxNameBytes = 128;

/// The share of a route's requests that one service receives.
struct RouteShare {
  std::string Service_;
  std::uint32_t Weight_ = 0; ///< Relative to the other shares of the route.

  bool operator==(const RouteShare &) const = default;
};

/// Maps requests to a service.
struct Route {
  std::string Host_;                 ///< Empty matches every host.
  std::string PathPrefix_ = "/";     ///< The longest match wins.
  std::vector<std::string> Methods_; ///< Empty matches every method.
  std::string Service_;              ///< Empty when Split_ is set.
  /// Services that share the requests by weight; empty if only Service_ serves
  /// them.
  std::vector<RouteShare> Split_;
  /// Restricts the route to these targets; empty allows all of the service.
  std::vector<std::string> Targets_;
  /// Whether a request may run more than once. If unset, the method decides as
  /// defined in RFC 9110.
  std::optional<bool> Idempotent_;
  /// Time limit of the whole call; 0 uses the service's timeout.
  milliseconds Timeout_{0};
  /// Answers later than this are worth less to the caller; 0 sets no target.
  milliseconds LatencyTarget_{0};
  /// Number of targets that one request may be sent to; 0 uses the daemon's
  /// limit.
  std::uint32_t MaxAttempts_ = 0;
  /// Priority among the requests of a service; 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Serves requests without a credential where the state has tenants.
  bool AllowAnonymous_ = false;

  bool operator==(const Route &) const = default;
};

/// A group of targets that serve the same requests.
struct Service {
  milliseconds Timeout_{1000};
  std::uint32_t QueueLimit_ = 64; ///< Queued requests per target.
  bool Hedging_ = true;           ///< Applies to idempotent routes only.
  /// Admits every target that announces itself for the service; otherwise only
  /// those that a ticket names.
  bool AdmitAnnounced_ = false;

  bool operator==(const Service &) const = default;
};

/// Admits a target to the mesh. The target receives requests once it has
/// announced itself.
struct TargetSpec {
  std::string Service_;
  std::string DataCentre_;  ///< Empty allows any data centre.
  std::uint32_t Slots_ = 6; ///< Requests that run concurrently.

  bool operator==(const TargetSpec &) const = default;
};

/// New definitions by entity name; an unset value removes the entity.
template <typename T> using Changes = std::map<std::string, std::optional<T>>;

struct Ticket {
  std::uint64_t Number_ = 0; ///< 0 assigns the next free number at filing.
  std::string Author_;
  std::string Title_;
  Changes<Route> Routes_;
  Changes<Service> Services_;
  Changes<TargetSpec> Targets_;
  Changes<Tenant> Tenants_;

  bool operator==(const Ticket &) const = default;
};

/// Reads a ticket document. Errors are of kind InvalidTicket, with one line for
/// each problem that states Source, the field, its value and what is allowed.
Result<Ticket> parseTicket(const Json &Document, std::string_view Source);

/// Parses untrusted bytes and reads the ticket; Text may have at most
/// MaxTicketBytes.
Result<Ticket> parseTicketText(std::string_view Text, std::string_view Source);

/// Problems that do not depend on the state to which the ticket is applied:
/// references to entities that the ticket itself removes, routes restricted to
/// targets that the ticket assigns to another service, and credentials that it
/// gives to two tenants.
std::vector<std::string> lintTicket(const Ticket &Value);

Json toJson(const Ticket &Value);
Json toJson(const Route &Value);
Json toJson(const Service &Value);
Json toJson(const TargetSpec &Value);

/// Readers of entities in tickets and stored snapshots. Problems are appended
/// with the path of the field.
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
