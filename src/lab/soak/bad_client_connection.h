// A connection of a client that misbehaves in a soak trial, shared by the parts of the client stand-in.
#ifndef CROFTRUN_LAB_SOAK_BAD_CLIENT_CONNECTION_H_
#define CROFTRUN_LAB_SOAK_BAD_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include "lab/soak/client_stand_in.h"

namespace croftrun::lab::soak {

struct ClientStandIn::BadClientConnection {
  int number = 0;  // in the event log
  std::unique_ptr<LineClient> client;
  std::unique_ptr<core::Timer> timer;
  std::function<void()> on_written;  // called when all that was written has been handed to the kernel; may be empty
  std::string flood_chunk;           // the requests of a flood that were written last
  bool served = false, closed = false;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_BAD_CLIENT_CONNECTION_H_
