#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hemlockgauge::ctl {

//! What a shift reads at handover, from the pages of all routers reached.
struct Handover
{
  std::string text;
  std::vector<std::string> alarms;
};

Handover
DescribeFleet(const std::vector<nlohmann::json>& aPages,
              const std::vector<std::string>& aUnreachable);

}
