// Loads and checks the certificates and key of a TLS connection to a collector, and loads them again when files change.
#ifndef CROFTRUN_FLOW_TLS_KEYS_H_
#define CROFTRUN_FLOW_TLS_KEYS_H_

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "flow/tls_files.h"

namespace croftrun::flow {

class TlsKeys {
 public:
  explicit TlsKeys(TlsFiles files) : files_(std::move(files)) {}

  // True if a file differs in time, size or inode from the one last read, or if no files have been loaded yet.
  bool HasChanged() const;
  // Loads the files. Returns false if one is at fault: `*error` names it and the reason, and the previous context, if
  // any, stays in use.
  bool Load(std::string* error);
  const std::shared_ptr<boost::asio::ssl::context>& context() const { return context_; }
  // Expiry of the exporter's own certificate, Unix seconds; nothing without one.
  std::optional<std::int64_t> certificate_expiry() const { return certificate_expiry_; }

  // To be called on each new connection. Sets the name that TLS requests (SNI) and that the collector's certificate has
  // to match (RFC 6125), besides being signed by a configured authority. `address` is used if no name is set.
  void SetExpectedPeer(SSL* connection, const std::string& address) const;
  // Describes why a handshake failed, with the fault of the certificate if that is the reason.
  static std::string DescribeFailure(SSL* connection, const boost::system::error_code& error);
  // Expiry of the collector's certificate, Unix seconds.
  static std::optional<std::int64_t> PeerCertificateExpiry(SSL* connection);

 private:
  std::string FileVersions() const;

  TlsFiles files_;
  std::string loaded_versions_;
  std::shared_ptr<boost::asio::ssl::context> context_;
  std::optional<std::int64_t> certificate_expiry_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_TLS_KEYS_H_
