#pragma once

#include "fleet/fleettypes.h"

#include <algorithm>

namespace hemlockgauge::fleet {

//! What requests take of an engine's memory, learned from those that began
//! here lately. Routers tell each other what has to be read; what else fills
//! the engines' memories is taken to follow it in the same proportion.
class MemoryUse
{
public:
  //! aReadTokens, aCopiedTokens: of the prompt, that the engine lacked.
  void Begun(const Work& aWork, double aReadTokens, double aCopiedTokens)
  {
    const double output = aWork.outputTokens;
    Learn(m_weight, 1.0);
    Learn(m_read, aReadTokens);
    Learn(m_filled, aReadTokens + aCopiedTokens + output);
    Learn(m_running, aWork.OwnTokens() + kOutputHalf * output);
  }

  //! Tokens that come into the memory for each one that is read.
  double FilledPerRead() const
  {
    return m_read > 0 ? std::clamp(m_filled / m_read, 1.0, kFilledMost) : 1.0;
  }
  //! Tokens that a running request has for itself, in the mean.
  double TokensOfRunning() const
  {
    return m_weight > 0 ? m_running / m_weight : 0.0;
  }

private:
  //! Weight of one more request: the last hundred or so count.
  static constexpr double kGain = 0.01;
  //! Of its output a running request has made half, in the mean.
  static constexpr double kOutputHalf = 0.5;
  //! Where all prompts are copied, nothing is learned of what is read.
  static constexpr double kFilledMost = 4.0;

  static void Learn(double& aSum, double aSample)
  {
    aSum += kGain * (aSample - aSum);
  }

  double m_weight = 0; //!< of all samples; 1 once there are many
  double m_read = 0;
  double m_filled = 0;
  double m_running = 0;
};

}
