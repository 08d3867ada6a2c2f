// Parses command-line options with popt.
#include "Cli.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <popt.h>

namespace sycamore {
namespace {

constexpr double MinTimeoutSeconds = 0.1;
constexpr double MaxTimeoutSeconds = 3600.0;
constexpr long long MaxLimit = 1000;

constexpr std::array<CliOptionSpec, 10> OptionSpecs = {{
    {"settings", 's', "FILE",
     "Settings of the operator. Default: the environment variable "
     "SYCAMORECTL_SETTINGS.",
     true},
    {"json", 'j', "", "Print one JSON document instead of tables.", true},
    {"timeout", 't', "SECONDS",
     "Limit for the whole command with its retries, 0.1 to 3600. Default: 10.",
     true},
    {"help", 'h', "", "Print this help and exit.", true},
    {"version", 'V', "", "Print the version and exit.", true},
    {"operator", 0, "", "The file holds an operator's settings.", false},
    {"signing", 0, "", "Make an Ed25519 key that signs acceptances.", false},
    {"curve", 0, "", "Make a CURVE key for links between daemons.", false},
    {"limit", 'n', "COUNT",
     "Print at most COUNT tickets, 1 to 1000. "
     "Default: 20.",
     false},
    {"before", 'b', "NUMBER", "Print only tickets below NUMBER.", false},
}};

tl::unexpected<Error> usageError(const std::string &Message) {
  return fail(ErrorKind::InvalidArgument, Message, "see `sycamorectl --help`");
}

/// Variables that popt stores option values in.
struct OptionStorage {
  char *Settings_ = nullptr;
  double Timeout_ = 10.0;
  long long Limit_ = 20;
  long long Before_ = 0;
  std::array<int, 6> Flags_{};
};

std::vector<poptOption> makePoptTable(OptionStorage &Out) {
  std::vector<poptOption> Table;
  std::size_t FlagIndex = 0;
  int Value = 0;
  for (const CliOptionSpec &Spec : OptionSpecs) {
    poptOption Entry{};
    Entry.longName = Spec.Name_.data();
    Entry.shortName = Spec.ShortName_;
    Entry.argInfo = POPT_ARG_NONE;
    // Returned by poptGetNextOpt(): the index of the option, counted from 1.
    Entry.val = ++Value;
    if (Spec.Name_ == "settings") {
      Entry.argInfo = POPT_ARG_STRING;
      Entry.arg = &Out.Settings_;
    } else if (Spec.Name_ == "timeout") {
      Entry.argInfo = POPT_ARG_DOUBLE;
      Entry.arg = &Out.Timeout_;
    } else if (Spec.Name_ == "limit" || Spec.Name_ == "before") {
      Entry.argInfo = POPT_ARG_LONGLONG;
      Entry.arg = Spec.Name_ == "limit" ? &Out.Limit_ : &Out.Before_;
    } else {
      Entry.arg = &Out.Flags_.at(FlagIndex++);
    }
    Table.push_back(Entry);
  }
  Table.push_back(poptOption{});
  return Table;
}

std::optional<std::string> checkRanges(const OptionStorage &Value) {
  if (!(Value.Timeout_ >= MinTimeoutSeconds) ||
      Value.Timeout_ > MaxTimeoutSeconds)
    return "--timeout: is not a number from 0.1 to 3600";
  if (Value.Limit_ < 1 || Value.Limit_ > MaxLimit)
    return "--limit: is not a whole number from 1 to 1000";
  if (Value.Before_ < 0 || Value.Before_ > 999'999'999'999)
    return "--before: is not a ticket number";
  return std::nullopt;
}

} // namespace

std::span<const CliOptionSpec> cliOptionSpecs() { return OptionSpecs; }

Result<CliOptions> parseCliOptions(const std::vector<std::string> &Arguments) {
  OptionStorage Value;
  std::vector<poptOption> Table = makePoptTable(Value);
  std::vector<const char *> Pointers = {"sycamorectl"};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(Argument.c_str());
  Pointers.push_back(nullptr);
  poptContext Context =
      poptGetContext("sycamorectl", static_cast<int>(Pointers.size() - 1),
                     Pointers.data(), Table.data(), 0);
  CliOptions Out;
  int Code = 0;
  while ((Code = poptGetNextOpt(Context)) > 0)
    Out.GivenOptions_.emplace_back(
        OptionSpecs.at(static_cast<std::size_t>(Code) - 1).Name_);
  std::string Failure;
  if (Code < -1)
    Failure = std::string(poptBadOption(Context, POPT_BADOPTION_NOALIAS)) +
              ": " + poptStrerror(Code);
  for (const char **Word = poptGetArgs(Context); Word && *Word; ++Word)
    Out.Positionals_.emplace_back(*Word);
  poptFreeContext(Context);
  if (Value.Settings_)
    Out.Settings_ = Value.Settings_;
  std::free(Value.Settings_);
  if (!Failure.empty())
    return usageError(Failure);
  if (auto Problem = checkRanges(Value))
    return usageError(*Problem);
  auto IsGiven = [&](std::string_view Name) {
    return std::find(Out.GivenOptions_.begin(), Out.GivenOptions_.end(),
                     Name) != Out.GivenOptions_.end();
  };
  Out.Json_ = IsGiven("json");
  Out.Help_ = IsGiven("help");
  Out.Version_ = IsGiven("version");
  Out.Operator_ = IsGiven("operator");
  Out.Signing_ = IsGiven("signing");
  Out.Curve_ = IsGiven("curve");
  Out.Timeout_ = Duration(std::llround(Value.Timeout_ * 1e6));
  Out.Limit_ = static_cast<std::uint64_t>(Value.Limit_);
  Out.Before_ = static_cast<std::uint64_t>(Value.Before_);
  return Out;
}

} // namespace sycamore
