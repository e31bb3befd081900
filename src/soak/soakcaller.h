#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/clientconnection.h"
#include "metrics/latencyhistogram.h"
#include "soak/promises.h"

#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::soak {

enum class CallEnd : std::uint8_t
{
  Served,
  Refused, //!< told that it did not run
  Failed
};
inline constexpr std::size_t kCallEnds = 3;

//! What all callers share and count.
struct CallerShared
{
  eventloop::EventLoop& loop;
  Promises& promises;
  std::vector<base::Address> routers;
  std::string key;
  std::string withdrawnKey; //!< the one before; empty: none
  std::array<std::uint64_t, kCallEnds> ends{};
  //! By second since the start: how calls ended.
  std::vector<std::array<std::uint32_t, kCallEnds>> bySecond;
  metrics::LatencyHistogram firstByteMs;
  base::TimePoint startedAt{};
};

//! One caller: one request after another, on a connection that it keeps as
//! long as it can. It checks every answer byte by byte.
class SoakCaller : public http::IClientEvents
{
public:
  SoakCaller(CallerShared& aShared, std::uint32_t aIndex, std::uint64_t aSeed);
  ~SoakCaller() override;

  void Tick(base::TimePoint aNow);
  //! Takes no new request any more.
  void Stop() { m_stopped = true; }
  bool IsIdle() const { return !m_busy; }

  HeadVerdict OnAnswerHead(http::ClientConnection& aConnection,
                           http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  void Begin(base::TimePoint aNow);
  void End(CallEnd aEnd);
  void CheckSuccess();
  void CheckPart();
  std::string ExpectedBody() const;
  void DropConnection();

  CallerShared& m_shared;
  std::uint32_t m_index;
  std::mt19937_64 m_random;
  std::unique_ptr<http::ClientConnection> m_connection;
  std::uint64_t m_count = 0;
  std::string m_id;
  int m_events = 0; //!< of a stream; 0: a plain request
  int m_status = 0;
  std::string m_body;
  base::TimePoint m_begunAt{};
  base::TimePoint m_nextAt{};
  bool m_busy = false;
  bool m_stopped = false;
};

}
