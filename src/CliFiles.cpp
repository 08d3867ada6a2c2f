// Commands that use local files only.
#include "CliOutput.h"

#include "sycamore/Signing.h"
#include "sycamore/Tenant.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>
#include <zmq.h>

namespace sycamore {
namespace {

tl::unexpected<Error> writeError(const std::string &Path, int Code) {
  return fail(ErrorKind::InvalidArgument,
              Path + ": cannot be written: " + std::strerror(Code),
              Code == EEXIST ? "keys are never overwritten; name another file"
                             : "check the directory and its permissions");
}

/// Creates a file of mode 0600; fails when the path already exists.
Result<bool> createPrivateFile(const std::string &Path,
                               const std::string &Text) {
  int File = open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                  S_IRUSR | S_IWUSR);
  if (File < 0)
    return writeError(Path, errno);
  std::string Line = Text + "\n";
  ssize_t Written = write(File, Line.data(), Line.size());
  int Code = Written == static_cast<ssize_t>(Line.size()) ? fsync(File) : -1;
  int Failure = Code == 0 ? 0 : errno;
  close(File);
  if (Failure == 0)
    return true;
  unlink(Path.c_str());
  return writeError(Path, Failure);
}

Result<SigningKeyPair> makeCurveKeyPair() {
  constexpr std::size_t KeyBytes = 41; // 40 characters and a NUL byte.
  std::array<char, KeyBytes> Public{};
  std::array<char, KeyBytes> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return fail(ErrorKind::Internal,
                "the ZeroMQ library was built without CURVE",
                "install a ZeroMQ library with CURVE");
  return SigningKeyPair{Public.data(), Secret.data()};
}

} // namespace

ExitCode runSettingsCheck(const CliRun &Run) {
  const std::string &Path = Run.Operands_[0];
  std::optional<Error> Failure;
  if (Run.Options_.Operator_) {
    if (auto Loaded = loadOperatorSettings(Path); !Loaded)
      Failure = Loaded.error();
  } else if (auto Loaded = loadSettings(Path); !Loaded) {
    Failure = Loaded.error();
  }
  if (Failure)
    return reportError(Run, *Failure, ExitCode::BadInput);
  if (Run.Options_.Json_)
    printJson(Run, {{"valid", true}, {"file", Path}});
  else
    Run.Environment_.Out_ << Path << ": valid settings of "
                          << (Run.Options_.Operator_ ? "an operator"
                                                     : "a daemon")
                          << '\n';
  return ExitCode::Success;
}

ExitCode runKeyMake(const CliRun &Run) {
  if (Run.Options_.Signing_ == Run.Options_.Curve_)
    return reportError(Run, {ErrorKind::InvalidArgument,
                             "the type of key is missing or ambiguous",
                             "give either --signing or --curve"});
  const std::string &SecretPath = Run.Operands_[0];
  std::string PublicPath = SecretPath + ".pub";
  auto Pair = Run.Options_.Signing_
                  ? Result<SigningKeyPair>(generateSigningKeyPair())
                  : makeCurveKeyPair();
  if (!Pair)
    return reportError(Run, Pair.error());
  if (auto Created = createPrivateFile(SecretPath, Pair->SecretKey_); !Created)
    return reportError(Run, Created.error());
  if (auto Created = createPrivateFile(PublicPath, Pair->PublicKey_);
      !Created) {
    unlink(SecretPath.c_str());
    return reportError(Run, Created.error());
  }
  if (Run.Options_.Json_)
    printJson(Run, {{"secret_key_file", SecretPath},
                    {"public_key_file", PublicPath},
                    {"public_key", Pair->PublicKey_}});
  else
    Run.Environment_.Out_ << "secret key: " << SecretPath
                          << "\npublic key: " << PublicPath << "\n"
                          << Pair->PublicKey_ << '\n';
  return ExitCode::Success;
}

ExitCode runKeyDigest(const CliRun &Run) {
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.ends_with('\r'))
    Key.pop_back();
  if (Key.empty())
    return reportError(Run, {ErrorKind::InvalidArgument,
                             "the first line of standard input is empty",
                             "give the credential on standard input"});
  std::string Digest = credentialDigest(Key);
  if (Run.Options_.Json_)
    printJson(Run, {{"digest", Digest}});
  else
    Run.Environment_.Out_ << Digest << '\n';
  return ExitCode::Success;
}

ExitCode runCompletion(const CliRun &Run) {
  Run.Environment_.Out_ << bashCompletion();
  return ExitCode::Success;
}

} // namespace sycamore
