#pragma once

#include "base/basetypes.h"

#include <cstddef>

namespace hemlockgauge::decision {

//! A token bucket that limits the bytes of control traffic this router sends.
class ByteBudget
{
public:
  void Advance(base::TimePoint aNow);
  bool Allows(std::size_t aBytes) const;
  //! The budget may become negative; later frames wait until it has recovered.
  void Charge(std::size_t aBytes);

private:
  bool m_started = false;
  base::TimePoint m_last{};
  double m_tokens = 0;
};

}
