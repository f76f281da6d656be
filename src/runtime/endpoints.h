// Conversion between core::Address and Asio endpoints; IPv4 only, as core::Address.
#ifndef CROFTRUN_RUNTIME_ENDPOINTS_H_
#define CROFTRUN_RUNTIME_ENDPOINTS_H_

#include <boost/asio/ip/address_v4.hpp>

#include "core/runtime.h"

namespace croftrun::runtime {

// `Protocol`: boost::asio::ip::tcp or udp.
template <typename Protocol>
typename Protocol::endpoint EndpointOf(const core::Address& address) {
  return {boost::asio::ip::address_v4(address.host), address.port};
}

template <typename Endpoint>
core::Address AddressOf(const Endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

}  // namespace croftrun::runtime

#endif  // CROFTRUN_RUNTIME_ENDPOINTS_H_
