// Hosts controller instances behind the wire: translation only, no decision.
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

class Host {
 public:
  // The reply to one batch; throws MalformedFrame.
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
