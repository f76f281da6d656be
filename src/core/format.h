// Formatted output to strings, for reports and charts.
#ifndef CROFTRUN_CORE_FORMAT_H_
#define CROFTRUN_CORE_FORMAT_H_

#include <string>

namespace croftrun::core {

// Appends text in printf format to `*out`, whatever its length.
void AppendFormat(std::string* out, const char* format, ...) __attribute__((format(printf, 2, 3)));

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_FORMAT_H_
