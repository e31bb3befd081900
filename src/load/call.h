#pragma once

#include "load/plan.h"

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockgauge::load {

using Clock = std::chrono::steady_clock;

//! Outcome of one attempt of a call.
enum class CallOutcome
{
  Complete,   //!< complete response, equal to the expected one
  NotRun,     //!< refused or not connected; the request did not run
  MayHaveRun, //!< failed without a "not run" verdict
  Cut,        //!< connection or stream broke
  Wrong,      //!< success with another body than the expected one
  Lost        //!< timed out
};

//! One request of a caller, with its retries and the check of its response.
class Call
{
public:
  Call(const WorkspacePlan& aPlan,
       std::size_t aWorkspace,
       std::uint64_t aSeed,
       std::uint32_t aTokens);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  //! Prepares the next attempt at aRouter (IP:PORT).
  CURL* Open(const std::string& aRouter);
  //! Ends the attempt with curl's result and returns its outcome.
  CallOutcome Close(CURLcode aResult);
  std::size_t Workspace() const { return m_workspace; }
  const WorkspacePlan& Plan() const { return m_plan; }
  Clock::time_point StartedAt() const { return m_startedAt; }
  const std::vector<double>& TokenGapsMs() const { return m_tokenGapsMs; }
  double FirstTokenMs() const { return m_firstTokenMs; }
  std::uint32_t Attempts() const { return m_attempts; }
  long Status() const { return m_status; }
  double RetryAfterSeconds() const { return m_retryAfterSeconds; }
  std::uint32_t Tokens() const { return m_tokens; }

private:
  static std::size_t OnBody(char*, std::size_t, std::size_t, void*);
  static std::size_t OnHeader(char*, std::size_t, std::size_t, void*);
  void AppendBody(std::string_view aBytes);
  bool IsComplete() const;

  const WorkspacePlan& m_plan;
  std::size_t m_workspace;
  std::uint64_t m_seed;
  std::uint32_t m_tokens;
  std::string m_body;
  std::string m_response;
  std::string m_verdict;
  double m_retryAfterSeconds = 0;
  long m_status = 0;
  std::uint32_t m_attempts = 0;
  CURL* m_handle = nullptr;
  curl_slist* m_headers = nullptr;
  Clock::time_point m_startedAt = Clock::now();
  Clock::time_point m_lastTokenAt{};
  double m_firstTokenMs = 0;
  std::vector<double> m_tokenGapsMs;
};

}
