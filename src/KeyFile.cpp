// Reads key and token files, checking their permission modes, and parses
// addresses.
#include "SettingsReader.h"
#include "TicketMutations.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sys/stat.h>

namespace sycamore {
namespace {

constexpr std::size_t MaxKeyFileBytes = 64U << 10U;
constexpr std::size_t Sha256Digits = 64;

bool isIpAddress(int Family, const std::string &Host) {
  in6_addr Parsed{};
  return inet_pton(Family, Host.c_str(), &Parsed) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (Code != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Port;
}

} // namespace

std::optional<Error> checkKeyFile(const std::string &Path) {
  struct stat Status {};
  if (stat(Path.c_str(), &Status) != 0)
    return Error{ErrorKind::NotFound, Path + ": key file cannot be found",
                 "check the path, or make a key with `sycamorectl key make`"};
  if (!S_ISREG(Status.st_mode))
    return Error{ErrorKind::PermissionDenied, Path + ": is not a regular file",
                 "name the key file itself"};
  if ((Status.st_mode & (S_IRWXG | S_IRWXO)) != 0 &&
      !mutationEnabled("settings-skip-key-mode"))
    return Error{ErrorKind::PermissionDenied,
                 Path + ": key file is open to group or others",
                 "run `chmod 600 " + Path + "`"};
  return std::nullopt;
}

std::optional<Error> checkKeyFiles(const std::vector<std::string> &Paths) {
  std::vector<Error> Errors;
  for (const std::string &Path : Paths)
    if (auto Failure = checkKeyFile(Path))
      Errors.push_back(std::move(*Failure));
  if (Errors.empty())
    return std::nullopt;
  // Each line but the last includes its own remedy, as the remedies may differ.
  Error Out = Errors.back();
  for (std::size_t I = Errors.size() - 1; I-- > 0;) {
    Out.Message_ = describe(Errors[I]) + "\n" + Out.Message_;
    if (Errors[I].Kind_ == ErrorKind::PermissionDenied)
      Out.Kind_ = ErrorKind::PermissionDenied;
  }
  return Out;
}

Result<std::string> readKeyFile(const std::string &Path) {
  if (auto Failure = checkKeyFile(Path))
    return tl::unexpected<Error>(*Failure);
  std::ifstream File(Path, std::ios::binary);
  std::string Text(MaxKeyFileBytes + 1, '\0');
  if (!File)
    return fail(ErrorKind::PermissionDenied, Path + ": cannot be opened",
                "run as the owner of the file");
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(File.gcount()));
  if (Text.size() > MaxKeyFileBytes)
    return fail(ErrorKind::TooLarge,
                Path + ": over " + std::to_string(MaxKeyFileBytes) + " bytes",
                "name a key file");
  Text.erase(Text.find_last_not_of(" \t\r\n") + 1);
  return Text;
}

Result<std::map<std::string, std::string>>
loadAdminTokens(const std::string &Path) {
  auto Text = readKeyFile(Path);
  if (!Text)
    return tl::unexpected<Error>(Text.error());
  auto Document = parseJson(*Text, Path);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  std::vector<std::string> Problems;
  std::map<std::string, std::string> Out;
  if (!Document->is_object())
    Problems.emplace_back("is not an object from operator names to SHA-256");
  else
    for (const auto &[Name, Value] : Document->items()) {
      const auto *Digest = Value.get_ptr<const std::string *>();
      bool Valid =
          Digest && Digest->size() == Sha256Digits &&
          Digest->find_first_not_of("0123456789abcdef") == std::string::npos;
      if (Valid)
        Out[Name] = *Digest;
      else
        Problems.push_back(Name + ": is not 64 lower-case hex digits");
    }
  if (auto Failure = problemsToError(ErrorKind::InvalidSettings, Path, Problems,
                                     "write `sha256sum` of each token"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

Result<SocketAddress> parseSocketAddress(std::string_view Text) {
  SocketAddress Out;
  std::size_t Colon = Text.rfind(':');
  bool Valid = Colon != std::string_view::npos;
  if (Valid) {
    Out.Host_ = Text.substr(0, Colon);
    auto Port = parsePort(Text.substr(Colon + 1));
    bool Bracketed = Out.Host_.starts_with('[') && Out.Host_.ends_with(']');
    if (Bracketed)
      Out.Host_ = Out.Host_.substr(1, Out.Host_.size() - 2);
    Valid = Port && isIpAddress(Bracketed ? AF_INET6 : AF_INET, Out.Host_);
    Out.Port_ = Port.value_or(0);
  }
  if (!Valid)
    return fail(ErrorKind::InvalidArgument,
                "\"" + std::string(Text) + "\" is not an address",
                "write \"IPV4:PORT\" or \"[IPV6]:PORT\"");
  return Out;
}

Result<SocketAddress> parseRemoteAddress(std::string_view Text) {
  auto Out = parseSocketAddress(Text);
  if (Out && Out->Port_ == 0)
    return fail(ErrorKind::InvalidArgument,
                "\"" + std::string(Text) + "\" has no port to connect to",
                "write a port from 1 to 65535");
  return Out;
}

} // namespace sycamore
