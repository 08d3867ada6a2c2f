// A certificate authority and certificates for tests, made at run time.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <string>

namespace sycamore {

/// Writes PEM files into a temporary directory and removes it at the end.
class TestCertificates {
public:
  TestCertificates() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "sycamore-XXXXXX").string();
    Folder_ = mkdtemp(Pattern.data());
    CaKey_.reset(EVP_EC_gen("P-256"));
    Ca_ = make("test authority", CaKey_.get(), true);
    write(ca(), [&](FILE *File) { PEM_write_X509(File, Ca_.get()); });
  }
  TestCertificates(const TestCertificates &) = delete;
  TestCertificates &operator=(const TestCertificates &) = delete;
  ~TestCertificates() { std::filesystem::remove_all(Folder_); }

  std::string ca() const { return Folder_ + "/ca.pem"; }
  std::string certificate(const std::string &File) const {
    return Folder_ + "/" + File + ".pem";
  }
  std::string key(const std::string &File) const {
    return Folder_ + "/" + File + ".key";
  }

  /// Issues a certificate for 127.0.0.1 and replaces existing files.
  void issue(const std::string &File, const std::string &CommonName) {
    KeyPointer Key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    CertificatePointer Issued = make(CommonName, Key.get(), false);
    write(certificate(File),
          [&](FILE *Out) { PEM_write_X509(Out, Issued.get()); });
    write(key(File), [&](FILE *Out) {
      PEM_write_PrivateKey(Out, Key.get(), nullptr, nullptr, 0, nullptr,
                           nullptr);
    });
  }

private:
  using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
  using CertificatePointer = std::unique_ptr<X509, decltype(&X509_free)>;

  static void addExtension(X509 *To, int Kind, const char *Value) {
    X509_EXTENSION *Extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, Kind, Value);
    X509_add_ext(To, Extension, -1);
    X509_EXTENSION_free(Extension);
  }

  CertificatePointer make(const std::string &CommonName, EVP_PKEY *Key,
                          bool Authority) {
    CertificatePointer Out(X509_new(), X509_free);
    X509_set_version(Out.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(Out.get()), ++Serial_);
    X509_gmtime_adj(X509_getm_notBefore(Out.get()), -60);
    X509_gmtime_adj(X509_getm_notAfter(Out.get()), 3600);
    X509_set_pubkey(Out.get(), Key);
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(Out.get()), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>(CommonName.c_str()), -1, -1, 0);
    X509_set_issuer_name(
        Out.get(), X509_get_subject_name(Authority ? Out.get() : Ca_.get()));
    addExtension(Out.get(), NID_basic_constraints,
                 Authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!Authority)
      addExtension(Out.get(), NID_subject_alt_name, "IP:127.0.0.1");
    X509_sign(Out.get(), CaKey_.get(), EVP_sha256());
    return Out;
  }

  template <typename Writer>
  static void write(const std::string &Path, Writer Write) {
    FILE *File = std::fopen(Path.c_str(), "we");
    Write(File);
    std::fclose(File);
  }

  std::string Folder_;
  long Serial_ = 0;
  KeyPointer CaKey_{nullptr, EVP_PKEY_free};
  CertificatePointer Ca_{nullptr, X509_free};
};

} // namespace sycamore
