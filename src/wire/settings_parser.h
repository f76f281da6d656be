// Translates the settings text of the wire, one path=value a line, into croftrun::Settings.
#ifndef CROFTRUN_WIRE_SETTINGS_PARSER_H_
#define CROFTRUN_WIRE_SETTINGS_PARSER_H_

#include <stdexcept>
#include <string_view>

#include "croftrun/call_controller.h"

namespace croftrun::wire {

// A known key whose value does not parse; the text names both.
class BadSetting : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Unknown keys are skipped; absent ones keep the neutral defaults of Settings.
Settings ParseSettings(std::string_view text);

}  // namespace croftrun::wire

#endif  // CROFTRUN_WIRE_SETTINGS_PARSER_H_
