// Signal handling on an io_context.
#ifndef CROFTRUN_EDGE_SIGNALS_H_
#define CROFTRUN_EDGE_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <initializer_list>
#include <utility>

namespace croftrun::edge {

// Calls `on_signal` from the context's loop each time one of these signals arrives, until this object is destroyed. The
// pending wait refers to this object, so it can be neither copied nor moved.
class Signals {
 public:
  Signals(boost::asio::io_context& context, std::initializer_list<int> numbers, std::function<void()> on_signal)
      : set_(context), on_signal_(std::move(on_signal)) {
    for (const int number : numbers) set_.add(number);
    Wait();
  }
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  void Wait() {
    set_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      Wait();
      on_signal_();
    });
  }

  boost::asio::signal_set set_;
  std::function<void()> on_signal_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_SIGNALS_H_
