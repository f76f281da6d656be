// Example program of the README: routes one call to the exchange of its destination over the direct trunk group.
#include <iostream>
#include <variant>
#include <vector>

#include "croftrun/call_controller.h"

int main() {
  croftrun::Settings settings;
  settings.own_number = 0;
  settings.softswitch_count = 2;
  settings.max_attempts = 4;
  croftrun::CallClass call_class;
  call_class.target_delay_us = 1'500'000;
  call_class.deadline_us = 9'000'000;
  settings.classes = {call_class};
  settings.report_fields = {croftrun::ReportField::kFreeCircuits, croftrun::ReportField::kTotalCircuits};

  std::vector<croftrun::Action> actions;
  croftrun::CallController controller(settings, /*seed=*/1, /*now=*/0, &actions);

  croftrun::DirectoryUpdate directory;
  directory.entries.push_back({.exchange = 700, .number = 0});
  directory.entries.push_back({.exchange = 701, .number = 1});
  controller.Handle(0, directory, &actions);
  controller.Handle(10, croftrun::LoadReportReceived{.exchange = 701, .report = {12.0F, 30.0F}}, &actions);
  controller.Handle(20, croftrun::CallOffered{.call = 5, .budget_us = 3'000'000, .destination = 1}, &actions);

  for (const croftrun::Action& action : actions) {
    if (const auto* send = std::get_if<croftrun::SendSetUp>(&action)) {
      std::cout << "call " << send->call << " goes to exchange " << send->exchange << '\n';
      return 0;
    }
  }
  return 1;
}
