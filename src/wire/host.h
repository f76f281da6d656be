// Hosts call controller instances for the bench protocol. It only translates; the controllers make the decisions.
#ifndef CROFTRUN_WIRE_HOST_H_
#define CROFTRUN_WIRE_HOST_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "croftrun/call_controller.h"
#include "wire/codec.h"

namespace croftrun::wire {

// All controller instances of one process.
class Host {
 public:
  // Processes one batch and returns its reply; throws MalformedFrame.
  std::string Answer(const BatchHeader& header, std::string_view records);

 private:
  void Apply(TimeUs now, Record* record);

  DirectoryLists lists_;
  std::map<std::uint32_t, CallController> instances_;
  ReplyWriter reply_;
  std::vector<Action> actions_;
};

}  // namespace croftrun::wire

#endif  // CROFTRUN_WIRE_HOST_H_
