// What a TLS connection to a collector is set up from.
#ifndef CROFTRUN_FLOW_TLS_FILES_H_
#define CROFTRUN_FLOW_TLS_FILES_H_

#include <string>

namespace croftrun::flow {

// Files in PEM. Without certificate and key none is shown to the collector.
struct TlsFiles {
  std::string authorities, certificate, key;
  std::string name;  // that the collector's certificate must be for; its address if empty
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_TLS_FILES_H_
