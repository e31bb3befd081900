#include "metrics/metrics.h"

#include "metrics/latencyhistogram.h"

#include <fmt/format.h>

#include <array>

namespace hemlockgauge::metrics {

namespace {

constexpr std::string_view kPrefix = "hemlockgauge_";
constexpr std::array kBucketBoundsMs{ 1.0,    5.0,     10.0,   25.0,  50.0,
                                      100.0,  250.0,   350.0,  500.0, 1000.0,
                                      2500.0, 10000.0, 60000.0 };

std::string
NameWithoutLabels(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

template<typename Table>
void
AppendTable(std::string& aOut, const Table& aTable, std::string_view aType)
{
  std::string lastBase;
  for (const auto& [name, value] : aTable) {
    const auto base = NameWithoutLabels(name);
    if (base != lastBase) {
      aOut += fmt::format("# TYPE {}{} {}\n", kPrefix, base, aType);
      lastBase = base;
    }
    aOut += fmt::format("{}{} {}\n", kPrefix, name, value);
  }
}

}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName, std::uint64_t aBy)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_counters.find(aName);
  if (found != m_counters.end()) {
    found->second += aBy;
    return;
  }
  m_counters.emplace(aName, aBy);
}

void
Metrics::Set(std::string_view aName, double aValue)
{
  const std::lock_guard lock(m_mutex);
  m_gauges[std::string(aName)] = aValue;
}

void
Metrics::Observe(std::string_view aName, double aMillis)
{
  const std::lock_guard lock(m_mutex);
  auto found = m_latencies.find(aName);
  if (found == m_latencies.end()) {
    found =
      m_latencies.emplace(aName, std::make_unique<LatencyHistogram>()).first;
  }
  found->second->Add(aMillis);
}

std::string
Metrics::Text() const
{
  const std::lock_guard lock(m_mutex);
  std::string out;
  AppendTable(out, m_counters, "counter");
  AppendTable(out, m_gauges, "gauge");
  for (const auto& [name, latency] : m_latencies) {
    out += fmt::format("# TYPE {}{} histogram\n", kPrefix, name);
    for (const double bound : kBucketBoundsMs) {
      out += fmt::format("{}{}_bucket{{le=\"{}\"}} {}\n",
                         kPrefix,
                         name,
                         bound,
                         latency->CumulativeCount(bound));
    }
    out += fmt::format("{0}{1}_bucket{{le=\"+Inf\"}} {2}\n{0}{1}_sum {3}\n"
                       "{0}{1}_count {2}\n",
                       kPrefix,
                       name,
                       latency->Count(),
                       latency->Sum());
  }
  return out;
}

}
