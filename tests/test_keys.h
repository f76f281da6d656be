// Generates certificates for tests: an authority, and leaf certificates with a given name or address and validity
// period.
#ifndef CROFTRUN_TESTS_TEST_KEYS_H_
#define CROFTRUN_TESTS_TEST_KEYS_H_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

namespace croftrun::testing_keys {

// A certificate authority with a self-signed certificate.
class Authority {
 public:
  // Files are written to `folder`, which must exist.
  Authority(std::string folder, const std::string& name)
      : folder_(std::move(folder)), key_(EVP_EC_gen("P-256"), EVP_PKEY_free), certificate_(nullptr, X509_free) {
    certificate_ = Sign(name, key_.get(), 0, 3600, "", true);
    file_ = folder_ + "/" + name + ".pem";
    Write(file_, certificate_.get());
  }
  const std::string& file() const { return file_; }

  // Issues a leaf certificate with a new key. `alternative` is a subject alternative name, "IP:127.0.0.1" or
  // "DNS:name". `from_s` and `until_s` are the validity period in seconds from now.
  void IssueLeaf(const std::string& name, const std::string& alternative, long from_s, long until_s) {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const auto leaf = Sign(name, key.get(), from_s, until_s, alternative, false);
    // Renamed into place, as the files may be read while they are replaced.
    Write(Certificate(name) + ".new", leaf.get());
    std::FILE* out = std::fopen((Key(name) + ".new").c_str(), "w");
    PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
    std::filesystem::rename(Key(name) + ".new", Key(name));
    std::filesystem::rename(Certificate(name) + ".new", Certificate(name));
  }
  std::string Certificate(const std::string& name) const { return folder_ + "/" + name + ".crt"; }
  std::string Key(const std::string& name) const { return folder_ + "/" + name + ".key"; }

 private:
  using X509Ptr = std::unique_ptr<X509, decltype(&X509_free)>;

  static void Write(const std::string& path, X509* certificate) {
    std::FILE* out = std::fopen(path.c_str(), "w");
    PEM_write_X509(out, certificate);
    std::fclose(out);
  }

  X509Ptr Sign(const std::string& name, EVP_PKEY* key, long from_s, long until_s, const std::string& alternative,
               bool authority) {
    X509Ptr certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), from_s);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), until_s);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), authority ? X509_get_subject_name(certificate.get())
                                                      : X509_get_subject_name(certificate_.get()));
    AddExtension(certificate.get(), NID_basic_constraints, authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!alternative.empty()) AddExtension(certificate.get(), NID_subject_alt_name, alternative);
    X509_sign(certificate.get(), key_.get(), EVP_sha256());
    return certificate;
  }
  static void AddExtension(X509* certificate, int nid, const std::string& value) {
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  std::string folder_, file_;
  std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key_;
  X509Ptr certificate_;
  long serial_ = 0;
};

}  // namespace croftrun::testing_keys

#endif  // CROFTRUN_TESTS_TEST_KEYS_H_
