#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/monotonicclock.h"
#include "eventloop/eventloop.h"
#include "http/clientconnection.h"
#include "standins/storestandin.h"

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::review {

//! Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

//! One request of a consumer on a channel of its own.
class Call : public http::IClientEvents
{
public:
  using Observer = std::function<void(Call&)>;

  //! aOnChange is called after each part of the answer and at its end.
  Call(eventloop::EventLoop& aLoop,
       const base::Address& aTo,
       std::string aRequest,
       Observer aOnChange = {});

  HeadAction OnAnswerHead(http::ClientConnection& aConnection,
                          http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection& aConnection,
                    std::string_view aBytes) override;
  void OnAnswerEnd(http::ClientConnection& aConnection,
                   bool aReusable) override;
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection&) override {}

  int Status() const { return m_status; }
  const std::string& Body() const { return m_body; }
  bool IsComplete() const { return m_complete; }
  bool IsOver() const { return m_complete || m_failed; }

private:
  void Notify();

  http::ClientConnection m_connection;
  Observer m_onChange;
  int m_status = 0;
  std::string m_body;
  bool m_complete = false;
  bool m_failed = false;
};

//! What every case needs: the platform's store, the consumers' way to the
//! machines, and the record. The machines are gateways 1, 2, ... on 127.0.0.1,
//! 127.0.0.2, ..., all with the same ports, as on the platform.
class Stage
{
public:
  Stage(std::uint16_t aPort, const std::string& aRecordFile);

  base::Address Gateway(int aNumber) const;
  base::Address ReadyAddress(int aNumber) const;
  base::Address Worker(int aNumber) const;

  eventloop::EventLoop& Loop() { return m_loop; }
  standins::StoreStandin& Store() { return m_store; }

  //! Writes a line with the time since the start into the record.
  void Record(const std::string& aText);
  //! Asks the script that started this program to do something.
  void Ask(const std::string& aCommand);
  //! Runs the loop until the time point.
  void RunUntil(base::TimePoint aTime);
  void RunFor(base::Duration aTime);
  //! Runs the loop until the condition holds. Returns false after aLimit.
  bool WaitFor(const std::function<bool()>& aCondition, base::Duration aLimit);
  //! Sends one request and waits for its end; its status, or 0.
  int StatusOf(const base::Address& aTo, const std::string& aRequest);
  //! Waits until the first aCount gateways are ready.
  bool WaitUntilReady(int aCount);

private:
  std::uint16_t m_port;
  eventloop::EventLoop m_loop;
  standins::StoreStandin m_store;
  std::ofstream m_record;
  base::TimePoint m_startedAt;
};

}
