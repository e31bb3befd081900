#pragma once

#include "http/clientconnection.h"
#include "soak/soakcaller.h"

#include <cstdint>
#include <memory>
#include <string>

namespace hemlockgauge::soak {

//! Sends one and the same request again and again, under new ids and to one
//! router after the other, whatever comes of it. Upstreams crash under it.
class CrashingCaller : public http::IClientEvents
{
public:
  explicit CrashingCaller(CallerShared& aShared);
  ~CrashingCaller() override;

  void Tick(base::TimePoint aNow);
  //! Whether a run at an upstream is of this request.
  static bool IsRunOf(const std::string& aTarget);

  HeadVerdict OnAnswerHead(http::ClientConnection&,
                           http::ResponseHead&&) override
  {
    return HeadVerdict::Take;
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
