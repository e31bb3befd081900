#include "standins/httpserver.h"

#include "base/error.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <algorithm>
#include <csignal>
#include <cstring>

namespace hemlockgauge::standins {

namespace {

constexpr std::size_t kStreamBlockBytes = 65536;

struct Stream
{
  std::function<Chunk()> next;
  std::string unsent;
};

MHD_Result
CollectValue(void* aOut,
             MHD_ValueKind aKind,
             const char* aKey,
             const char* aValue)
{
  std::string key(aKey);
  if (aKind == MHD_HEADER_KIND) {
    std::transform(
      key.begin(), key.end(), key.begin(), [](unsigned char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
  }
  (*static_cast<std::map<std::string, std::string>*>(aOut))[key] =
    aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

ssize_t
ReadStream(void* aUser, std::uint64_t, char* aBuffer, std::size_t aMaxBytes)
{
  auto& stream = *static_cast<Stream*>(aUser);
  if (stream.unsent.empty()) {
    auto chunk = stream.next();
    if (chunk.broken) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (chunk.bytes.empty()) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    stream.unsent = std::move(chunk.bytes);
  }
  const auto count = std::min(aMaxBytes, stream.unsent.size());
  std::copy_n(stream.unsent.data(), count, aBuffer);
  stream.unsent.erase(0, count);
  return static_cast<ssize_t>(count);
}

void
FreeStream(void* aUser)
{
  delete static_cast<Stream*>(aUser);
}

MHD_Response*
MakeResponse(const HttpResponse& aAnswer)
{
  MHD_Response* response = nullptr;
  if (aAnswer.stream) {
    response = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN,
      kStreamBlockBytes,
      &ReadStream,
      new Stream{ aAnswer.stream, aAnswer.body },
      &FreeStream);
  } else {
    response =
      MHD_create_response_from_buffer(aAnswer.body.size(),
                                      const_cast<char*>(aAnswer.body.data()),
                                      MHD_RESPMEM_MUST_COPY);
  }
  for (const auto& [name, value] : aAnswer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  return response;
}

MHD_Result
Handle(void* aSelf,
       MHD_Connection* aConnection,
       const char* aUrl,
       const char* aMethod,
       const char*,
       const char* aBody,
       std::size_t* aBodySize,
       void** aRequestState)
{
  if (*aRequestState == nullptr) {
    auto request = std::make_unique<HttpRequest>();
    request->method = aMethod;
    request->path = aUrl;
    MHD_get_connection_values(
      aConnection, MHD_GET_ARGUMENT_KIND, &CollectValue, &request->query);
    MHD_get_connection_values(
      aConnection, MHD_HEADER_KIND, &CollectValue, &request->headers);
    *aRequestState = request.release();
    return MHD_YES;
  }
  auto& request = *static_cast<HttpRequest*>(*aRequestState);
  if (*aBodySize > 0) {
    request.body.append(aBody, *aBodySize);
    *aBodySize = 0;
    return MHD_YES;
  }
  const auto answer = static_cast<HttpServer*>(aSelf)->OnRequest()(request);
  if (answer.drop) {
    return MHD_NO;
  }
  auto* response = MakeResponse(answer);
  const auto result = MHD_queue_response(
    aConnection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return result;
}

void
DeleteRequest(void*,
              MHD_Connection*,
              void** aRequestState,
              MHD_RequestTerminationCode)
{
  delete static_cast<HttpRequest*>(*aRequestState);
  *aRequestState = nullptr;
}

}

HttpServer::HttpServer(const base::Address& aAddress, Handler aHandler)
  : m_handler(std::move(aHandler))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  constexpr unsigned kStackBytes = 256 * 1024;
  m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
                                MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                              0,
                              nullptr,
                              nullptr,
                              &Handle,
                              this,
                              MHD_OPTION_SOCK_ADDR,
                              &address,
                              MHD_OPTION_NOTIFY_COMPLETED,
                              &DeleteRequest,
                              nullptr,
                              MHD_OPTION_THREAD_STACK_SIZE,
                              static_cast<std::size_t>(kStackBytes),
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (m_daemon == nullptr) {
    throw base::Error(base::ErrorCode::Unreachable,
                      "cannot listen on " + aAddress.Text());
  }
}

HttpServer::~HttpServer()
{
  MHD_stop_daemon(m_daemon);
}

void
ServeUntilStopped(const base::Address& aAddress, HttpServer::Handler aHandler)
{
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  const HttpServer server(aAddress, std::move(aHandler));
  int signal = 0;
  sigwait(&stop, &signal);
  _Exit(0); // streams in progress need not be completed
}

void
AddRetryAfter(HttpResponse& aResponse, int aMillis)
{
  if (aMillis > 0) {
    aResponse.headers["Retry-After"] = std::to_string(aMillis / 1000.0);
  }
}

}
