#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace hemlockgauge::metrics {

class LatencyHistogram;

//! Counters, gauges and latencies of the process, for every thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  //! aName with its labels, as "requests_total{verdict=\"ran\"}".
  void Count(std::string_view aName, std::uint64_t aBy = 1);
  void Set(std::string_view aName, double aValue);
  //! aName without labels.
  void Observe(std::string_view aName, double aMillis);

  //! All of it in the text exposition format.
  std::string Text() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
    m_latencies;
};

}
