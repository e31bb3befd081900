#pragma once

#include "http/httptypes.h"

#include <cstdint>
#include <string>

namespace hemlockgauge::standins {

//! A request as a caller of the platform sends it.
struct CallText
{
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string key;
  std::int64_t deadlineMs = 4000;
  std::uint32_t promptTokens = 0; //!< 0: not a generation
  std::uint32_t outputTokens = 0;
  std::string promptParts; //!< "ID:TOKENS,..."
  std::string body;
};

std::string
EncodeCall(const CallText& aCall);

//! Which request an answer names; empty if none.
std::string
AnsweredRequest(const http::HeaderList& aHeaders);

}
