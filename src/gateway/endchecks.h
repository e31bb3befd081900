#pragma once

#include "gateway/iendchecks.h"

#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

class UpstreamChecks;

//! Exchanges that wait for a check of their upstream. It begins a little after
//! the end of the response, as a process that ends closes its connections one
//! by one, and its listening socket maybe last.
class EndChecks : public IEndChecks
{
public:
  EndChecks(eventloop::EventLoop& aLoop, UpstreamChecks& aChecks);

  void Await(base::UpstreamId aUpstream,
             const base::Address& aAddress,
             IEndCheckReader& aReader) override;
  void Cancel(IEndCheckReader& aReader) override;
  bool IsWaiting() const { return !m_waits.empty(); }
  //! Begins checks that are due. To be called several times per second.
  void Tick(base::TimePoint aNow);
  //! An upstream has been checked.
  void OnResult(base::UpstreamId aUpstream, quarantine::CheckResult aResult);

private:
  struct Wait
  {
    base::UpstreamId upstream{};
    base::Address address;
    IEndCheckReader* reader = nullptr;
    base::TimePoint dueAt{};
    bool isStarted = false;
  };

  eventloop::EventLoop& m_loop;
  UpstreamChecks& m_checks;
  std::vector<Wait> m_waits;
};

}
