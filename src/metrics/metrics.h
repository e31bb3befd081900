#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace hemlockgauge::metrics {

class LatencyHistogram;

//! Counters, gauges and latency histograms of the process; thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  //! Adds aBy to a counter. aName includes its labels, for example
  //! "requests_total{verdict=\"ran\"}".
  void Count(std::string_view aName, std::uint64_t aBy = 1);
  //! Sets a gauge. aName includes its labels.
  void Set(std::string_view aName, double aValue);
  //! Adds a latency to a histogram. aName has no labels.
  void Observe(std::string_view aName, double aMillis);

  //! All metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
    m_latencies;
};

}
