#include "traffic/internal/callerserver.h"

#include "base/error.h"
#include "base/monotonicclock.h"
#include "metrics/metrics.h"
#include "traffic/internal/admissionfilters.h"
#include "traffic/internal/urlescape.h"
#include "traffic/itraffic.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstring>

namespace hemlockgauge::traffic {

//! State of one HTTP request between the callbacks of libmicrohttpd.
struct RequestContext
{
  CallerRequest request;
  std::string callerDeadline;
  std::shared_ptr<Exchange> exchange;
  bool tooLarge = false;
  bool hasNoRoom = false;
  bool submitted = false;
  bool answered = false;
};

namespace {

constexpr std::size_t kBlockBytes = 16384;
constexpr std::size_t kConnectionMemoryBytes = 32768;
constexpr unsigned kMaxOperatorConnections = 64;
constexpr std::string_view kBearer = "Bearer ";
constexpr int kPayloadTooLarge = 413;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
//! Bodies are sent on and freed within a call's time.
constexpr base::Duration kNoRoomRetryAfter{ 1000 };

std::string
RequestHeader(MHD_Connection* aConnection, const char* aName)
{
  const char* value =
    MHD_lookup_connection_value(aConnection, MHD_HEADER_KIND, aName);
  return value == nullptr ? std::string() : std::string(value);
}

//! aDuration in seconds, rounded up.
unsigned
WholeSeconds(base::Duration aDuration)
{
  return static_cast<unsigned>(
    std::chrono::ceil<std::chrono::seconds>(aDuration).count());
}

int
SocketOf(MHD_Connection* aConnection)
{
  const auto* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

//! Appends one query argument, percent-encoded again, to a query string.
MHD_Result
AppendQuery(void* aOut, MHD_ValueKind, const char* aKey, const char* aValue)
{
  auto& query = *static_cast<std::string*>(aOut);
  query += query.empty() ? "" : "&";
  query += EscapeUrl(aKey, "");
  if (aValue != nullptr) {
    query += "=" + EscapeUrl(aValue, "");
  }
  return MHD_YES;
}

ssize_t
ReadExchange(void* aUser, std::uint64_t, char* aBuffer, std::size_t aMaxBytes)
{
  auto& exchange = **static_cast<std::shared_ptr<Exchange>*>(aUser);
  std::size_t got = 0;
  switch (exchange.ReadBody(aBuffer, aMaxBytes, got)) {
    case Exchange::ReadResult::Some:
      return static_cast<ssize_t>(got);
    case Exchange::ReadResult::Wait:
      return 0;
    case Exchange::ReadResult::End:
      return MHD_CONTENT_READER_END_OF_STREAM;
    case Exchange::ReadResult::Failed:
      break;
  }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

void
FreeExchange(void* aUser)
{
  delete static_cast<std::shared_ptr<Exchange>*>(aUser);
}

MHD_Result
RequestCallback(void* aSelf,
                MHD_Connection* aConnection,
                const char* aUrl,
                const char* aMethod,
                const char*,
                const char* aBody,
                std::size_t* aBodySize,
                void** aContext)
{
  return static_cast<MHD_Result>(static_cast<CallerServer*>(aSelf)->OnRequest(
    aConnection, aUrl, aMethod, aBody, aBodySize, aContext));
}

MHD_Result
AdminCallback(void* aSelf,
              MHD_Connection* aConnection,
              const char* aUrl,
              const char*,
              const char*,
              const char*,
              std::size_t*,
              void**)
{
  return static_cast<MHD_Result>(
    static_cast<CallerServer*>(aSelf)->OnAdmin(aConnection, aUrl));
}

void
CompletedCallback(void* aSelf,
                  MHD_Connection* aConnection,
                  void** aContext,
                  MHD_RequestTerminationCode)
{
  static_cast<CallerServer*>(aSelf)->OnCompleted(
    aConnection, static_cast<RequestContext*>(*aContext));
  *aContext = nullptr;
}

void
ConnectionCallback(void* aSelf,
                   MHD_Connection* aConnection,
                   void**,
                   MHD_ConnectionNotificationCode aCode)
{
  static_cast<CallerServer*>(aSelf)->OnConnection(
    aConnection, aCode == MHD_CONNECTION_NOTIFY_STARTED);
}

sockaddr_in
SocketAddress(const base::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

int
QueueBody(MHD_Connection* aConnection,
          int aStatus,
          const std::string& aType,
          const std::string& aBody)
{
  auto* response = MHD_create_response_from_buffer(
    aBody.size(), const_cast<char*>(aBody.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", aType.c_str());
  const auto result =
    MHD_queue_response(aConnection, static_cast<unsigned>(aStatus), response);
  MHD_destroy_response(response);
  return result;
}

}

CallerServer::CallerServer(const document::RouterSettings& aSettings,
                           IExchangeSink& aSink,
                           IControl& aControl,
                           metrics::Metrics& aMetrics,
                           std::shared_ptr<MemoryBudget> aBudget)
  : m_settings(aSettings)
  , m_sink(aSink)
  , m_control(aControl)
  , m_metrics(aMetrics)
  , m_budget(std::move(aBudget))
{
  const auto callers = SocketAddress(aSettings.listen);
  const auto operators = SocketAddress(aSettings.adminListen);
  // The timeout closes connections whose callers do not read their answers. One
  // whose answer is awaited is suspended and has none.
  constexpr unsigned kFlags =
    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  m_callers = MHD_start_daemon(kFlags,
                               0,
                               nullptr,
                               nullptr,
                               &RequestCallback,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               &callers,
                               MHD_OPTION_THREAD_POOL_SIZE,
                               static_cast<unsigned>(aSettings.trafficThreads),
                               MHD_OPTION_CONNECTION_LIMIT,
                               static_cast<unsigned>(aSettings.maxConnections),
                               MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                               kConnectionMemoryBytes,
                               MHD_OPTION_CONNECTION_TIMEOUT,
                               WholeSeconds(aSettings.callerTimeout),
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &CompletedCallback,
                               this,
                               MHD_OPTION_NOTIFY_CONNECTION,
                               &ConnectionCallback,
                               this,
                               MHD_OPTION_LISTENING_ADDRESS_REUSE,
                               1U,
                               MHD_OPTION_END);
  m_operators = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &AdminCallback,
                                 this,
                                 MHD_OPTION_SOCK_ADDR,
                                 &operators,
                                 MHD_OPTION_CONNECTION_LIMIT,
                                 kMaxOperatorConnections,
                                 MHD_OPTION_CONNECTION_TIMEOUT,
                                 10U,
                                 MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                 1U,
                                 MHD_OPTION_END);
  if (m_callers == nullptr || m_operators == nullptr) {
    throw base::Error(base::ErrorCode::Unreachable,
                      "cannot listen for callers on " +
                        aSettings.listen.Text() + " and for operators on " +
                        aSettings.adminListen.Text());
  }
}

CallerServer::~CallerServer()
{
  Stop();
}

void
CallerServer::CloseListener()
{
  if (m_listening.exchange(false) && m_callers != nullptr) {
    const auto socket = MHD_quiesce_daemon(m_callers);
    if (socket != MHD_INVALID_SOCKET) {
      close(socket);
    }
  }
}

void
CallerServer::CloseIdleConnections()
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [socket, since] : m_incompleteSince) {
    shutdown(socket, SHUT_RD);
  }
}

std::size_t
CallerServer::ConnectionCount()
{
  const std::lock_guard lock(m_mutex);
  return m_connections;
}

void
CallerServer::Stop()
{
  for (auto* daemon : { &m_callers, &m_operators }) {
    if (*daemon != nullptr) {
      MHD_stop_daemon(*daemon);
      *daemon = nullptr;
    }
  }
}

void
CallerServer::OnConnection(MHD_Connection* aConnection, bool aStarted)
{
  SetWaiting(aConnection, aStarted);
  const std::lock_guard lock(m_mutex);
  m_connections += aStarted ? 1 : 0;
  m_connections -= aStarted ? 0 : 1;
}

void
CallerServer::SetWaiting(MHD_Connection* aConnection, bool aWaiting)
{
  const int socket = SocketOf(aConnection);
  const std::lock_guard lock(m_mutex);
  if (aWaiting) {
    m_incompleteSince[socket] = base::MonotonicNow();
  } else {
    m_incompleteSince.erase(socket);
  }
}

void
CallerServer::CloseSlowCallers(base::TimePoint aNow)
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [socket, since] : m_incompleteSince) {
    if (aNow - since > m_settings.callerTimeout) {
      shutdown(socket, SHUT_RDWR);
    }
  }
}

RequestContext*
CallerServer::BeginRequest(MHD_Connection* aConnection,
                           const char* aUrl,
                           const char* aMethod)
{
  auto context = std::make_unique<RequestContext>();
  context->request.method = aMethod;
  context->request.path = aUrl;
  context->request.memoryShare = MemoryShare(m_budget);
  context->request.contentType = RequestHeader(aConnection, "Content-Type");
  context->request.idempotencyKey =
    RequestHeader(aConnection, "Idempotency-Key");
  context->callerDeadline = RequestHeader(aConnection, "X-Deadline-Ms");
  const auto authorization = RequestHeader(aConnection, "Authorization");
  if (authorization.starts_with(kBearer)) {
    context->request.bearerKey = authorization.substr(kBearer.size());
  }
  MHD_get_connection_values(
    aConnection, MHD_GET_ARGUMENT_KIND, &AppendQuery, &context->request.query);
  CheckRoom(*context);
  return context.release();
}

//! Frees what was read of a request if there is no room for it.
void
CallerServer::CheckRoom(RequestContext& aContext)
{
  auto& request = aContext.request;
  aContext.hasNoRoom = !request.memoryShare.TrySet(request.HeldBytes());
  if (aContext.hasNoRoom) {
    std::string().swap(request.path);
    std::string().swap(request.query);
  }
}

int
CallerServer::Receive(RequestContext& aContext,
                      const char* aBody,
                      std::size_t* aBodySize)
{
  auto& request = aContext.request;
  const auto bytes = request.body.size() + *aBodySize;
  const auto otherBytes = request.HeldBytes() - request.body.capacity();
  if (bytes > m_settings.maxBodyBytes) {
    aContext.tooLarge = true;
  } else if (!request.memoryShare.TrySet(otherBytes + bytes)) {
    aContext.hasNoRoom = true;
  }
  if (aContext.tooLarge || aContext.hasNoRoom) {
    std::string().swap(request.body);
  } else {
    request.body.append(aBody, *aBodySize);
  }
  request.memoryShare.Set(request.HeldBytes());
  *aBodySize = 0;
  return MHD_YES;
}

int
CallerServer::OnRequest(MHD_Connection* aConnection,
                        const char* aUrl,
                        const char* aMethod,
                        const char* aBody,
                        std::size_t* aBodySize,
                        void** aContext)
{
  if (*aContext == nullptr) {
    *aContext = BeginRequest(aConnection, aUrl, aMethod);
    return MHD_YES;
  }
  auto& context = *static_cast<RequestContext*>(*aContext);
  if (*aBodySize > 0) {
    return Receive(context, aBody, aBodySize);
  }
  if (context.answered) {
    return MHD_YES;
  }
  if (!context.submitted) {
    context.submitted = true;
    SetWaiting(aConnection, false);
    if (std::strcmp(aUrl, "/healthz") == 0) {
      context.answered = true;
      return QueueBody(aConnection, 200, "text/plain", "ok\n");
    }
    if (std::strcmp(aUrl, "/readyz") == 0) {
      context.answered = true;
      const bool ready = m_control.IsReady();
      return QueueBody(aConnection,
                       ready ? 200 : 503,
                       "text/plain",
                       ready ? "ready\n" : "not ready\n");
    }
    Admit(context);
  }
  return Answer(aConnection, context);
}

void
CallerServer::Admit(RequestContext& aContext)
{
  auto& request = aContext.request;
  const auto method = request.method;
  std::optional<Refusal> refusal;
  if (aContext.tooLarge) {
    refusal =
      Refusal{ kPayloadTooLarge, "body-too-large", base::Verdict::NotRun, {} };
  } else if (aContext.hasNoRoom) {
    refusal = Refusal{
      kServiceUnavailable, "no-room", base::Verdict::NotRun, kNoRoomRetryAfter
    };
  } else if (method != "POST" && method != "GET" && method != "PUT") {
    refusal = Refusal{
      kMethodNotAllowed, "method-not-allowed", base::Verdict::NotRun, {}
    };
  } else {
    const auto table = m_sink.Table();
    refusal = RunFilters(
      { MatchRouteFilter{},
        AuthenticateFilter{},
        DeadlineFilter{ base::MonotonicNow(), aContext.callerDeadline } },
      request,
      *table);
  }
  request.bearerKey.clear();
  request.idText = m_sink.NewRequestId(request.id);
  aContext.exchange = std::make_shared<Exchange>(std::move(request));
  if (refusal) {
    m_metrics.Count("refused_total{reason=\"" + refusal->reason + "\"}");
    aContext.exchange->Refuse(*refusal);
    return;
  }
  m_sink.Submit(aContext.exchange);
}

int
CallerServer::Answer(MHD_Connection* aConnection, RequestContext& aContext)
{
  AnswerHead head;
  if (!aContext.exchange->AwaitHead(aConnection, head)) {
    return MHD_YES;
  }
  aContext.answered = true;
  if (aContext.exchange->IsCallerGone()) {
    return MHD_NO;
  }
  auto* user = new std::shared_ptr<Exchange>(aContext.exchange);
  auto* response = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, kBlockBytes, &ReadExchange, user, &FreeExchange);
  if (!m_listening) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const auto verdict = std::string(base::kVerdictNames.NameOf(head.verdict));
  MHD_add_response_header(response, "X-Verdict", verdict.c_str());
  MHD_add_response_header(
    response, "X-Request-Id", aContext.exchange->Request().idText.c_str());
  if (!head.contentType.empty()) {
    MHD_add_response_header(response, "Content-Type", head.contentType.c_str());
  }
  if (!head.reason.empty()) {
    MHD_add_response_header(response, "X-Reason", head.reason.c_str());
  }
  if (head.retryAfter.count() > 0) {
    const auto seconds = std::to_string((head.retryAfter.count() + 999) / 1000);
    MHD_add_response_header(response, "Retry-After", seconds.c_str());
  }
  const auto result = MHD_queue_response(
    aConnection, static_cast<unsigned>(head.status), response);
  MHD_destroy_response(response);
  return result;
}

void
CallerServer::OnCompleted(MHD_Connection* aConnection, RequestContext* aContext)
{
  const std::unique_ptr<RequestContext> context(aContext);
  SetWaiting(aConnection, true);
  if (context && context->exchange) {
    const bool early = context->exchange->CallerEnded();
    m_sink.CallerEnded(context->exchange, early);
  }
}

int
CallerServer::OnAdmin(MHD_Connection* aConnection, const char* aUrl)
{
  std::string query;
  MHD_get_connection_values(
    aConnection, MHD_GET_ARGUMENT_KIND, &AppendQuery, &query);
  const auto page = m_control.RenderAdminPage(aUrl, query);
  return QueueBody(aConnection, page.status, page.contentType, page.body);
}

}
