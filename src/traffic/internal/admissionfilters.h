#pragma once

#include "traffic/routingtable.h"
#include "traffic/traffictypes.h"

#include <optional>
#include <variant>

namespace hemlockgauge::traffic {

//! Sets the service that serves the request's path and whether the request is
//! idempotent there. Refuses with 404 if no service has a matching prefix.
struct MatchRouteFilter
{
  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

//! Sets the workspace that owns the bearer key in the matched service and wipes
//! the key. Refuses with 401 if the key is missing or unknown there.
struct AuthenticateFilter
{
  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

//! Sets the deadline to the earlier of the service's and the caller's
//! (X-Deadline-Ms, milliseconds from now). Refuses with 400 unless the header
//! is empty or a positive integer.
struct DeadlineFilter
{
  base::TimePoint now{};
  std::string callerDeadlineMs;

  std::optional<Refusal> Apply(CallerRequest& aRequest,
                               const RoutingTable& aTable) const;
};

using AdmissionFilter =
  std::variant<MatchRouteFilter, AuthenticateFilter, DeadlineFilter>;

//! Runs the filters in order and returns the first refusal; nullopt if the
//! request is admitted.
std::optional<Refusal>
RunFilters(const std::vector<AdmissionFilter>& aFilters,
           CallerRequest& aRequest,
           const RoutingTable& aTable);

}
