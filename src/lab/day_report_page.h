// Report of a scenario run as a self-contained HTML page with SVG charts.
#ifndef CROFTRUN_LAB_DAY_REPORT_PAGE_H_
#define CROFTRUN_LAB_DAY_REPORT_PAGE_H_

#include <string>

#include "lab/day_accounts.h"
#include "lab/rule_checker.h"

namespace croftrun::lab {

// Returns the page: rule findings, lost tries by cause, and charts over time of calls, of circuits in use by group and
// of processor waiting times. Faults are shown as bands behind the charts.
std::string DayPage(const Scenario& scenario, const DayAccounts& accounts, const reach::Bound& bound,
                    const RuleChecker& rules);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_REPORT_PAGE_H_
