#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

#include <map>
#include <string>

namespace hemlockgauge::fleet {

//! An attempt that did not bring a whole answer.
struct FailedAttempt
{
  CallKind kind = CallKind::AtMostOnce;
  bool mayRunAgain = false;
  bool answerBegun = false;         //!< the caller has part of an answer
  std::uint32_t attemptsRun = 0;    //!< attempts that may have run, this too
  std::uint32_t attemptsNotRun = 0; //!< attempts that nothing ran, this too
  std::uint32_t maxAttempts = 1;    //!< of the route
  Duration timeLeft{};
  //! No attempt had a connection: no upstream has seen the request.
  bool neverSent = false;
  Duration waited{}; //!< since the request arrived
  Duration target{}; //!< of its route
};

enum class AfterFailure : std::uint8_t
{
  Retry,         //!< once more, at another upstream
  AnswerNotRun,  //!< say that nothing ran and when to come back
  AnswerUnknown, //!< say that it may have run
  Cut            //!< break off the answer that has begun
};
inline constexpr auto kAfterFailureNames =
  base::MakeEnumNames<AfterFailure>("retry",
                                    "answer-not-run",
                                    "answer-unknown",
                                    "cut");

//! What to do next, if the budget allows a retry. What was never sent costs no
//! upstream anything, so it needs no budget while an answer can be in time: the
//! load is upstreams that take no connections while all their callers come
//! back at once.
AfterFailure
DecideAfterFailure(const FailedAttempt& aFailed, bool aBudgetAllows);

//! The retries to each service that this router may make: its part of what
//! the fleet may, over a sliding window.
class RetryBudget
{
public:
  //! aRatio and aSlack are the fleet's; aWindow is the window of both.
  void Configure(double aRatio, double aSlack, Duration aWindow);
  void SetRouters(std::size_t aRouters);
  void CountRequest(const std::string& aService, TimePoint aNow);
  //! Whether one more retry fits; Take counts it.
  bool Allows(const std::string& aService, TimePoint aNow);
  void Take(const std::string& aService, TimePoint aNow);

private:
  struct Account
  {
    TimePoint at{};
    double tokens = 0;
    bool opened = false;
  };

  Account& Refill(const std::string& aService, TimePoint aNow);
  double SlackHere() const;

  double m_ratio = 0.2;
  double m_slack = 20;
  Duration m_window{ 10000 };
  std::size_t m_routers = 1;
  std::map<std::string, Account, std::less<>> m_accounts;
};

}
