// Settings of the daemon and of the operators' command line. docs/settings.md
// describes every field.
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

/// Files in PEM format; a client presents its certificate when it has one.
struct ClientTlsSettings {
  std::string Ca_;          ///< Authorities that sign the other side.
  std::string Certificate_; ///< Empty when the client has none.
  std::string Key_;         ///< Empty when the client has none.

  bool operator==(const ClientTlsSettings &) const = default;
};

/// Access to the key-value store.
struct StoreSettings {
  /// "IP:PORT" each; https when Tls_ is set and http otherwise.
  std::vector<std::string> Endpoints_;
  milliseconds Timeout_{3000};
  std::uint64_t CallsPerSecond_ = 20; ///< Budget of this process.
  std::optional<ClientTlsSettings> Tls_;

  bool operator==(const StoreSettings &) const = default;
};

/// A daemon that is asked for the configuration at the start.
struct BootstrapPeer {
  std::string Name_;
  std::string DataCentre_;
  std::string PeerAddress_; ///< "IP:PORT".
  std::string PublicKey_;   ///< CURVE, 40 Z85 characters; empty without CURVE.

  bool operator==(const BootstrapPeer &) const = default;
};

/// Certificate of a listener, files in PEM format.
struct ServerTlsSettings {
  std::string Certificate_;
  std::string Key_;
  /// Only clients with a certificate of these authorities; empty for any.
  std::string ClientCa_;

  bool operator==(const ServerTlsSettings &) const = default;
};

/// Encryption of the links between daemons.
struct CurveSettings {
  std::string SecretKeyFile_;
  std::string AllowedKeysFile_;

  bool operator==(const CurveSettings &) const = default;
};

struct OperatorEntry {
  std::string Name_;
  std::string PublicKey_; ///< Ed25519, 64 hex digits.
  bool MayFile_ = true;
  bool MayApprove_ = true;

  bool operator==(const OperatorEntry &) const = default;
};

struct LimitSettings {
  std::uint64_t MaxHeaderBytes_ = 16U << 10U;
  std::uint64_t MaxBodyBytes_ = 8U << 20U;
  std::uint64_t MaxCalls_ = 10000; ///< In flight at this daemon.
  std::uint64_t PeerLinks_ = 110;
  /// Share of a target's slots that long requests may hold.
  double LongShare_ = 0.34;
  /// Load per slot of the best near target from which targets of other data
  /// centres are considered; 1 when its last free slot would be taken.
  double SpillCost_ = 0.6;
  std::uint64_t ReadersPerDataCentre_ = 2; ///< Daemons that watch the store.

  bool operator==(const LimitSettings &) const = default;
};

struct TimingSettings {
  milliseconds ProbeInterval_{1000};
  milliseconds ProbeTimeout_{400};
  milliseconds Suspect_{3000};
  milliseconds GossipInterval_{200};
  milliseconds SyncInterval_{5000};
  milliseconds HeadReadInterval_{10000};
  /// First store read of a starting daemon comes after up to this time.
  /// Least pause after a failed read of the store at the start; at most twice.
  milliseconds StartRetry_{5000};
  milliseconds StartJitter_{5000};
  milliseconds LinkDeadline_{2000};
  milliseconds AnnounceInterval_{1000};
  /// A stopping daemon still takes requests for this long, so that the news of
  /// its leaving has spread.
  milliseconds LeaveNotice_{2000};

  bool operator==(const TimingSettings &) const = default;
};

/// Idempotency keys; equal on every daemon of the fleet.
struct KeySettings {
  std::uint64_t Buckets_ = 16; ///< 0 switches idempotency keys off.
  seconds Lease_{30};
  milliseconds ClockSkew_{1000};
  seconds ResendWindow_{600};

  bool operator==(const KeySettings &) const = default;
};

/// The target beside this daemon, when the settings name it.
struct TargetSettings {
  std::string Service_;
  std::string Address_; ///< "IP:PORT".
  /// Where the target announces itself through the integration; empty when it
  /// uses the admin listener.
  std::string AnnounceListen_;

  bool operator==(const TargetSettings &) const = default;
};

/// Share of requests that may be sent to a second target, over the fleet.
struct RetrySettings {
  double Share_ = 0.1;          ///< Retries per success.
  std::uint64_t Constant_ = 10; ///< Retries of a daemon without successes.
  /// Retries of all daemons without successes; replaces Constant_ unless 0.
  std::uint64_t FleetConstant_ = 0;
  /// Callers state the same time for all requests of a route, and what is left
  /// of it when they send one again; see CallerTimes.
  bool CallersShareTime_ = false;

  bool operator==(const RetrySettings &) const = default;
};

/// Records that daemons keep about calls.
struct RecordSettings {
  /// Answers and tombstones; longer than any caller's deadline.
  milliseconds Keep_{30'000};
  /// How long the answer about a lost target is held back, so that the mark on
  /// its request reaches the fleet before the caller sends it again.
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
  /// Address that other daemons use; empty for PeerListen_ as bound.
  std::string PeerAddress_;
  /// Answers 200 to every GET while the daemon takes requests, else 503; empty
  /// for none.
  std::string ReadyListen_;
  /// Name of the platform adapter; empty for the built-in store and
  /// announcements.
  std::string Integration_;
  std::optional<TargetSettings> Target_;
  HeaderNames Headers_;
  /// Retry-After in fractions of a second, for callers that read them.
  bool FractionalRetryAfter_ = false;
  StoreSettings Store_;
  std::vector<BootstrapPeer> BootstrapPeers_;
  std::optional<ServerTlsSettings> CallerTls_;
  std::optional<ServerTlsSettings> AdminTls_;
  std::optional<CurveSettings> Curve_; ///< Absent: plain links.
  std::vector<OperatorEntry> Operators_;
  bool RequireSecondOperator_ = false;
  /// JSON object from operator names to the SHA-256 of their token in hex;
  /// empty when the admin listener asks for no token.
  std::string AdminTokensFile_;
  LimitSettings Limits_;
  TimingSettings Timing_;
  KeySettings Keys_;
  RetrySettings Retries_;
  RecordSettings Records_;
  milliseconds StopLimit_{30000};
  LogSettings Log_;
  TraceSettings Trace_;

  bool operator==(const Settings &) const = default;
};

/// Settings of sycamorectl.
struct OperatorSettings {
  std::string Operator_;
  std::string SigningKeyFile_; ///< Empty: acceptances are not signed.
  StoreSettings Store_;
  std::string Daemon_;         ///< Admin address "IP:PORT"; may be empty.
  std::string DaemonCa_;       ///< Set: the admin interface is https.
  std::string AdminTokenFile_; ///< Bearer token; empty for none.
  bool RequireSecondOperator_ = false;
  std::vector<OperatorEntry> Operators_;

  bool operator==(const OperatorSettings &) const = default;
};

/// Checks a document and reads no other file. Errors are of kind
/// InvalidSettings, one line for each problem with Source, field, value and
/// what is allowed.
Result<Settings> parseSettings(const Json &Document, std::string_view Source);
Result<OperatorSettings> parseOperatorSettings(const Json &Document,
                                               std::string_view Source);

/// Reads and checks a file, and the permission modes of the key files that it
/// names. Adds PermissionDenied and NotFound for these to the errors above.
Result<Settings> loadSettings(const std::string &Path);
Result<OperatorSettings> loadOperatorSettings(const std::string &Path);

/// Every field that the parsers know, as paths such as "store.tls.ca" and
/// "operators[].name".
std::vector<std::string> settingsFields();
std::vector<std::string> operatorSettingsFields();

/// Refuses a key file that is missing (NotFound), or that is not a regular file
/// or is open to group or others (PermissionDenied).
std::optional<Error> checkKeyFile(const std::string &Path);

/// Content of a checked key file of at most 64 KiB without white space at its
/// end.
Result<std::string> readKeyFile(const std::string &Path);

/// Operators by name with the SHA-256 of their admin token, 64 hex digits.
Result<std::map<std::string, std::string>>
loadAdminTokens(const std::string &Path);

struct SocketAddress {
  std::string Host_; ///< IPv4 or IPv6 address without brackets.
  std::uint16_t Port_ = 0;

  bool operator==(const SocketAddress &) const = default;
};

/// Reads "IPV4:PORT" or "[IPV6]:PORT". Errors are of kind InvalidArgument.
Result<SocketAddress> parseSocketAddress(std::string_view Text);

} // namespace sycamore
