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

//! What a streamed answer does next.
struct Chunk
{
  std::string bytes; //!< empty: the stream is over
  bool broken = false;
};

struct HttpResponse
{
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  //! If set, called again and again for the body; may block.
  std::function<Chunk()> stream;
  //! Close the connection without an answer.
  bool drop = false;
};

//! A small server with a thread for each connection.
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

//! Serves until SIGTERM or SIGINT.
void
ServeUntilStopped(const base::Address& aAddress, HttpServer::Handler aHandler);

}
