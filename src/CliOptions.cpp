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

constexpr std::array<CliOptionText, 10> OptionTexts = {{
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

tl::unexpected<Error> badUsage(const std::string &What) {
  return fail(ErrorKind::InvalidArgument, What, "see `sycamorectl --help`");
}

/// Variables that popt stores option values in.
struct Raw {
  char *Settings_ = nullptr;
  double Timeout_ = 10.0;
  long long Limit_ = 20;
  long long Before_ = 0;
  std::array<int, 6> Flags_{};
};

std::vector<poptOption> makeTable(Raw &Out) {
  std::vector<poptOption> Table;
  std::size_t Flag = 0;
  int Value = 0;
  for (const CliOptionText &Text : OptionTexts) {
    poptOption Entry{};
    Entry.longName = Text.Name_.data();
    Entry.shortName = Text.Letter_;
    Entry.argInfo = POPT_ARG_NONE;
    // Returned by poptGetNextOpt(): the index of the option, counted from 1.
    Entry.val = ++Value;
    if (Text.Name_ == "settings") {
      Entry.argInfo = POPT_ARG_STRING;
      Entry.arg = &Out.Settings_;
    } else if (Text.Name_ == "timeout") {
      Entry.argInfo = POPT_ARG_DOUBLE;
      Entry.arg = &Out.Timeout_;
    } else if (Text.Name_ == "limit" || Text.Name_ == "before") {
      Entry.argInfo = POPT_ARG_LONGLONG;
      Entry.arg = Text.Name_ == "limit" ? &Out.Limit_ : &Out.Before_;
    } else {
      Entry.arg = &Out.Flags_.at(Flag++);
    }
    Table.push_back(Entry);
  }
  Table.push_back(poptOption{});
  return Table;
}

std::optional<std::string> checkRanges(const Raw &Value) {
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

std::span<const CliOptionText> cliOptionTexts() { return OptionTexts; }

Result<CliOptions> parseCliOptions(const std::vector<std::string> &Arguments) {
  Raw Value;
  std::vector<poptOption> Table = makeTable(Value);
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
    Out.Given_.emplace_back(
        OptionTexts.at(static_cast<std::size_t>(Code) - 1).Name_);
  std::string Failure;
  if (Code < -1)
    Failure = std::string(poptBadOption(Context, POPT_BADOPTION_NOALIAS)) +
              ": " + poptStrerror(Code);
  for (const char **Word = poptGetArgs(Context); Word && *Word; ++Word)
    Out.Words_.emplace_back(*Word);
  poptFreeContext(Context);
  if (Value.Settings_)
    Out.Settings_ = Value.Settings_;
  std::free(Value.Settings_);
  if (!Failure.empty())
    return badUsage(Failure);
  if (auto Problem = checkRanges(Value))
    return badUsage(*Problem);
  auto Given = [&](std::string_view Name) {
    return std::find(Out.Given_.begin(), Out.Given_.end(), Name) !=
           Out.Given_.end();
  };
  Out.Json_ = Given("json");
  Out.Help_ = Given("help");
  Out.Version_ = Given("version");
  Out.Operator_ = Given("operator");
  Out.Signing_ = Given("signing");
  Out.Curve_ = Given("curve");
  Out.Timeout_ = Duration(std::llround(Value.Timeout_ * 1e6));
  Out.Limit_ = static_cast<std::uint64_t>(Value.Limit_);
  Out.Before_ = static_cast<std::uint64_t>(Value.Before_);
  return Out;
}

} // namespace sycamore
