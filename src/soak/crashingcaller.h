#pragma once

#include "http/clientconnection.h"
#include "soak/soakcaller.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hemlockgauge::soak {

//! What crashes the upstreams.
enum class CrashCause : std::uint8_t
{
  Request,   //!< one request, which is sent again and again
  PromptPart //!< one part of the prompts of requests that differ otherwise
};

//! Sends requests that crash the upstreams that run them, under new ids and to
//! the routers in turn, and ignores the responses.
class CrashingCaller : public http::IClientEvents
{
public:
  CrashingCaller(CallerShared& aShared, CrashCause aCause);
  ~CrashingCaller() override;

  void Tick(base::TimePoint aNow);
  //! Returns why upstreams crash under a request with this target; no value if
  //! they don't.
  static std::optional<CrashCause> CauseOf(const std::string& aTarget);

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
  CrashCause m_cause;
  std::unique_ptr<http::ClientConnection> m_connection;
  std::uint64_t m_count = 0;
  base::TimePoint m_nextAt{};
};

}
