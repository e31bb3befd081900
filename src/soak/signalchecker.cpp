#include "soak/signalchecker.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! Time after which a router must send nothing more to a leaving upstream, with
//! delays of a busy test machine.
constexpr base::Duration kLeavingAnswerBound = 3500ms;
//! Time for requests that were on their way when the pause was asked for.
constexpr base::Duration kPauseBound = 500ms;
//! Requests that may reach an upstream within a pause.
constexpr int kMaxArrivalsInPause = 2;

}

void
SignalChecker::Sent(const std::string& aRequest,
                    std::uint32_t aRouter,
                    base::TimePoint aNow)
{
  m_sent[aRequest] = { aRouter, aNow };
}

void
SignalChecker::GotAnswerOfLeaving(std::uint32_t aRouter,
                                  const std::string& aUpstream,
                                  base::TimePoint aNow)
{
  m_toldLeavingAt.try_emplace({ aRouter, aUpstream }, aNow);
}

void
SignalChecker::Refused(const std::string& aUpstream,
                       const std::string& aRequest,
                       base::Duration aRetryAfter,
                       base::TimePoint aNow)
{
  const auto sent = m_sent.find(aRequest);
  if (sent == m_sent.end() || aRetryAfter <= base::Duration{}) {
    return;
  }
  auto& pause = m_pauses[{ sent->second.router, aUpstream }];
  if (aNow + aRetryAfter > pause.until) {
    pause = { aNow + kPauseBound, aNow + aRetryAfter };
  }
}

void
SignalChecker::Arrived(const std::string& aUpstream,
                       const std::string& aRequest,
                       base::TimePoint aNow)
{
  const auto sent = m_sent.find(aRequest);
  if (sent == m_sent.end()) {
    return; // not sent by a caller that is checked
  }
  const RouterAndUpstream key{ sent->second.router, aUpstream };
  const auto told = m_toldLeavingAt.find(key);
  if (told != m_toldLeavingAt.end()) {
    m_guarantees.Check(
      Guarantee::NoWorkAfterLeavingAnswer,
      sent->second.at - told->second < kLeavingAnswerBound,
      fmt::format("{} reached {} from r{} {} ms after an answer that it leaves",
                  aRequest,
                  aUpstream,
                  key.first,
                  (aNow - told->second).count()));
  }
  const auto found = m_pauses.find(key);
  const bool isPaused = found != m_pauses.end() && aNow >= found->second.from &&
                        aNow < found->second.until;
  if (isPaused) {
    m_guarantees.Check(Guarantee::PauseIsKept,
                       ++found->second.arrivals <= kMaxArrivalsInPause,
                       fmt::format("{} reached {} from r{} within its pause",
                                   aRequest,
                                   aUpstream,
                                   key.first));
  }
}

void
SignalChecker::RouterDisturbed(std::uint32_t aRouter)
{
  std::erase_if(m_toldLeavingAt, [&](const auto& aEntry) {
    return aEntry.first.first == aRouter;
  });
  std::erase_if(m_pauses, [&](const auto& aEntry) {
    return aEntry.first.first == aRouter;
  });
}

void
SignalChecker::UpstreamDisturbed(const std::string& aUpstream)
{
  std::erase_if(m_pauses, [&](const auto& aEntry) {
    return aEntry.first.second == aUpstream;
  });
}

}
