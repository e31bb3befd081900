#pragma once

#include "decision/decisiontypes.h"

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::router {

//! Logs each decision and keeps the log lines of the last kMaxRequests
//! requests.
class DecisionLog
{
public:
  explicit DecisionLog(std::string aRequestPrefix);

  void Record(const decision::DecisionRecord& aRecord);
  //! The log lines of one request, oldest first.
  std::vector<std::string> Explain(const std::string& aRequestId) const;

private:
  static constexpr std::size_t kMaxRequests = 20000;

  std::string m_prefix;
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, std::vector<std::string>> m_lines;
  std::deque<std::string> m_requestOrder;
};

}
