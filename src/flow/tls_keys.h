// Certificates and keys of a TLS connection to a collector: read, checked, and read again when their files change.
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

  // The files are others than those last read (time, size or inode).
  bool Changed() const;
  // Reads them. False: `*error` says which file and why, and the context before, if there was one, stays in force.
  bool Load(std::string* error);
  const std::shared_ptr<boost::asio::ssl::context>& context() const { return context_; }
  // When our own certificate ends, Unix seconds; nothing without one.
  std::optional<std::int64_t> ends() const { return ends_; }

  // To be called on each new connection: TLS asks for this name and accepts no certificate for another (RFC 6125), nor
  // one that no authority of ours signed. `address` stands in for a name where none is set.
  void Expect(SSL* connection, const std::string& address) const;
  // Why a handshake failed, in words: of the certificate, if that was it.
  static std::string Why(SSL* connection, const boost::system::error_code& error);
  // When the other side's certificate ends, Unix seconds.
  static std::optional<std::int64_t> EndOfPeer(SSL* connection);

 private:
  std::string Stamp() const;

  TlsFiles files_;
  std::string stamp_;
  std::shared_ptr<boost::asio::ssl::context> context_;
  std::optional<std::int64_t> ends_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_TLS_KEYS_H_
