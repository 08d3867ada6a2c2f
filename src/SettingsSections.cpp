// Sections that the settings of the daemon and of operators share, and the
// settings of operators.
#include "SettingsReader.h"

#include <algorithm>
#include <cctype>

namespace sycamore {
namespace {

constexpr std::size_t PublicKeyDigits = 64;

bool isHex(std::string_view Text, std::size_t Digits) {
  return Text.size() == Digits &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
           return std::isxdigit(Character);
         });
}

void readClientTls(SettingsReader &Reader, ClientTlsSettings &Out) {
  Reader.require("ca");
  Reader.file("ca", Out.Ca_);
  Reader.file("certificate", Out.Certificate_);
  Reader.file("key", Out.Key_);
  if (Out.Certificate_.empty() != Out.Key_.empty())
    Reader.reportProblem(
        Out.Key_.empty() ? "key" : "certificate",
        "is missing: certificate and key must be set together");
}

OperatorEntry readOperator(SettingsReader &Reader) {
  OperatorEntry Out;
  Reader.name("name", Out.Name_, true);
  Reader.require("public_key");
  Reader.string("public_key", Out.PublicKey_);
  const Json *Key = Reader.find("public_key");
  if (Key && Key->is_string() && !isHex(Out.PublicKey_, PublicKeyDigits))
    Reader.reportProblem("public_key",
                         "is not an Ed25519 key of 64 hex digits");
  std::vector<std::string> Rights = {"file", "approve"};
  Reader.subsetOf("may", Rights, {"file", "approve"});
  Out.MayFile_ =
      std::find(Rights.begin(), Rights.end(), "file") != Rights.end();
  Out.MayApprove_ =
      std::find(Rights.begin(), Rights.end(), "approve") != Rights.end();
  return Out;
}

void readOperatorSettings(SettingsReader &Reader, OperatorSettings &Out) {
  Reader.name("operator", Out.Operator_, true);
  Reader.file("signing_key_file", Out.SigningKeyFile_);
  Reader.require("store");
  Reader.section("store", [&](SettingsReader &Section) {
    readStoreSettings(Section, Out.Store_);
  });
  Reader.address("daemon", Out.Daemon_, false);
  Reader.file("daemon_ca", Out.DaemonCa_);
  Reader.file("admin_token_file", Out.AdminTokenFile_);
  readOperators(Reader, Out.Operators_, Out.RequireSecondOperator_);
  if (!Out.Operators_.empty() && Out.SigningKeyFile_.empty())
    Reader.reportProblem(
        "signing_key_file",
        "is missing: the daemons check signatures when operators "
        "are listed");
  Reader.reportUnknownFields();
}

std::vector<std::string> keyFilesOf(const OperatorSettings &Value) {
  std::vector<std::string> Out;
  for (const std::string &File : {Value.SigningKeyFile_, Value.AdminTokenFile_})
    if (!File.empty())
      Out.push_back(File);
  if (Value.Store_.Tls_ && !Value.Store_.Tls_->Key_.empty())
    Out.push_back(Value.Store_.Tls_->Key_);
  return Out;
}

} // namespace

void readStoreSettings(SettingsReader &Reader, StoreSettings &Out) {
  Reader.require("endpoints");
  Reader.addresses("endpoints", Out.Endpoints_);
  Reader.duration("timeout_ms", Out.Timeout_, 10, 60'000);
  Reader.integer("calls_per_second", Out.CallsPerSecond_, 1, 1000);
  ClientTlsSettings Tls;
  if (Reader.section(
          "tls", [&](SettingsReader &Section) { readClientTls(Section, Tls); }))
    Out.Tls_ = Tls;
}

void readOperators(SettingsReader &Reader, std::vector<OperatorEntry> &Out,
                   bool &RequireSecond) {
  std::set<std::string> Names;
  Reader.forEachObject("operators", [&](SettingsReader &Section) {
    Out.push_back(readOperator(Section));
    if (!Names.insert(Out.back().Name_).second)
      Section.reportProblem("name", "is listed twice");
  });
  Reader.flag("require_second_operator", RequireSecond);
  if (RequireSecond && Out.size() == 1)
    Reader.reportProblem("require_second_operator",
                         "needs at least two entries under operators");
}

Result<OperatorSettings> parseOperatorSettings(const Json &Document,
                                               std::string_view Source) {
  OperatorSettings Out;
  SettingsReader::Context ParseContext;
  SettingsReader Reader(Document, "", "", ParseContext);
  readOperatorSettings(Reader, Out);
  if (auto Failure = problemsToError(
          ErrorKind::InvalidSettings, Source, ParseContext.Problems_,
          "correct these fields; docs/settings.md describes each"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

Result<OperatorSettings> loadOperatorSettings(const std::string &Path) {
  return loadSettingsFile(Path, parseOperatorSettings, keyFilesOf);
}

std::vector<std::string> operatorSettingsFields() {
  OperatorSettings Scratch;
  return listFields(
      [&](SettingsReader &Reader) { readOperatorSettings(Reader, Scratch); });
}

} // namespace sycamore
