// Parses and validates the settings of the daemon.
#include "SettingsReader.h"
#include "TicketMutations.h"
#include "sycamore/Ticket.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace sycamore {
namespace {

/// Whether the text is a CURVE key in Z85, the text encoding of ZeroMQ.
bool isZ85Key(std::string_view Text) {
  constexpr std::size_t KeyCharacters = 40;
  constexpr std::string_view Symbols = ".-:+=^!/*?&<>()[]{}@%$#";
  return Text.size() == KeyCharacters &&
         std::all_of(Text.begin(), Text.end(), [&](unsigned char Character) {
           return std::isalnum(Character) ||
                  Symbols.find(static_cast<char>(Character)) !=
                      std::string_view::npos;
         });
}

BootstrapPeer readBootstrapPeer(SettingsReader &Reader) {
  BootstrapPeer Out;
  Reader.name("name", Out.Name_, true);
  Reader.name("data_centre", Out.DataCentre_, true);
  Reader.require("peer_address");
  Reader.address("peer_address", Out.PeerAddress_, false);
  Reader.string("public_key", Out.PublicKey_);
  const Json *Key = Reader.find("public_key");
  if (Key && Key->is_string() && !isZ85Key(Out.PublicKey_))
    Reader.reportProblem("public_key",
                         "is not a CURVE key of 40 Z85 characters");
  return Out;
}

void readServerTls(SettingsReader &Reader, ServerTlsSettings &Out,
                   bool WithClientCa) {
  Reader.require("certificate");
  Reader.file("certificate", Out.Certificate_);
  Reader.require("key");
  Reader.file("key", Out.Key_);
  if (WithClientCa)
    Reader.file("client_ca", Out.ClientCa_);
}

void readCurve(SettingsReader &Reader, CurveSettings &Out) {
  Reader.require("secret_key_file");
  Reader.file("secret_key_file", Out.SecretKeyFile_);
  Reader.require("allowed_keys_file");
  Reader.file("allowed_keys_file", Out.AllowedKeysFile_);
}

/// A buffer that holds at least one message of the largest size.
void readBufferBytes(SettingsReader &Reader, std::string_view Field,
                     const LimitSettings &Limits, std::uint64_t &Out) {
  std::uint64_t LargestMessage = Limits.MaxHeaderBytes_ + Limits.MaxBodyBytes_;
  Out = std::max(Out, LargestMessage);
  Reader.integer(Field, Out, 1024, 1U << 30U);
  if (Out < LargestMessage)
    Reader.reportProblem(Field,
                         "is below max_header_bytes plus max_body_bytes (" +
                             std::to_string(LargestMessage) + ")");
}

void readLimits(SettingsReader &Reader, LimitSettings &Out) {
  Reader.integer("max_header_bytes", Out.MaxHeaderBytes_, 1024, 1U << 20U);
  Reader.integer("max_body_bytes", Out.MaxBodyBytes_, 1024, 64U << 20U);
  readBufferBytes(Reader, "response_buffer_bytes", Out,
                  Out.ResponseBufferBytes_);
  readBufferBytes(Reader, "request_buffer_bytes", Out, Out.RequestBufferBytes_);
  Reader.integer("max_calls", Out.MaxCalls_,
                 mutationEnabled("settings-other-range") ? 2 : 1, 1'000'000);
  Reader.integer("peer_links", Out.PeerLinks_, 4, 10'000);
  Reader.number("link_mbps", Out.LinkMbps_, 0.0, 1'000'000.0);
  Reader.integer("answer_buffer_bytes", Out.AnswerBufferBytes_, 1U << 20U,
                 1U << 30U);
  Reader.number("spill_cost", Out.SpillCost_, 0.0, 10.0);
  Reader.number("long_share", Out.LongShare_, 0.0, 1.0);
  Reader.integer("work_placement_targets", Out.WorkPlacementTargets_, 0,
                 100'000);
  Reader.integer("readers_per_data_centre", Out.ReadersPerDataCentre_, 1, 100);
}

void readTiming(SettingsReader &Reader, TimingSettings &Out) {
  Reader.duration("probe_interval_ms", Out.ProbeInterval_, 50, 60'000);
  Reader.duration("probe_timeout_ms", Out.ProbeTimeout_, 10, 30'000);
  Reader.duration("suspect_ms", Out.Suspect_, 100, 600'000);
  Reader.duration("gossip_interval_ms", Out.GossipInterval_, 20, 10'000);
  Reader.duration("sync_interval_ms", Out.SyncInterval_, 100, 600'000);
  Reader.duration("head_read_interval_ms", Out.HeadReadInterval_, 100, 600'000);
  Reader.duration("start_jitter_ms", Out.StartJitter_, 0, 60'000);
  Reader.duration("start_retry_ms", Out.StartRetry_, 100, 60'000);
  Reader.duration("link_deadline_ms", Out.LinkDeadline_, 100, 60'000);
  Reader.duration("announce_interval_ms", Out.AnnounceInterval_, 50, 60'000);
  Reader.duration("leave_notice_ms", Out.LeaveNotice_, 0, 60'000);
  if (Out.ProbeTimeout_ >= Out.ProbeInterval_)
    Reader.reportProblem("probe_timeout_ms",
                         "is not below probe_interval_ms (" +
                             std::to_string(Out.ProbeInterval_.count()) + ")");
}

void readKeys(SettingsReader &Reader, KeySettings &Out) {
  Reader.integer("buckets", Out.Buckets_, 0, 1024);
  Reader.duration("lease_s", Out.Lease_, 3, 3600);
  Reader.duration("clock_skew_ms", Out.ClockSkew_, 0, 60'000);
  Reader.duration("resend_window_s", Out.ResendWindow_, 1, 86'400);
  if (Out.Lease_ <= Out.ClockSkew_)
    Reader.reportProblem("lease_s", "is not above clock_skew_ms");
}

void readIdentity(SettingsReader &Reader, Settings &Out) {
  if (mutationEnabled("settings-undocumented-field"))
    Reader.find("undocumented");
  Reader.name("server", Out.Server_, true);
  Reader.name("data_centre", Out.DataCentre_, true);
  Reader.name("region", Out.Region_, false);
}

void readListeners(SettingsReader &Reader, Settings &Out) {
  struct Listener {
    std::string_view Field_;
    std::string Settings::*Address_;
  };
  constexpr std::array<Listener, 3> Listeners = {
      {{"caller_listen", &Settings::CallerListen_},
       {"admin_listen", &Settings::AdminListen_},
       {"peer_listen", &Settings::PeerListen_}}};
  std::set<std::string> FixedAddresses;
  for (const Listener &Entry : Listeners) {
    Reader.require(Entry.Field_);
    Reader.address(Entry.Field_, Out.*Entry.Address_, true);
    auto Parsed = parseSocketAddress(Out.*Entry.Address_);
    if (Parsed && Parsed->Port_ != 0 &&
        !FixedAddresses.insert(Out.*Entry.Address_).second)
      Reader.reportProblem(Entry.Field_, "is the address of another listener");
  }
  Reader.address("peer_address", Out.PeerAddress_, false);
  Reader.address("ready_listen", Out.ReadyListen_, true);
}

void readHeaders(SettingsReader &Reader, HeaderNames &Out) {
  struct Field {
    std::string_view Name_;
    std::string HeaderNames::*Value_;
  };
  constexpr std::array<Field, 13> Fields = {
      {{"run", &HeaderNames::Run_},
       {"depth", &HeaderNames::Depth_},
       {"deadline", &HeaderNames::Deadline_},
       {"ticket", &HeaderNames::Ticket_},
       {"traceparent", &HeaderNames::Traceparent_},
       {"idempotency_key", &HeaderNames::IdempotencyKey_},
       {"request_id", &HeaderNames::RequestId_},
       {"seal", &HeaderNames::Seal_},
       {"not_run", &HeaderNames::NotRun_},
       {"expected_target", &HeaderNames::ExpectedTarget_},
       {"caller_service", &HeaderNames::CallerService_},
       {"credential", &HeaderNames::Credential_},
       {"tenant", &HeaderNames::Tenant_}}};
  for (const Field &Entry : Fields) {
    std::string &Name = Out.*Entry.Value_;
    Reader.string(Entry.Name_, Name);
    if (!Name.empty() && !isValidName(Name))
      Reader.reportProblem(Entry.Name_, "is not a header name");
  }
}

void readTarget(SettingsReader &Reader, TargetSettings &Out) {
  Reader.name("service", Out.Service_, true);
  Reader.require("address");
  Reader.address("address", Out.Address_, false);
  Reader.address("announce_listen", Out.AnnounceListen_, true);
}

void readCallSettings(SettingsReader &Reader, Settings &Out) {
  Reader.section("headers", [&](SettingsReader &Section) {
    readHeaders(Section, Out.Headers_);
  });
  Reader.flag("fractional_retry_after", Out.FractionalRetryAfter_);
  Reader.errorStatuses("refusal_statuses", Out.RefusalStatuses_);
  Reader.section("records", [&](SettingsReader &Section) {
    Section.duration("keep_ms", Out.Records_.Keep_, 1000, 600'000);
    Section.duration("loss_hold_ms", Out.Records_.LossHold_, 0, 10'000);
  });
  Reader.section("revocation", [&](SettingsReader &Section) {
    constexpr milliseconds MinMaxAge(1000);
    milliseconds &MaxAge = Out.Revocation_.MaxAge_;
    Section.duration("max_age_ms", MaxAge, 0, 600'000);
    std::string Text;
    Section.string("max_age_text", Text);
    if (!Text.empty()) {
      std::uint64_t Value = 0;
      auto [End, Failure] =
          std::from_chars(Text.data(), Text.data() + Text.size(), Value);
      if (Failure != std::errc() || End != Text.data() + Text.size() ||
          Value > 600'000)
        Section.reportProblem("max_age_text", "is no number of milliseconds");
      else
        MaxAge = milliseconds(Value);
    }
    if (MaxAge.count() > 0 && MaxAge < MinMaxAge)
      Section.reportProblem("max_age_ms", "is neither 0 nor at least 1000");
  });
  Reader.section("retries", [&](SettingsReader &Section) {
    Section.number("share", Out.Retries_.Share_, 0.0, 1.0);
    Section.integer("constant", Out.Retries_.Constant_, 0, 100'000);
    Section.number("fleet_constant", Out.Retries_.FleetConstant_, 0, 1'000'000);
    Section.flag("callers_share_time", Out.Retries_.CallersShareTime_);
  });
}

void readIntegrationAndTarget(SettingsReader &Reader, Settings &Out) {
  Reader.string("integration", Out.Integration_);
  TargetSettings Target;
  if (Reader.section("target", [&](SettingsReader &Section) {
        readTarget(Section, Target);
      }))
    Out.Target_ = Target;
}

void readEncryption(SettingsReader &Reader, Settings &Out) {
  ServerTlsSettings Caller;
  if (Reader.section("caller_tls", [&](SettingsReader &Section) {
        readServerTls(Section, Caller, false);
      }))
    Out.CallerTls_ = Caller;
  ServerTlsSettings Admin;
  if (Reader.section("admin_tls", [&](SettingsReader &Section) {
        readServerTls(Section, Admin, true);
      }))
    Out.AdminTls_ = Admin;
  CurveSettings Curve;
  if (Reader.section(
          "curve", [&](SettingsReader &Section) { readCurve(Section, Curve); }))
    Out.Curve_ = Curve;
}

void readBootstrapPeers(SettingsReader &Reader, Settings &Out) {
  std::set<std::string> Names;
  Reader.forEachObject("bootstrap_peers", [&](SettingsReader &Section) {
    Out.BootstrapPeers_.push_back(readBootstrapPeer(Section));
    const BootstrapPeer &Peer = Out.BootstrapPeers_.back();
    if (!Names.insert(Peer.Name_).second)
      Section.reportProblem("name", "is listed twice");
    if (Out.Curve_ && Peer.PublicKey_.empty())
      Section.reportProblem("public_key", "is required when curve is set");
  });
}

void readProcessSettings(SettingsReader &Reader, Settings &Out) {
  Reader.duration("stop_limit_ms", Out.StopLimit_, 100, 600'000);
  Reader.section("log", [&](SettingsReader &Section) {
    Section.oneOf("level", Out.Log_.Level_, {"debug", "info", "warn", "error"});
    Section.file("file", Out.Log_.File_);
  });
  Reader.section("trace", [&](SettingsReader &Section) {
    Section.number("sample_ratio", Out.Trace_.SampleRatio_, 0.0, 1.0);
    Section.file("file", Out.Trace_.File_);
  });
}

void readSettings(SettingsReader &Reader, Settings &Out) {
  readIdentity(Reader, Out);
  readListeners(Reader, Out);
  readIntegrationAndTarget(Reader, Out);
  readCallSettings(Reader, Out);
  Reader.require("store");
  Reader.section("store", [&](SettingsReader &Section) {
    readStoreSettings(Section, Out.Store_);
  });
  readEncryption(Reader, Out);
  readBootstrapPeers(Reader, Out);
  readOperators(Reader, Out.Operators_, Out.RequireSecondOperator_);
  Reader.file("admin_tokens_file", Out.AdminTokensFile_);
  Reader.section("limits", [&](SettingsReader &Section) {
    readLimits(Section, Out.Limits_);
  });
  Reader.section("timing", [&](SettingsReader &Section) {
    readTiming(Section, Out.Timing_);
  });
  Reader.section(
      "keys", [&](SettingsReader &Section) { readKeys(Section, Out.Keys_); });
  if (Out.Keys_.Buckets_ == 0)
    Out.Headers_.IdempotencyKey_.clear();
  readProcessSettings(Reader, Out);
  Reader.reportUnknownFields();
}

std::vector<std::string> keyFilesOf(const Settings &Value) {
  std::vector<std::string> Out;
  auto Add = [&](const std::string &File) {
    if (!File.empty())
      Out.push_back(File);
  };
  if (Value.Store_.Tls_)
    Add(Value.Store_.Tls_->Key_);
  if (Value.CallerTls_)
    Add(Value.CallerTls_->Key_);
  if (Value.AdminTls_)
    Add(Value.AdminTls_->Key_);
  if (Value.Curve_)
    Add(Value.Curve_->SecretKeyFile_);
  Add(Value.AdminTokensFile_);
  return Out;
}

} // namespace

Result<Settings> parseSettings(const Json &Document, std::string_view Source) {
  Settings Out;
  SettingsReader::Context ParseContext;
  SettingsReader Reader(Document, "", "", ParseContext);
  readSettings(Reader, Out);
  if (auto Failure = problemsToError(
          ErrorKind::InvalidSettings, Source, ParseContext.Problems_,
          "correct these fields; docs/settings.md describes each"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

Result<Settings> loadSettings(const std::string &Path) {
  return loadSettingsFile(Path, parseSettings, keyFilesOf);
}

std::vector<std::string> settingsFields() {
  Settings Scratch;
  return listFields(
      [&](SettingsReader &Reader) { readSettings(Reader, Scratch); });
}

} // namespace sycamore
