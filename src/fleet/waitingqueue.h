#pragma once

#include "fleet/entitlementclass.h"
#include "fleet/fleettypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockgauge::fleet {

//! Greatest part of its target latency for which a request waits in the queue.
//! The caller of a request that is refused after that still has most of its
//! target left for a retry.
inline constexpr double kMaxWaitRatio = 0.125;

//! Interval at which waiting requests are placed again. Peers' reports are 60
//! to 170 ms old, so more frequent attempts would mostly see the same load.
inline constexpr Duration kWaitingInterval{ 10 };

//! Greatest part of each limit that the requests of one workspace may use, so
//! that a workspace that floods the queue leaves room for three others.
inline constexpr std::size_t kWaitingShareDivisor = 4;

//! Returns when a request that is refused now stops waiting: when the predicted
//! time alone would miss the target, and not after kMaxWaitRatio of the target.
//! Empty if that is not in the future. aPredictedMs: time to the first token;
//! aWaited: since the request's arrival.
std::optional<TimePoint>
GiveUpAt(double aPredictedMs,
         Duration aWaited,
         Duration aTarget,
         TimePoint aNow);

//! Unique among the requests in a queue.
enum class WaitingId : std::uint64_t
{
};

//! A request that may wait for an upstream.
struct WaitingRequest
{
  WaitingId id{};
  WorkspaceId workspace{};
  EntitlementClass entitlement = EntitlementClass::Entitled;
  std::uint32_t priority = kDefaultPriority; //!< 0 is the highest
  TimePoint giveUpAt{};                      //!< when it stops waiting
  std::size_t bytes = 0;                     //!< memory that it occupies
};

//! Limits of a waiting queue. Nothing waits if one of them is 0.
struct WaitingLimits
{
  std::size_t requests = 0;
  std::size_t bytes = 0;
};

//! What happened to a request that was added.
enum class AddOutcome : std::uint8_t
{
  Queued,
  Rejected //!< it may not wait
};
inline constexpr auto kAddOutcomeNames =
  base::MakeEnumNames<AddOutcome>("queued", "rejected");

struct AddResult
{
  AddOutcome outcome = AddOutcome::Rejected;
  //! The request that was removed to make room; it has to be refused.
  std::optional<WaitingId> replaced;
};

//! Requests that wait in a router for room at an upstream, in the order of
//! their entitlement, then priority, then the time at which they give up.
//! Engines serve requests in order of arrival, so precedence can be given only
//! before a request is sent. Each operation takes logarithmic time.
class WaitingQueue
{
public:
  //! Applies limits. Requests that wait already are kept.
  void Configure(const WaitingLimits& aLimits) { m_limits = aLimits; }

  //! Adds a request. In a full queue it replaces the last request if it is
  //! ahead of that one and fits in its place. Rejects an id that waits already.
  AddResult Add(const WaitingRequest& aRequest, TimePoint aNow);
  //! Removes and returns the requests whose waiting time is over and, if
  //! kWaitingInterval has passed since the previous attempt, the first aMost of
  //! the others, both in order. All requests in the result have to be placed
  //! again or refused.
  std::vector<WaitingId> TakeDue(TimePoint aNow, std::size_t aMost);
  void Remove(WaitingId aId);
  //! When TakeDue is to be called next; empty if no request waits.
  std::optional<TimePoint> NextAt() const;
  //! Removes all requests and returns their ids in order.
  std::vector<WaitingId> Clear();

  std::size_t Size() const { return m_requests.size(); }
  std::size_t Bytes() const { return m_total.bytes; }

private:
  //! Sorts by precedence; the id makes the order total.
  using Position =
    std::tuple<EntitlementClass, std::uint32_t, TimePoint, WaitingId>;

  //! Requests and bytes in use.
  using Usage = WaitingLimits;

  static Position PositionOf(const WaitingRequest& aRequest);
  bool FitsWorkspaceShare(const WaitingRequest& aRequest) const;
  bool FitsAfterRemoval(const WaitingRequest& aRequest,
                        const Usage& aRemoved) const;

  WaitingLimits m_limits;
  Usage m_total;
  std::map<WorkspaceId, Usage> m_usage; //!< only of workspaces that wait
  std::unordered_map<WaitingId, WaitingRequest> m_requests;
  std::set<Position> m_order;
  std::set<std::pair<TimePoint, WaitingId>> m_byGiveUpAt;
  TimePoint m_nextAttemptAt{}; //!< valid while a request waits
};

}
