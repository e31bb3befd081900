#pragma once

#include "traffic/routingtable.h"
#include "traffic/traffictypes.h"

#include <optional>
#include <variant>

namespace hemlockgauge::traffic {

//! Finds the service by the path, and whether the call may be repeated.
struct MatchRouteFilter
{
  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

//! Finds the workspace by the key, for that service only.
struct AuthenticateFilter
{
  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

//! Sets the deadline: the caller's own if it is sooner than the service's.
struct DeadlineFilter
{
  base::TimePoint now{};
  std::string callerDeadlineMs;

  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

using AdmissionFilter =
  std::variant<MatchRouteFilter, AuthenticateFilter, DeadlineFilter>;

//! Runs the filters in order until one refuses.
std::optional<Refusal>
RunFilters(const std::vector<AdmissionFilter>& aFilters,
           CallerRequest& aRequest,
           const RoutingTable& aTable);

}
