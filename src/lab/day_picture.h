// A day as one HTML page with pictures (SVG), no file beside it.
#ifndef CROFTRUN_LAB_DAY_PICTURE_H_
#define CROFTRUN_LAB_DAY_PICTURE_H_

#include <string>

#include "lab/day_accounts.h"
#include "lab/rules.h"

namespace croftrun::lab {

// Offered, stood and refused over time; circuits in use by group; waits of processors; faults as bands;
// losses by cause.
std::string DayPage(const Scenario& scenario, const DayAccounts& accounts, const reach::Bound& bound,
                    const RuleChecker& rules);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_PICTURE_H_
