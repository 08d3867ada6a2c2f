// Credentials of tenants, and the JSON form of tenants.
#include "sycamore/Tenant.h"

#include <algorithm>
#include <array>
#include <sodium.h>

namespace sycamore {
namespace {

constexpr std::size_t DigestBytes = crypto_generichash_BYTES;
constexpr std::uint64_t MaxPriority = 1000;

bool isDigest(const Json &Value) {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  return Text.size() == 2 * DigestBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Each) {
           return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'f');
         });
}

} // namespace

std::string credentialDigest(std::string_view Credential) {
  std::array<unsigned char, DigestBytes> Digest{};
  crypto_generichash(Digest.data(), Digest.size(),
                     reinterpret_cast<const unsigned char *>(Credential.data()),
                     Credential.size(), nullptr, 0);
  std::string Out(2 * DigestBytes + 1, '\0');
  sodium_bin2hex(Out.data(), Out.size(), Digest.data(), Digest.size());
  Out.pop_back();
  return Out;
}

Json toJson(const Tenant &Value) {
  Json Out = {{"key_digests", Value.KeyDigests_}};
  if (Value.Priority_)
    Out["priority"] = *Value.Priority_;
  if (Value.RequestsPerSecond_ > 0)
    Out["requests_per_s"] = Value.RequestsPerSecond_;
  if (Value.Burst_ > 0)
    Out["burst"] = Value.Burst_;
  return Out;
}

Tenant readTenant(const Json &Value, const std::string &Path,
                  std::vector<std::string> &Problems) {
  Tenant Out;
  // The messages leave out the values: an operator may have written a
  // credential where its digest belongs.
  if (!Value.is_object()) {
    Problems.push_back(Path + ": is not an object");
    return Out;
  }
  ObjectReader Reader(Value, Path, Problems);
  if (const Json *Digests = Reader.find("key_digests")) {
    if (Digests->is_array() &&
        std::all_of(Digests->begin(), Digests->end(), isDigest))
      Reader.readStrings("key_digests", Out.KeyDigests_);
    else
      Problems.push_back(Reader.pathOf("key_digests") +
                         ": is not an array of strings of 64 lower-case hex "
                         "digits");
  }
  if (Reader.find("priority")) {
    std::uint64_t Priority = 0;
    Reader.readUnsigned("priority", Priority, 0, MaxPriority);
    Out.Priority_ = static_cast<std::uint32_t>(Priority);
  }
  Reader.readUnsigned("requests_per_s", Out.RequestsPerSecond_, 0, MaxQuota);
  Reader.readUnsigned("burst", Out.Burst_, 0, MaxQuota);
  Reader.reportUnknownFields();
  return Out;
}

} // namespace sycamore
