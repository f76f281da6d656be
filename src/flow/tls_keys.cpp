#include "flow/tls_keys.h"

#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <ctime>

namespace croftrun::flow {
namespace {

namespace ssl = boost::asio::ssl;

std::int64_t EndOf(const X509* certificate) {
  std::tm time{};
  if (ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &time) != 1) return 0;
  return static_cast<std::int64_t>(::timegm(&time));
}

}  // namespace

std::string TlsKeys::Stamp() const {
  std::string stamp;
  for (const std::string* file : {&files_.authorities, &files_.certificate, &files_.key}) {
    struct stat s {};
    if (!file->empty() && ::stat(file->c_str(), &s) == 0)
      stamp += std::to_string(s.st_ino) + ":" + std::to_string(s.st_size) + ":" + std::to_string(s.st_mtim.tv_sec) +
               "." + std::to_string(s.st_mtim.tv_nsec);
    stamp += "|";
  }
  return stamp;
}

bool TlsKeys::Changed() const { return context_ == nullptr || Stamp() != stamp_; }

bool TlsKeys::Load(std::string* error) {
  // Of now, whatever comes of it: files at fault are not read again until they change.
  stamp_ = Stamp();
  auto fresh = std::make_shared<ssl::context>(ssl::context::tls_client);
  boost::system::error_code code;
  const auto fine = [&](const char* what, const std::string& file) {
    if (!code) return true;
    *error = std::string(what) + " " + file + ": " + code.message();
    return false;
  };
  fresh->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                         ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                     code);
  if (!fine("options", "")) return false;
  fresh->load_verify_file(files_.authorities, code);
  if (!fine("authorities", files_.authorities)) return false;
  fresh->set_verify_mode(ssl::verify_peer, code);
  std::optional<std::int64_t> ends;
  if (!files_.certificate.empty()) {
    fresh->use_certificate_chain_file(files_.certificate, code);
    if (!fine("certificate", files_.certificate)) return false;
    fresh->use_private_key_file(files_.key, ssl::context::pem, code);
    if (!fine("key", files_.key)) return false;
    if (SSL_CTX_check_private_key(fresh->native_handle()) != 1) {
      *error = "key " + files_.key + ": is not that of certificate " + files_.certificate;
      return false;
    }
    ends = EndOf(SSL_CTX_get0_certificate(fresh->native_handle()));
  }
  context_ = std::move(fresh);
  ends_ = ends;
  return true;
}

void TlsKeys::Expect(SSL* connection, const std::string& address) const {
  const std::string& name = files_.name.empty() ? address : files_.name;
  X509_VERIFY_PARAM* parameters = SSL_get0_param(connection);
  if (X509_VERIFY_PARAM_set1_ip_asc(parameters, name.c_str()) == 1) return;
  X509_VERIFY_PARAM_set_hostflags(parameters, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
  SSL_set1_host(connection, name.c_str());
  SSL_set_tlsext_host_name(connection, name.c_str());
}

std::string TlsKeys::Why(SSL* connection, const boost::system::error_code& error) {
  const long verdict = SSL_get_verify_result(connection);
  if (verdict == X509_V_OK) return "TLS: " + error.message();
  return std::string("TLS: the collector's certificate: ") + X509_verify_cert_error_string(verdict);
}

std::optional<std::int64_t> TlsKeys::EndOfPeer(SSL* connection) {
  const X509* certificate = SSL_get0_peer_certificate(connection);
  if (certificate == nullptr) return std::nullopt;
  return EndOf(certificate);
}

}  // namespace croftrun::flow
