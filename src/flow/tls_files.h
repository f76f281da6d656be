// The files that a TLS connection to a collector is configured with.
#ifndef CROFTRUN_FLOW_TLS_FILES_H_
#define CROFTRUN_FLOW_TLS_FILES_H_

#include <string>

namespace croftrun::flow {

// Paths of PEM files. Without certificate and key, the exporter presents no client certificate.
struct TlsFiles {
  std::string authorities, certificate, key;
  std::string name;  // expected in the collector's certificate; if empty, its address
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_TLS_FILES_H_
