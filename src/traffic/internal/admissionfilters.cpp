#include "traffic/internal/admissionfilters.h"

#include "traffic/internal/keydigest.h"

#include <charconv>

namespace hemlockgauge::traffic {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

Refusal
PermanentRefusal(int aStatus, std::string aReason)
{
  return { aStatus, std::move(aReason), base::Verdict::NotRun, {} };
}

}

std::optional<Refusal>
MatchRouteFilter::Apply(CallerRequest& aRequest,
                        const RoutingTable& aTable) const
{
  aRequest.service = aTable.MatchPath(aRequest.path);
  if (!aRequest.service) {
    return PermanentRefusal(kNotFound, "no-service-at-this-path");
  }
  aRequest.repeatable =
    RoutingTable::IsRepeatable(*aRequest.service, aRequest.path);
  return std::nullopt;
}

std::optional<Refusal>
AuthenticateFilter::Apply(CallerRequest& aRequest,
                          const RoutingTable& aTable) const
{
  if (aRequest.bearerKey.empty()) {
    return PermanentRefusal(kUnauthorized, "key-missing");
  }
  const auto digest = Sha256Hex(aRequest.bearerKey);
  aRequest.bearerKey.clear();
  for (const auto& owner : aTable.FindKeyOwners(digest)) {
    if (owner.service == aRequest.service) {
      aRequest.workspace = owner.workspace;
      return std::nullopt;
    }
  }
  return PermanentRefusal(kUnauthorized, "key-unknown");
}

std::optional<Refusal>
DeadlineFilter::Apply(CallerRequest& aRequest, const RoutingTable&) const
{
  aRequest.receivedAt = now;
  aRequest.deadline = now + aRequest.service->deadline;
  if (callerDeadlineMs.empty()) {
    return std::nullopt;
  }
  std::int64_t millis = 0;
  const auto* end = callerDeadlineMs.data() + callerDeadlineMs.size();
  const auto parsed = std::from_chars(callerDeadlineMs.data(), end, millis);
  if (parsed.ec != std::errc() || parsed.ptr != end || millis < 1) {
    return PermanentRefusal(kBadRequest,
                            "deadline-not-a-number-of-milliseconds");
  }
  aRequest.deadline = std::min(aRequest.deadline, now + base::Duration(millis));
  return std::nullopt;
}

std::optional<Refusal>
RunFilters(const std::vector<AdmissionFilter>& aFilters,
           CallerRequest& aRequest,
           const RoutingTable& aTable)
{
  for (const auto& filter : aFilters) {
    auto refusal = std::visit(
      [&](const auto& aOne) { return aOne.Apply(aRequest, aTable); }, filter);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

}
