// Settings of the daemon (sycamored) and of the operators' command line
// (sycamorectl). docs/settings.md describes every field.
#pragma once

#include "sycamore/HeaderNames.h"
#include "sycamore/Json.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

/// Paths of PEM files. The client certificate is optional.
struct ClientTlsSettings {
  std::string Ca_;          ///< CAs that sign the peer's certificate.
  std::string Certificate_; ///< Empty for no client certificate.
  std::string Key_;         ///< Empty for no client certificate.

  bool operator==(const ClientTlsSettings &) const = default;
};

/// Access to the key-value store.
struct StoreSettings {
  /// "IP:PORT" each; https when Tls_ is set and http otherwise.
  std::vector<std::string> Endpoints_;
  milliseconds Timeout_{3000};
  std::uint64_t CallsPerSecond_ = 20; ///< Rate limit of this process.
  std::optional<ClientTlsSettings> Tls_;

  bool operator==(const StoreSettings &) const = default;
};

/// A daemon that others query for the configuration when they start.
struct BootstrapPeer {
  std::string Name_;
  std::string DataCentre_;
  std::string PeerAddress_; ///< "IP:PORT".
  std::string PublicKey_;   ///< CURVE, 40 Z85 characters; empty without CURVE.

  bool operator==(const BootstrapPeer &) const = default;
};

/// TLS certificate of a listener; paths of PEM files.
struct ServerTlsSettings {
  std::string Certificate_;
  std::string Key_;
  /// CAs; only clients with a certificate signed by one of them are accepted.
  /// Empty to accept any client.
  std::string ClientCa_;

  bool operator==(const ServerTlsSettings &) const = default;
};

/// CURVE encryption (ZeroMQ) of the links between daemons.
struct CurveSettings {
  std::string SecretKeyFile_;
  std::string AllowedKeysFile_;

  bool operator==(const CurveSettings &) const = default;
};

struct OperatorEntry {
  std::string Name_;
  std::string PublicKey_;  ///< Ed25519, 64 hex digits.
  bool MayFile_ = true;    ///< May file tickets.
  bool MayApprove_ = true; ///< May approve tickets.

  bool operator==(const OperatorEntry &) const = default;
};

struct LimitSettings {
  std::uint64_t MaxHeaderBytes_ = 16U << 10U;
  std::uint64_t MaxBodyBytes_ = 8U << 20U;
  /// Most bytes of unfinished answers of targets in memory; at least one answer
  /// of the largest size.
  std::uint64_t ResponseBufferBytes_ = 32U << 20U;
  /// Most bytes of callers' requests in memory on one listener; at least one
  /// request of the largest size.
  std::uint64_t RequestBufferBytes_ = 32U << 20U;
  std::uint64_t MaxCalls_ = 10000; ///< In flight at this daemon.
  std::uint64_t PeerLinks_ = 110;  ///< Links dialled to other daemons.
  /// Rate of this host's link in Mbit/s, at which large answers are sent; 0
  /// when not known.
  double LinkMbps_ = 0;
  /// Most bytes of large answers that wait for the link or are expected.
  std::uint64_t AnswerBufferBytes_ = 32U << 20U;
  /// Share of a target's slots that long requests may hold.
  double LongShare_ = 0.34;
  /// Load per slot of the best target in the own data centre above which
  /// targets in other data centres are considered; at 1, a call would take the
  /// last free slot.
  double SpillCost_ = 0.6;
  /// Requests for services with at least this many targets are placed by
  /// remaining work; 0 for none. An entry daemon hears too rarely from each of
  /// many targets for placement by requests per slot.
  std::uint64_t WorkPlacementTargets_ = 0;
  /// Number of daemons in each data centre that watch the store.
  std::uint64_t ReadersPerDataCentre_ = 2;

  bool operator==(const LimitSettings &) const = default;
};

struct TimingSettings {
  milliseconds ProbeInterval_{1000};
  milliseconds ProbeTimeout_{400};
  milliseconds Suspect_{3000};
  milliseconds GossipInterval_{200};
  milliseconds SyncInterval_{5000};
  milliseconds HeadReadInterval_{10000};
  /// Minimum delay before a starting daemon repeats a failed store read; the
  /// maximum is twice this.
  milliseconds StartRetry_{5000};
  /// Maximum random delay before the first store read of a starting daemon.
  milliseconds StartJitter_{5000};
  milliseconds LinkDeadline_{2000};
  milliseconds AnnounceInterval_{1000};
  /// A stopping daemon reports at once that it is not ready, but accepts
  /// requests for this long, so that callers can turn to other daemons.
  milliseconds LeaveNotice_{2000};

  bool operator==(const TimingSettings &) const = default;
};

/// Idempotency keys. Must be the same on every daemon of the fleet.
struct KeySettings {
  std::uint64_t Buckets_ = 16; ///< 0 switches idempotency keys off.
  seconds Lease_{30};
  milliseconds ClockSkew_{1000};
  seconds ResendWindow_{600};

  bool operator==(const KeySettings &) const = default;
};

/// The target beside this daemon, if the settings name it.
struct TargetSettings {
  std::string Service_;
  std::string Address_; ///< "IP:PORT".
  /// Address of the listener on which the integration receives the target's
  /// announcements; empty if the target uses the admin listener.
  std::string AnnounceListen_;

  bool operator==(const TargetSettings &) const = default;
};

/// Budget of requests that may be sent to a second target; see RetryBudget.
struct RetrySettings {
  double Share_ = 0.1;          ///< Retries per success.
  std::uint64_t Constant_ = 10; ///< Retries of a daemon without successes.
  /// Like Constant_, but for all daemons together; replaces Constant_ unless 0.
  double FleetConstant_ = 0;
  /// Whether callers state the same timeout for all requests of a route, and
  /// the remaining time when they resend a request; see CallerTimes.
  bool CallersShareTime_ = false;

  bool operator==(const RetrySettings &) const = default;
};

/// Bound on the time for which a withdrawn credential is accepted.
struct RevocationSettings {
  /// Requests with a credential are refused when the configuration has not been
  /// confirmed for this long; see ConfigFreshness. 0: no bound.
  milliseconds MaxAge_{0};

  bool operator==(const RevocationSettings &) const = default;
};

/// Retention of records about calls.
struct RecordSettings {
  /// Of answers and tombstones; longer than any caller's deadline.
  milliseconds Keep_{30'000};
  /// Delay of the response to a request whose target was lost, so that its
  /// crash record reaches the fleet before the caller resends the request.
  milliseconds LossHold_{1000};

  bool operator==(const RecordSettings &) const = default;
};

struct LogSettings {
  std::string Level_ = "info"; ///< "debug", "info", "warn" or "error".
  /// Empty for standard error, "-" for standard output.
  std::string File_;

  bool operator==(const LogSettings &) const = default;
};

struct TraceSettings {
  double SampleRatio_ = 0.01; ///< 0 to 1.
  std::string File_;          ///< Empty for no trace output.

  bool operator==(const TraceSettings &) const = default;
};

/// Settings of sycamored.
struct Settings {
  std::string Server_;
  std::string DataCentre_;
  std::string Region_; ///< Empty when unknown.
  std::string CallerListen_;
  std::string AdminListen_;
  std::string PeerListen_;
  /// Address at which other daemons reach this one; empty for the address to
  /// which PeerListen_ was bound.
  std::string PeerAddress_;
  /// Listener that responds to every GET with 200 while the daemon accepts
  /// requests and with 503 otherwise; empty for none.
  std::string ReadyListen_;
  /// Name of the platform adapter; empty for the built-in store and
  /// announcements.
  std::string Integration_;
  std::optional<TargetSettings> Target_;
  HeaderNames Headers_;
  /// Whether Retry-After may hold fractions of a second, for callers that parse
  /// them.
  bool FractionalRetryAfter_ = false;
  /// Statuses by which callers that do not read HeaderNames::Run_ recognise
  /// that a request did not run.
  std::vector<std::uint32_t> RefusalStatuses_;
  StoreSettings Store_;
  std::vector<BootstrapPeer> BootstrapPeers_;
  std::optional<ServerTlsSettings> CallerTls_;
  std::optional<ServerTlsSettings> AdminTls_;
  std::optional<CurveSettings> Curve_; ///< Unset: links are not encrypted.
  std::vector<OperatorEntry> Operators_;
  bool RequireSecondOperator_ = false;
  /// JSON object that maps operator names to the SHA-256 of their token in hex;
  /// empty when the admin listener requires no token.
  std::string AdminTokensFile_;
  LimitSettings Limits_;
  TimingSettings Timing_;
  KeySettings Keys_;
  RetrySettings Retries_;
  RecordSettings Records_;
  RevocationSettings Revocation_;
  milliseconds StopLimit_{30000}; ///< Maximum duration of a graceful stop.
  LogSettings Log_;
  TraceSettings Trace_;

  bool operator==(const Settings &) const = default;
};

/// Settings of sycamorectl.
struct OperatorSettings {
  std::string Operator_;
  std::string SigningKeyFile_; ///< Empty: acceptances are unsigned.
  StoreSettings Store_;
  std::string Daemon_;         ///< Admin address "IP:PORT"; may be empty.
  std::string DaemonCa_;       ///< If set, the admin address is https.
  std::string AdminTokenFile_; ///< Bearer token; empty for none.
  bool RequireSecondOperator_ = false;
  std::vector<OperatorEntry> Operators_;

  bool operator==(const OperatorSettings &) const = default;
};

/// Validates a document without reading other files. Errors are of kind
/// InvalidSettings, with one line per problem that states Source, field, value
/// and the allowed values.
Result<Settings> parseSettings(const Json &Document, std::string_view Source);
Result<OperatorSettings> parseOperatorSettings(const Json &Document,
                                               std::string_view Source);

/// Reads and validates a file, and checks the permission modes of the key files
/// that it names. Errors are those of parseJsonFile() and the parsers above,
/// and PermissionDenied and NotFound for key files.
Result<Settings> loadSettings(const std::string &Path);
Result<OperatorSettings> loadOperatorSettings(const std::string &Path);

/// Paths of all fields that the parsers accept, such as "store.tls.ca" and
/// "operators[].name".
std::vector<std::string> settingsFields();
std::vector<std::string> operatorSettingsFields();

/// Returns an error if a key file is missing (NotFound), is not a regular file
/// or is accessible to group or others (PermissionDenied).
std::optional<Error> checkKeyFile(const std::string &Path);

/// Checks and reads a key file of at most 64 KiB; trailing white space is
/// removed.
Result<std::string> readKeyFile(const std::string &Path);

/// Maps operator names to the SHA-256 of their admin token, 64 lower-case hex
/// digits.
Result<std::map<std::string, std::string>>
loadAdminTokens(const std::string &Path);

struct SocketAddress {
  std::string Host_; ///< IPv4 or IPv6 address without brackets.
  std::uint16_t Port_ = 0;

  bool operator==(const SocketAddress &) const = default;
};

/// Parses "IPV4:PORT" or "[IPV6]:PORT". Errors are of kind InvalidArgument.
Result<SocketAddress> parseSocketAddress(std::string_view Text);

/// The same for an address to connect to, where port 0 is an error too.
Result<SocketAddress> parseRemoteAddress(std::string_view Text);

} // namespace sycamore
