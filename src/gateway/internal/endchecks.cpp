#include "gateway/endchecks.h"

#include "eventloop/eventloop.h"
#include "gateway/upstreamchecks.h"
#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::gateway {

EndChecks::EndChecks(eventloop::EventLoop& aLoop, UpstreamChecks& aChecks)
  : m_loop(aLoop)
  , m_checks(aChecks)
{
}

void
EndChecks::Await(base::UpstreamId aUpstream,
                 const base::Address& aAddress,
                 IEndCheckReader& aReader)
{
  //! NOTE the loop's time may be older than the end of the response.
  const auto dueAt = m_loop.Now() + quarantine::kCrashCheckDelay;
  m_waits.push_back({ aUpstream, aAddress, &aReader, dueAt, false });
}

void
EndChecks::Cancel(IEndCheckReader& aReader)
{
  std::erase_if(m_waits,
                [&](const Wait& aWait) { return aWait.reader == &aReader; });
}

void
EndChecks::Tick(base::TimePoint aNow)
{
  for (auto& wait : m_waits) {
    if (!wait.isStarted && aNow >= wait.dueAt) {
      wait.isStarted = true;
      m_checks.Begin(wait.upstream, wait.address, aNow);
    }
  }
}

void
EndChecks::OnResult(base::UpstreamId aUpstream, quarantine::CheckResult aResult)
{
  std::vector<IEndCheckReader*> readers;
  std::erase_if(m_waits, [&](const Wait& aWait) {
    const bool isAnswered = aWait.upstream == aUpstream && aWait.isStarted;
    if (isAnswered) {
      readers.push_back(aWait.reader);
    }
    return isAnswered;
  });
  //! NOTE exchanges that end are deleted after the event loop's round.
  for (auto* reader : readers) {
    reader->OnEndChecked(aResult);
  }
}

}
