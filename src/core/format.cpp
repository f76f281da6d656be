#include "core/format.h"

#include <cstdarg>
#include <cstdio>

namespace croftrun::core {

void AppendFormat(std::string* out, const char* format, ...) {
  va_list values, values_copy;
  va_start(values, format);
  va_copy(values_copy, values);
  const int length = std::vsnprintf(nullptr, 0, format, values);
  va_end(values);
  if (length > 0) {
    const std::size_t old_size = out->size(), added = static_cast<std::size_t>(length);
    out->resize(old_size + added + 1);
    std::vsnprintf(out->data() + old_size, added + 1, format, values_copy);
    out->resize(old_size + added);
  }
  va_end(values_copy);
}

}  // namespace croftrun::core
