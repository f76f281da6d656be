// Parses the settings text of the bench protocol, one path=value per line, into croftrun::Settings.
#ifndef CROFTRUN_WIRE_SETTINGS_PARSER_H_
#define CROFTRUN_WIRE_SETTINGS_PARSER_H_

#include <stdexcept>
#include <string_view>

#include "croftrun/call_controller.h"

namespace croftrun::wire {

// A known key has a value that cannot be parsed; the message contains both.
class InvalidSetting : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the settings. Unknown keys are ignored; absent keys keep the neutral defaults of Settings. Throws
// InvalidSetting.
Settings ParseSettings(std::string_view text);

}  // namespace croftrun::wire

#endif  // CROFTRUN_WIRE_SETTINGS_PARSER_H_
