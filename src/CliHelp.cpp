// Help pages and the completion script, both generated from the command table.
#include "Cli.h"

#include <algorithm>
#include <set>

namespace sycamore {
namespace {

constexpr std::size_t PageWidth = 78;

constexpr std::string_view ExitStatusText =
    "0  done, or the change was accepted\n"
    "1  damaged data in the store, or an internal error\n"
    "2  bad input: command line, ticket, settings or key file\n"
    "3  not accepted: conflict or refusal; nothing took effect\n"
    "4  unknown: the change may have taken effect; the message names the\n"
    "   command that shows whether it did\n"
    "5  unavailable: the store or the daemon gave no answer; nothing took\n"
    "   effect\n";

constexpr std::string_view FilesText =
    "The settings file of the operator is described in docs/settings.md. The\n"
    "key and token files that it names must be readable by the owner alone\n"
    "(chmod 600). A ticket file is one JSON document of at most 512 KiB.\n";

constexpr std::string_view EnvironmentText =
    "SYCAMORECTL_SETTINGS  settings file when --settings is absent\n";

/// Wraps Text at PageWidth and indents each line by Indent spaces.
std::string wrap(std::string_view Text, std::size_t Indent) {
  std::string Out;
  std::string Line;
  auto Flush = [&] {
    if (!Line.empty())
      Out += std::string(Indent, ' ') + Line + "\n";
    Line.clear();
  };
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find(' '), Text.size());
    std::string_view Word = Text.substr(0, End);
    if (!Line.empty() && Indent + Line.size() + 1 + Word.size() > PageWidth)
      Flush();
    Line += (Line.empty() ? "" : " ") + std::string(Word);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  Flush();
  return Out;
}

std::string indent(std::string_view Text) {
  std::string Out;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    Out += "  " + std::string(Text.substr(0, End)) + "\n";
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Out;
}

std::string optionHelp(const CliOptionSpec &Option) {
  std::string Heading = "  ";
  if (Option.ShortName_ != 0)
    Heading += std::string("-") + Option.ShortName_ + ", ";
  Heading += "--" + std::string(Option.Name_);
  if (!Option.ArgumentName_.empty())
    Heading += " " + std::string(Option.ArgumentName_);
  return Heading + "\n" + wrap(Option.HelpText_, 6);
}

std::string qualifiedName(const CliCommand &Command) {
  return std::string(Command.Group_) + " " + std::string(Command.Name_);
}

std::string synopsisOf(const CliCommand &Command) {
  std::string Out = "sycamorectl [OPTION]... " + qualifiedName(Command);
  if (!Command.Operands_.empty())
    Out += " " + std::string(Command.Operands_);
  return Out;
}

/// Sections at the end of every help page.
std::string commonSections() {
  return "\nEXIT STATUS\n" + indent(ExitStatusText) + "\nENVIRONMENT\n" +
         indent(EnvironmentText) + "\nFILES\n" + indent(FilesText);
}

std::string
optionsSection(const std::vector<std::string_view> &CommandOptions) {
  std::string Out = "\nOPTIONS\n";
  for (const CliOptionSpec &Option : cliOptionSpecs())
    if (std::find(CommandOptions.begin(), CommandOptions.end(), Option.Name_) !=
        CommandOptions.end())
      Out += optionHelp(Option);
  for (const CliOptionSpec &Option : cliOptionSpecs())
    if (Option.Global_)
      Out += optionHelp(Option);
  return Out;
}

std::string examplesSection(const std::vector<CliExample> &Examples) {
  std::string Out = "\nEXAMPLES\n";
  for (const CliExample &Example : Examples)
    Out += "  " + std::string(Example.Command_) + "\n" +
           wrap(Example.Explanation_, 6);
  return Out;
}

std::string commandHelp(const CliCommand &Command) {
  return "NAME\n  sycamorectl " + qualifiedName(Command) + " - " +
         std::string(Command.Summary_) + "\n\nSYNOPSIS\n  " +
         synopsisOf(Command) + "\n\nDESCRIPTION\n" +
         wrap(Command.Description_, 2) + optionsSection(Command.Options_) +
         examplesSection(Command.Examples_) + commonSections();
}

/// Help for the whole command line, or for one group.
std::string overview(std::string_view Group) {
  std::string GroupArgument = Group.empty() ? "GROUP" : std::string(Group);
  std::string Out = "NAME\n  sycamorectl";
  Out += Group.empty() ? "" : " " + std::string(Group);
  Out += " - file, approve and withdraw change tickets of the mesh\n\n"
         "SYNOPSIS\n  sycamorectl [OPTION]... " +
         GroupArgument + " COMMAND [OPERAND]...\n\nCOMMANDS\n";
  std::size_t Width = 0;
  for (const CliCommand &Command : cliCommands())
    Width = std::max(Width, qualifiedName(Command).size() + 1 +
                                Command.Operands_.size());
  std::vector<CliExample> Examples;
  for (const CliCommand &Command : cliCommands()) {
    if (!Group.empty() && Command.Group_ != Group)
      continue;
    std::string Text =
        qualifiedName(Command) + " " + std::string(Command.Operands_);
    Text.resize(Width, ' ');
    Out += "  " + Text + "  " + std::string(Command.Summary_) + "\n";
    if (!Group.empty() || Examples.empty())
      Examples.push_back(Command.Examples_.front());
  }
  Out += "\n  `sycamorectl GROUP COMMAND --help` describes one command.\n";
  return Out + optionsSection({}) + examplesSection(Examples) +
         commonSections();
}

} // namespace

std::string cliHelp(std::string_view Group, std::string_view Name) {
  bool GroupKnown = Group.empty();
  for (const CliCommand &Command : cliCommands()) {
    GroupKnown = GroupKnown || Command.Group_ == Group;
    if (Command.Group_ == Group && Command.Name_ == Name)
      return commandHelp(Command);
  }
  return GroupKnown && Name.empty() ? overview(Group) : "";
}

std::string bashCompletion() {
  std::set<std::string_view> Groups;
  std::string Cases;
  for (const CliCommand &Command : cliCommands())
    Groups.insert(Command.Group_);
  std::string GroupWords;
  for (std::string_view Group : Groups) {
    GroupWords += (GroupWords.empty() ? "" : " ") + std::string(Group);
    Cases += "  " + std::string(Group) + ") words=\"";
    std::string Names;
    for (const CliCommand &Command : cliCommands())
      if (Command.Group_ == Group)
        Names += (Names.empty() ? "" : " ") + std::string(Command.Name_);
    Cases += Names + "\" ;;\n";
  }
  std::string Options;
  for (const CliOptionSpec &Option : cliOptionSpecs())
    Options += (Options.empty() ? "--" : " --") + std::string(Option.Name_);
  return "# bash completion for sycamorectl\n"
         "_sycamorectl() {\n"
         "  local current=${COMP_WORDS[COMP_CWORD]} words='' plain=() word i\n"
         "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
         "    word=${COMP_WORDS[i]}\n"
         "    case $word in\n"
         "    -s | --settings | -t | --timeout | -n | --limit | -b | "
         "--before) ((i++)) ;;\n"
         "    -*) ;;\n"
         "    *) plain+=(\"$word\") ;;\n"
         "    esac\n"
         "  done\n"
         "  if [[ $current == -* ]]; then\n"
         "    words=\"" +
         Options +
         "\"\n"
         "  elif [[ ${#plain[@]} -eq 0 ]]; then\n"
         "    words=\"" +
         GroupWords +
         "\"\n"
         "  elif [[ ${#plain[@]} -eq 1 ]]; then\n"
         "    case ${plain[0]} in\n" +
         Cases +
         "    esac\n"
         "  fi\n"
         "  if [[ -n $words ]]; then\n"
         "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  else\n"
         "    COMPREPLY=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -F _sycamorectl sycamorectl\n";
}

} // namespace sycamore
