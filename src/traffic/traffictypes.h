#pragma once

#include "base/basetypes.h"
#include "base/verdict.h"
#include "document/documenttypes.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::traffic {

//! What a caller sent, and what the filters found out about it.
struct CallerRequest
{
  base::RequestId id{};
  std::string idText; //!< unique in the fleet; goes to upstream and caller
  std::string method;
  std::string path;
  std::string query;
  std::string contentType;
  std::string idempotencyKey; //!< passed on as it came
  std::string bearerKey;      //!< never logged; wiped once checked
  std::string body;           //!< never logged
  std::shared_ptr<const document::ServiceDocument> service;
  const document::Workspace* workspace = nullptr;
  bool repeatable = false;
  base::TimePoint receivedAt{};
  base::TimePoint deadline{};
};

//! An answer that this router gives itself.
struct Refusal
{
  int status = 503;
  std::string reason;
  base::Verdict verdict = base::Verdict::NotRun;
  base::Duration retryAfter{}; //!< 0: no use in coming back
};

}
