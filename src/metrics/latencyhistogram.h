#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <vector>

namespace hemlockgauge::metrics {

//! Histogram of latencies in ms, with logarithmic bins from 0.1 ms to 100 s.
class LatencyHistogram
{
public:
  static constexpr unsigned kBins = 1200;

  void Add(double aMillis)
  {
    m_sum += aMillis;
    m_count++;
    m_histogram(aMillis);
  }

  std::uint64_t Count() const { return m_count; }
  double Sum() const { return m_sum; }

  //! Upper edge, in ms, of the bin that contains the quantile (0 to 1); 0 if
  //! the histogram is empty.
  double Quantile(double aQuantile) const
  {
    const double rank = aQuantile * static_cast<double>(m_count);
    double cumulative = 0;
    for (auto&& bin : boost::histogram::indexed(
           m_histogram, boost::histogram::coverage::all)) {
      cumulative += static_cast<double>(*bin);
      if (cumulative >= rank && m_count > 0) {
        return bin.bin().upper();
      }
    }
    return 0;
  }

  //! Number of values in the bins whose upper edge is at most aMillis.
  std::uint64_t CumulativeCount(double aMillis) const
  {
    std::uint64_t cumulative = 0;
    for (auto&& bin : boost::histogram::indexed(
           m_histogram, boost::histogram::coverage::all)) {
      if (bin.bin().upper() > aMillis * 1.0001) {
        break;
      }
      cumulative += static_cast<std::uint64_t>(*bin);
    }
    return cumulative;
  }

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> m_histogram{
    boost::histogram::make_histogram(Axis(kBins, 0.1, 100000.0))
  };
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

}
