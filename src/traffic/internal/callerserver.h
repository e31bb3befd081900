#pragma once

#include "document/documenttypes.h"
#include "traffic/internal/exchange.h"
#include "traffic/routingtable.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

struct MHD_Connection;
struct MHD_Daemon;

namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::traffic {

class IControl;
struct RequestContext;

//! Receives the requests that CallerServer has read.
class IExchangeSink
{
public:
  virtual ~IExchangeSink() = default;

  virtual std::shared_ptr<const RoutingTable> Table() const = 0;
  virtual std::string NewRequestId(base::RequestId& aId) = 0;
  virtual void Submit(std::shared_ptr<Exchange> aExchange) = 0;
  //! aEarly: the connection ended before the answer was complete.
  virtual void CallerEnded(const std::shared_ptr<Exchange>& aExchange,
                           bool aEarly) = 0;
};

//! Runs two HTTP servers: one for callers, one for operators (admin pages).
class CallerServer
{
public:
  CallerServer(const document::RouterSettings& aSettings,
               IExchangeSink& aSink,
               IControl& aControl,
               metrics::Metrics& aMetrics,
               std::shared_ptr<MemoryBudget> aBudget);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  //! Stops accepting connections. Answers from now on carry
  //! "Connection: close".
  void CloseListener();
  //! Shuts down reading on connections without a complete request. Requests
  //! that were read before are still answered.
  void CloseIdleConnections();
  std::size_t ConnectionCount();
  void Stop();
  //! Closes connections that have waited longer than callerTimeout for a
  //! complete request.
  void CloseSlowCallers(base::TimePoint aNow);

  // Called by libmicrohttpd
  int OnRequest(MHD_Connection* aConnection,
                const char* aUrl,
                const char* aMethod,
                const char* aBody,
                std::size_t* aBodySize,
                void** aContext);
  void OnCompleted(MHD_Connection* aConnection, RequestContext* aContext);
  void OnConnection(MHD_Connection* aConnection, bool aStarted);
  int OnAdmin(MHD_Connection* aConnection, const char* aUrl);

private:
  RequestContext* BeginRequest(MHD_Connection* aConnection,
                               const char* aUrl,
                               const char* aMethod);
  static void CheckRoom(RequestContext& aContext);
  int Receive(RequestContext& aContext,
              const char* aBody,
              std::size_t* aBodySize);
  int Answer(MHD_Connection* aConnection, RequestContext& aContext);
  void Admit(RequestContext& aContext);
  void SetWaiting(MHD_Connection* aConnection, bool aWaiting);

  const document::RouterSettings& m_settings;
  IExchangeSink& m_sink;
  IControl& m_control;
  metrics::Metrics& m_metrics;
  std::shared_ptr<MemoryBudget> m_budget;
  MHD_Daemon* m_callers = nullptr;
  MHD_Daemon* m_operators = nullptr;
  std::atomic<bool> m_listening{ true };
  std::mutex m_mutex;
  std::size_t m_connections = 0;
  //! By socket: when the connection began to wait for a complete request.
  std::map<int, base::TimePoint> m_incompleteSince;
};

}
