// Number plan of the emulated network: one digit for the class, one for the customer, three for the exchange and four
// for the line. The edges receive it as a plan in their settings; the emulator parses numbers directly.
#ifndef CROFTRUN_LAB_NUMBERING_H_
#define CROFTRUN_LAB_NUMBERING_H_

#include <string>
#include <string_view>

#include "core/runtime.h"

namespace croftrun::lab {

inline constexpr int kMaxExchanges = 1000;

// The first five digits: class, customer and exchange.
std::string NumberPrefix(int call_class, int customer, int exchange);
// The full number of a line.
std::string LineNumber(int call_class, int customer, int exchange, int line);
// The exchange of a number; -1 if the digits do not have the length of a number in this plan or no exchange digits.
int ExchangeOf(std::string_view digits);
// A session description (RFC 4566) as a gateway returns it. The call agent passes it on unchanged.
std::string SessionDescription(const core::Address& address, std::string_view connection);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_NUMBERING_H_
