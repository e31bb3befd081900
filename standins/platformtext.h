#pragma once

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace hemlockgauge::standins {

//! The fields of a request in the wire format of the platform's callers.
struct CallText
{
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string key;
  std::int64_t deadlineMs = 4000;
  std::uint32_t promptTokens = 0; //!< 0: not a generation request
  std::uint32_t outputTokens = 0;
  std::string promptParts; //!< "ID:TOKENS,..."
  //! Of a request that resumes a stream: the id of the request that began it,
  //! and the number of the last event that the caller has.
  std::string resumes;
  int lastEvent = 0;
  std::string body;
};

//! Returns the HTTP/1.1 request as sent on the connection.
std::string
EncodeCall(const CallText& aCall);

//! Returns the attempt id in the headers of an answer; empty if missing.
std::string
ResponseAttemptId(const http::HeaderList& aHeaders);

//! Returns the id of the upstream stand-in that made an answer; empty if the
//! answer has no seal.
std::string
ResponseUpstream(const http::HeaderList& aHeaders);

//! Whether an answer says that its upstream leaves.
bool
ResponseSaysLeaving(const http::HeaderList& aHeaders);

}
