#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hemlockgauge::fleet {

//! The state of a request after an attempt that got no complete answer.
struct FailedAttempt
{
  CallKind kind = CallKind::AtMostOnce;
  bool mayRunAgain = false; //!< may be executed more than once
  bool answerBegun = false; //!< the caller received part of an answer
  //! Attempts so far that may have run, including this one.
  std::uint32_t attemptsRun = 0;
  //! Attempts so far that certainly did not run, including this one.
  std::uint32_t attemptsNotRun = 0;
  std::uint32_t maxAttempts = 1; //!< limit of the route for attemptsRun
  Duration timeLeft{};           //!< until the request's deadline
  //! No attempt was connected, so no upstream received the request.
  bool neverSent = false;
  Duration waited{}; //!< since the request arrived
  Duration target{}; //!< target latency of its route
};

//! The action to take after a failed attempt.
enum class AfterFailure : std::uint8_t
{
  Retry,         //!< send to another upstream
  AnswerNotRun,  //!< answer that nothing ran and when to retry
  AnswerUnknown, //!< answer that the request may have run
  AbortAnswer    //!< abort the partly sent answer
};
inline constexpr auto kAfterFailureNames =
  base::MakeEnumNames<AfterFailure>("retry",
                                    "answer-not-run",
                                    "answer-unknown",
                                    "cut");

//! Decides what to do after a failed attempt. aBudgetAllows: whether the retry
//! budget of its service allows a retry. A request that was never sent puts no
//! load on upstreams, so it may be retried without budget while an answer can
//! still be in time. This keeps requests alive when upstreams accept no
//! connections and all their callers reconnect at once.
AfterFailure
DecideAfterFailure(const FailedAttempt& aFailed, bool aBudgetAllows);

//! Whether a retry goes to another upstream without being admitted again: only
//! if the request may have run. Upstreams that accept no connections look idle
//! and admit everything, so a request that none of them received must not take
//! precedence over new ones elsewhere.
bool
KeepsAdmission(const FailedAttempt& aFailed);

//! Limits the retries of this router to each service. All routers together may
//! retry a ratio of the requests plus a slack per sliding window.
//!
//! Each router counts in windows of its own. A sliding window covers parts of
//! two of these, so a router may use half of its share in each. In a large
//! fleet this is less than one retry. Fractions are rounded up at as many
//! routers as keep the fleet's sum: the router of rank i among n rounds up if
//! the fraction is at least (n - i) / n.
class RetryBudget
{
public:
  //! Sets the budget of the whole fleet. aRatio: retries per request; aSlack:
  //! retries in addition, both within aWindow.
  void Configure(double aRatio, double aSlack, Duration aWindow);
  //! Sets the number of routers that share the slack, this one included.
  void SetRouters(std::size_t aRouters);
  //! Sets the index of this router among aRouters in an order that all routers
  //! agree on.
  void SetRank(std::size_t aRank, std::size_t aRouters);
  //! Counts one new request, which adds to the budget.
  void CountRequest(const std::string& aService, TimePoint aNow);
  //! Whether the budget allows one more retry. Does not consume it, see Take.
  bool Allows(const std::string& aService, TimePoint aNow);
  //! Consumes the budget of one retry.
  void Take(const std::string& aService, TimePoint aNow);

private:
  //! Counts of one service in the current window.
  struct Usage
  {
    std::int64_t window = 0; //!< index
    double requests = 0;
    double retries = 0;
  };

  Usage& CurrentUsage(const std::string& aService, TimePoint aNow);
  //! The part of one retry that is rounded up, 0 to 1. Differs between
  //! services, so that no router is the last one for all of them.
  double RoundingOffset(const std::string& aService) const;

  double m_ratio = 0.2;
  double m_slack = 20;
  Duration m_window{ 10000 };
  std::size_t m_routers = 1;
  std::size_t m_rank = 0;
  std::size_t m_rankedRouters = 1;
  std::map<std::string, Usage, std::less<>> m_usage;
};

}
