#include "core/format.h"

#include <cstdarg>
#include <cstdio>

namespace croftrun::core {

void Print(std::string* out, const char* format, ...) {
  va_list values, again;
  va_start(values, format);
  va_copy(again, values);
  const int length = std::vsnprintf(nullptr, 0, format, values);
  va_end(values);
  if (length > 0) {
    const std::size_t had = out->size(), more = static_cast<std::size_t>(length);
    out->resize(had + more + 1);
    std::vsnprintf(out->data() + had, more + 1, format, again);
    out->resize(had + more);
  }
  va_end(again);
}

}  // namespace croftrun::core
