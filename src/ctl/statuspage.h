#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hemlockgauge::ctl {

//! Summary of the fleet for operators at shift handover, from the status pages
//! of all reachable routers.
struct Handover
{
  std::string text;
  std::vector<std::string> alarms;
};

//! Summarises status pages. Each address in aUnreachable gives an alarm.
Handover
DescribeFleet(const std::vector<nlohmann::json>& aPages,
              const std::vector<std::string>& aUnreachable);

}
