// Text by a format of printf, appended to a string: for reports and pictures.
#ifndef CROFTRUN_CORE_FORMAT_H_
#define CROFTRUN_CORE_FORMAT_H_

#include <string>

namespace croftrun::core {

// Whole, however long it gets.
void Print(std::string* out, const char* format, ...) __attribute__((format(printf, 2, 3)));

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_FORMAT_H_
