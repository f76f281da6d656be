// The laboratory's numbering: one digit for the class, one for the customer, three for the exchange, four for the
// line. The edges learn it as a plan in their settings; the stand-ins read it directly.
#ifndef CROFTRUN_LAB_NUMBERING_H_
#define CROFTRUN_LAB_NUMBERING_H_

#include <string>
#include <string_view>

#include "core/runtime.h"

namespace croftrun::lab {

inline constexpr int kMostExchanges = 1000;

std::string NumberPrefix(int call_class, int customer, int exchange);
std::string NumberOf(int call_class, int customer, int exchange, int line);
// -1 where the digits are no number of this plan.
int ExchangeOf(std::string_view digits);
// A session description as gateways give it (RFC 4566), for carrying through.
std::string SessionFor(const core::Address& address, std::string_view connection);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_NUMBERING_H_
