#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

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

//! Limits the retries of this router to each service by a token bucket. All
//! routers together may retry a ratio of the requests plus a slack per sliding
//! window; each router has an equal share of the slack.
class RetryBudget
{
public:
  //! Sets the budget of the whole fleet. aRatio: retries per request; aSlack:
  //! retries in addition, both within aWindow.
  void Configure(double aRatio, double aSlack, Duration aWindow);
  //! Sets the number of routers that share the slack, this one included.
  void SetRouters(std::size_t aRouters);
  //! Adds the budget that one new request grants.
  void CountRequest(const std::string& aService, TimePoint aNow);
  //! Whether the budget allows one more retry. Does not consume it, see Take.
  bool Allows(const std::string& aService, TimePoint aNow);
  //! Consumes the budget of one retry.
  void Take(const std::string& aService, TimePoint aNow);

private:
  struct Bucket
  {
    TimePoint refilledAt{};
    double tokens = 0; //!< retries allowed now
    bool initialized = false;
  };

  Bucket& Refill(const std::string& aService, TimePoint aNow);
  double LocalSlack() const;

  double m_ratio = 0.2;
  double m_slack = 20;
  Duration m_window{ 10000 };
  std::size_t m_routers = 1;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}
