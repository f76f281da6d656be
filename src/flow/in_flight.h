// Records sent on a connection and not yet acknowledged by the collector's host. If the connection breaks, it is
// unknown whether the collector received them. No I/O.
//
// IPFIX has no acknowledgement of its own (RFC 7011 8), so the number of octets in the TCP send queue is used instead.
#ifndef CROFTRUN_FLOW_IN_FLIGHT_H_
#define CROFTRUN_FLOW_IN_FLIGHT_H_

#include <deque>
#include <utility>
#include <vector>

#include "flow/record.h"

namespace croftrun::flow {

class InFlight {
 public:
  // Adds a message that was written whole, with its records. `octets` is the length of the message. TLS sends more
  // octets than that, so a message is then regarded as acknowledged later, never too early.
  void AddSent(std::size_t octets, std::vector<FlowRecord> records) {
    octets_ += octets;
    messages_.push_back({octets, std::move(records)});
  }
  // Sets how many octets at the end of the stream are not acknowledged. Messages that lie wholly before them are.
  void SetUnacknowledged(std::size_t octets) {
    while (!messages_.empty() && octets_ - messages_.front().octets >= octets) {
      octets_ -= messages_.front().octets;
      messages_.pop_front();
    }
  }
  // Removes and returns the unacknowledged records, in order; called after the connection broke.
  std::vector<FlowRecord> TakeUnacknowledged() {
    std::vector<FlowRecord> unacknowledged;
    for (const Message& message : messages_)
      unacknowledged.insert(unacknowledged.end(), message.records.begin(), message.records.end());
    Clear();
    return unacknowledged;
  }
  // The collector has read everything that was sent.
  void Clear() {
    messages_.clear();
    octets_ = 0;
  }
  std::size_t messages() const { return messages_.size(); }

 private:
  struct Message {
    std::size_t octets = 0;
    std::vector<FlowRecord> records;
  };
  std::deque<Message> messages_;
  std::size_t octets_ = 0;  // of all messages
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_IN_FLIGHT_H_
