// Records given to a connection that the other machine has not acknowledged: what a break of it leaves unsure. No I/O.
//
// IPFIX has no acknowledgement of its own (RFC 7011 8); the number of octets that TCP still holds is the next best
// thing.
#ifndef CROFTRUN_FLOW_IN_FLIGHT_H_
#define CROFTRUN_FLOW_IN_FLIGHT_H_

#include <deque>
#include <utility>
#include <vector>

#include "flow/record.h"

namespace croftrun::flow {

class InFlight {
 public:
  // A message that went whole, with the records in it. Its octets: of the message; over TLS more go out, which only
  // makes this more careful.
  void Sent(std::size_t octets, std::vector<FlowRecord> records) {
    octets_ += octets;
    messages_.push_back({octets, std::move(records)});
  }
  // So many octets at the end of the stream are not acknowledged: what is before them is.
  void Unacknowledged(std::size_t octets) {
    while (!messages_.empty() && octets_ - messages_.front().octets >= octets) {
      octets_ -= messages_.front().octets;
      messages_.pop_front();
    }
  }
  // After a break: the records that are unsure, in order.
  std::vector<FlowRecord> Take() {
    std::vector<FlowRecord> unsure;
    for (const Message& message : messages_)
      unsure.insert(unsure.end(), message.records.begin(), message.records.end());
    Clear();
    return unsure;
  }
  // The other side has read to the end.
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
  std::size_t octets_ = 0;  // of all of them
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_IN_FLIGHT_H_
