#pragma once

#include "http/clientconnection.h"
#include "soak/soakcaller.h"

#include <cstdint>
#include <memory>
#include <string>

namespace hemlockgauge::soak {

//! Sends the same request repeatedly, under new ids and to the routers in
//! turn, and ignores the responses. Upstreams that run the request crash.
class CrashingCaller : public http::IClientEvents
{
public:
  explicit CrashingCaller(CallerShared& aShared);
  ~CrashingCaller() override;

  void Tick(base::TimePoint aNow);
  //! Returns whether a request with this target is the crashing request.
  static bool IsCrashingRequest(const std::string& aTarget);

  HeadAction OnAnswerHead(http::ClientConnection&,
                          http::ResponseHead&&) override
  {
    return HeadAction::Accept;
  }
  void OnAnswerBody(http::ClientConnection&, std::string_view) override {}
  void OnAnswerEnd(http::ClientConnection&, bool) override {}
  void OnFailed(http::ClientConnection&, http::ClientFailure) override {}
  void OnIdleClosed(http::ClientConnection&) override {}

private:
  void DropConnection();

  CallerShared& m_shared;
  std::unique_ptr<http::ClientConnection> m_connection;
  std::uint64_t m_count = 0;
  base::TimePoint m_nextAt{};
};

}
