#include "flow/tls_keys.h"

#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <ctime>

namespace croftrun::flow {
namespace {

namespace ssl = boost::asio::ssl;

std::int64_t ExpiryOf(const X509* certificate) {
  std::tm time{};
  if (ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &time) != 1) return 0;
  return static_cast<std::int64_t>(::timegm(&time));
}

}  // namespace

std::string TlsKeys::FileVersions() const {
  std::string versions;
  for (const std::string* file : {&files_.authorities, &files_.certificate, &files_.key}) {
    struct stat s {};
    if (!file->empty() && ::stat(file->c_str(), &s) == 0)
      versions += std::to_string(s.st_ino) + ":" + std::to_string(s.st_size) + ":" + std::to_string(s.st_mtim.tv_sec) +
                  "." + std::to_string(s.st_mtim.tv_nsec);
    versions += "|";
  }
  return versions;
}

bool TlsKeys::HasChanged() const { return context_ == nullptr || FileVersions() != loaded_versions_; }

bool TlsKeys::Load(std::string* error) {
  // Set before loading, so that files at fault are not read again until they change.
  loaded_versions_ = FileVersions();
  auto loaded = std::make_shared<ssl::context>(ssl::context::tls_client);
  boost::system::error_code code;
  const auto succeeded = [&](const char* what, const std::string& file) {
    if (!code) return true;
    *error = std::string(what) + " " + file + ": " + code.message();
    return false;
  };
  loaded->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                          ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                      code);
  if (!succeeded("options", "")) return false;
  loaded->load_verify_file(files_.authorities, code);
  if (!succeeded("authorities", files_.authorities)) return false;
  loaded->set_verify_mode(ssl::verify_peer, code);
  std::optional<std::int64_t> certificate_expiry;
  if (!files_.certificate.empty()) {
    loaded->use_certificate_chain_file(files_.certificate, code);
    if (!succeeded("certificate", files_.certificate)) return false;
    loaded->use_private_key_file(files_.key, ssl::context::pem, code);
    if (!succeeded("key", files_.key)) return false;
    if (SSL_CTX_check_private_key(loaded->native_handle()) != 1) {
      *error = "key " + files_.key + ": is not that of certificate " + files_.certificate;
      return false;
    }
    certificate_expiry = ExpiryOf(SSL_CTX_get0_certificate(loaded->native_handle()));
  }
  context_ = std::move(loaded);
  certificate_expiry_ = certificate_expiry;
  return true;
}

void TlsKeys::SetExpectedPeer(SSL* connection, const std::string& address) const {
  const std::string& name = files_.name.empty() ? address : files_.name;
  X509_VERIFY_PARAM* parameters = SSL_get0_param(connection);
  if (X509_VERIFY_PARAM_set1_ip_asc(parameters, name.c_str()) == 1) return;
  X509_VERIFY_PARAM_set_hostflags(parameters, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
  SSL_set1_host(connection, name.c_str());
  SSL_set_tlsext_host_name(connection, name.c_str());
}

std::string TlsKeys::DescribeFailure(SSL* connection, const boost::system::error_code& error) {
  const long verdict = SSL_get_verify_result(connection);
  if (verdict == X509_V_OK) return "TLS: " + error.message();
  return std::string("TLS: the collector's certificate: ") + X509_verify_cert_error_string(verdict);
}

std::optional<std::int64_t> TlsKeys::PeerCertificateExpiry(SSL* connection) {
  const X509* certificate = SSL_get0_peer_certificate(connection);
  if (certificate == nullptr) return std::nullopt;
  return ExpiryOf(certificate);
}

}  // namespace croftrun::flow
