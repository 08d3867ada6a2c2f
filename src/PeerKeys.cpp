// Loads the CURVE keys that the settings name.
#include "PeerKeys.h"

namespace sycamore {
namespace {

Result<AllowedKeys> loadAllowedKeys(const std::string &Path) {
  auto Document = parseJsonFile(Path);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  std::vector<std::string> Problems;
  ObjectReader Reader(*Document, "", Problems);
  AllowedKeys Out;
  if (Document->is_object())
    for (const auto &[Name, Value] : Document->items()) {
      std::string Key;
      Reader.readString(Name, Key);
      constexpr std::size_t KeyLength = 40;
      if (Key.size() != KeyLength)
        Reader.reportProblem(Name, "is not a Z85 key of 40 characters");
      Out[Key] = Name;
    }
  if (auto Failure =
          problemsToError(ErrorKind::InvalidSettings, Path, Problems,
                          "write an object from server names to public keys"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

} // namespace

Result<PeerKeys> loadPeerKeys(const Settings &Config) {
  PeerKeys Out;
  if (!Config.Curve_)
    return Out;
  auto Secret = readKeyFile(Config.Curve_->SecretKeyFile_);
  if (!Secret)
    return tl::unexpected<Error>(Secret.error());
  auto Public = curvePublicKey(*Secret);
  if (!Public)
    return tl::unexpected<Error>(Public.error());
  auto Allowed = loadAllowedKeys(Config.Curve_->AllowedKeysFile_);
  if (!Allowed)
    return tl::unexpected<Error>(Allowed.error());
  Out.Own_ = {*Public, *Secret};
  Out.Allowed_ = std::move(*Allowed);
  return Out;
}

} // namespace sycamore
