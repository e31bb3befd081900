#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/clientconnection.h"
#include "quarantine/crashchecks.h"

#include <functional>
#include <map>

namespace hemlockgauge::gateway {

class UpstreamPool;

//! Checks whether upstreams still accept connections after a connection broke
//! during a request. Opens one connection to each, which goes to the pool if it
//! succeeds.
class UpstreamChecks : public http::IClientEvents
{
public:
  //! Called with the result of each check.
  using OnResult = std::function<void(base::UpstreamId aUpstream,
                                      quarantine::CheckResult aResult)>;

  UpstreamChecks(UpstreamPool& aPool, OnResult aOnResult);

  //! Does nothing if a check of the upstream is running.
  void Begin(base::UpstreamId aUpstream,
             const base::Address& aAddress,
             base::TimePoint aNow);
  bool IsChecking() const { return !m_checks.empty(); }
  //! Reports finished checks. To be called several times per second.
  void Tick(base::TimePoint aNow);

  HeadAction OnAnswerHead(http::ClientConnection& aConnection,
                          http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection&, std::string_view) override {}
  void OnAnswerEnd(http::ClientConnection&, bool) override {}
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  struct Check
  {
    base::UpstreamId upstream{};
    base::TimePoint startedAt{};
  };

  void Finish(http::ClientConnection& aConnection,
              quarantine::CheckResult aResult);

  UpstreamPool& m_pool;
  OnResult m_onResult;
  std::map<http::ClientConnection*, Check> m_checks;
};

}
