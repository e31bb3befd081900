#pragma once

#include "base/basetypes.h"
#include "soak/guarantees.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace hemlockgauge::soak {

//! Checks that routers heed what upstreams state in their answers: that they
//! leave, and for how long they want no requests. A statement binds the router
//! that got the answer, until that router is restarted or paused.
class SignalChecker
{
public:
  explicit SignalChecker(GuaranteeChecker& aGuarantees)
    : m_guarantees(aGuarantees)
  {
  }

  //! Records that a caller sent a request to a router.
  void Sent(const std::string& aRequest,
            std::uint32_t aRouter,
            base::TimePoint aNow);
  //! Records that a caller received the head of an answer of an upstream that
  //! leaves.
  void GotAnswerOfLeaving(std::uint32_t aRouter,
                          const std::string& aUpstream,
                          base::TimePoint aNow);
  //! Records that an upstream refused a request with a Retry-After.
  void Refused(const std::string& aUpstream,
               const std::string& aRequest,
               base::Duration aRetryAfter,
               base::TimePoint aNow);
  //! Checks a request that reached an upstream, whether it ran or was refused.
  void Arrived(const std::string& aUpstream,
               const std::string& aRequest,
               base::TimePoint aNow);
  //! The router was killed, stopped or paused.
  void RouterDisturbed(std::uint32_t aRouter);
  //! Bytes between the upstream and routers may have been lost.
  void UpstreamDisturbed(const std::string& aUpstream);

private:
  struct Pause
  {
    base::TimePoint from{};
    base::TimePoint until{};
    int arrivals = 0;
  };
  struct SentRequest
  {
    std::uint32_t router = 0;
    base::TimePoint at{};
  };
  using RouterAndUpstream = std::pair<std::uint32_t, std::string>;

  GuaranteeChecker& m_guarantees;
  std::unordered_map<std::string, SentRequest> m_sent; //!< by request
  std::map<RouterAndUpstream, base::TimePoint> m_toldLeavingAt;
  //! Of several pauses that overlap, the one that ends last.
  std::map<RouterAndUpstream, Pause> m_pauses;
};

}
