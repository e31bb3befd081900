#pragma once

#include "load/plan.h"

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockgauge::load {

using Clock = std::chrono::steady_clock;

enum class CallEnd
{
  Whole,      //!< byte for byte what was expected
  NotRun,     //!< refused, and said not to have run
  MayHaveRun, //!< refused, and said that it may have run
  Cut,        //!< visibly broken
  Wrong,      //!< claimed to be whole and was not, or another's answer
  Lost        //!< no end in time
};

//! One request of a caller and the check of its answer.
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

  CURL* Open(const std::string& aRouter);
  CallEnd Close(CURLcode aResult);
  std::size_t Workspace() const { return m_workspace; }
  const WorkspacePlan& Plan() const { return m_plan; }
  Clock::time_point AskedAt() const { return m_askedAt; }
  const std::vector<double>& TokenGapsMs() const { return m_gaps; }
  double FirstTokenMs() const { return m_firstToken; }
  std::uint32_t Tries() const { return m_tries; }
  long Status() const { return m_status; }
  double RetryAfterSeconds() const { return m_retryAfter; }
  std::uint32_t Tokens() const { return m_tokens; }

private:
  static std::size_t OnBody(char*, std::size_t, std::size_t, void*);
  static std::size_t OnHeader(char*, std::size_t, std::size_t, void*);
  void TakeBody(std::string_view aBytes);
  bool IsWhole() const;

  const WorkspacePlan& m_plan;
  std::size_t m_workspace;
  std::uint64_t m_seed;
  std::uint32_t m_tokens;
  std::string m_body;
  std::string m_answer;
  std::string m_verdict;
  double m_retryAfter = 0;
  long m_status = 0;
  std::uint32_t m_tries = 0;
  CURL* m_handle = nullptr;
  curl_slist* m_headers = nullptr;
  Clock::time_point m_askedAt = Clock::now();
  Clock::time_point m_lastToken{};
  double m_firstToken = 0;
  std::vector<double> m_gaps;
};

}
