#pragma once

#include "base/basetypes.h"

#include <cstddef>

namespace hemlockgauge::decision {

//! A token bucket over the bytes this router sends for control.
class ByteBudget
{
public:
  void Advance(base::TimePoint aNow);
  bool Allows(std::size_t aBytes) const;
  //! May go into debt, which later frames wait for.
  void Charge(std::size_t aBytes);

private:
  bool m_started = false;
  base::TimePoint m_last{};
  double m_tokens = 0;
};

}
