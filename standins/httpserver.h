#pragma once

#include "base/address.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct MHD_Daemon;

namespace hemlockgauge::standins {

struct HttpRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers; //!< lower-case names
  std::string body;
};

//! The next part of a streamed body.
struct Chunk
{
  std::string bytes;   //!< empty: the stream has ended
  bool broken = false; //!< close the connection before the body is complete
};

struct HttpResponse
{
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  //! If set, supplies the body after `body`, part by part; may block.
  std::function<Chunk()> stream;
  //! Close the connection without sending a response.
  bool drop = false;
};

//! Adds a Retry-After field; none if aMillis is 0.
void
AddRetryAfter(HttpResponse& aResponse, int aMillis);

//! HTTP server with one thread per connection.
class HttpServer
{
public:
  using Handler = std::function<HttpResponse(const HttpRequest& aRequest)>;

  HttpServer(const base::Address& aAddress, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Handler& OnRequest() const { return m_handler; }

private:
  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
};

//! Serves until SIGTERM or SIGINT, then exits the process with status 0 without
//! completing responses in progress. Throws base::Error(Unreachable) if the
//! address cannot be bound.
void
ServeUntilStopped(const base::Address& aAddress, HttpServer::Handler aHandler);

}
