#include "wire/host.h"

#include <exception>
#include <variant>

#include "wire/settings_parser.h"

namespace croftrun::wire {

std::string Host::Answer(const BatchHeader& header, std::string_view records) {
  BatchReader reader(records, header.record_count, &lists_);
  Record record;
  while (reader.Next(&record)) {
    try {
      Apply(header.clock_us, &record);
    } catch (const std::exception& error) {
      reply_.AddBailOut(record.instance, error.what());
    }
  }
  return reply_.Finish(header.number);
}

void Host::Apply(TimeUs now, Record* record) {
  actions_.clear();
  if (const auto* provision = std::get_if<Provision>(&record->body)) {
    instances_.erase(record->instance);
    instances_.emplace(record->instance,
                       CallController(ParseSettings(provision->settings), provision->seed, now, &actions_));
  } else if (std::holds_alternative<Detach>(record->body)) {
    instances_.erase(record->instance);
  } else if (const auto* event = std::get_if<Event>(&record->body)) {
    const auto instance = instances_.find(record->instance);
    if (instance != instances_.end()) instance->second.Handle(now, *event, &actions_);
  }
  for (const Action& action : actions_) reply_.Add(record->instance, action);
}

}  // namespace croftrun::wire
