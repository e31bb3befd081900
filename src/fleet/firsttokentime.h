#pragma once

#include <limits>

namespace hemlockgauge::fleet {

//! Learns how long a service's engines take to the first token: a fixed time
//! plus time in proportion to the tokens prefilled before it. Engines of some
//! services add a hundred milliseconds to every first token, whatever its
//! length. Without a fixed part of its own, that time would count as slow
//! prefill of short prompts and make predictions for long ones too long.
//!
//! Least squares over recent first tokens, which count less with each newer
//! one. Two assumed first tokens keep the fit defined while there are few.
class FirstTokenTime
{
public:
  FirstTokenTime();

  //! Adds a first token of a mean engine. aTokens: prefilled up to it, those of
  //! other requests included; aMillis: since the request was sent. A far longer
  //! time than predicted counts as an outlier, in part only.
  void Learn(double aTokens, double aMillis);
  double PredictMs(double aTokens) const
  {
    return m_fixedMs + aTokens / m_tokensPerMs;
  }
  //! Whether even the fastest recent first tokens took much longer than an
  //! engine step. Only then the fit is used: elsewhere it would take waits that
  //! this router did not know of for a fixed time, and more would be admitted
  //! the longer they are.
  bool HasNotableFixedTime() const;
  //! Time in ms that does not depend on the tokens.
  double FixedMs() const { return m_fixedMs; }
  double TokensPerMs() const { return m_tokensPerMs; }

private:
  void Add(double aTokens, double aMillis, double aWeight);
  void Fit();
  void UpdateLeast(double aMillis);

  double m_fixedMs;
  double m_tokensPerMs;
  //! Weighted sums over the first tokens.
  double m_weight = 0;
  double m_tokens = 0;
  double m_millis = 0;
  double m_squaredTokens = 0;
  double m_tokensByMillis = 0;
  //! Least times in the current and the previous window of first tokens.
  double m_leastMs = std::numeric_limits<double>::infinity();
  double m_previousLeastMs = 0;
  int m_inWindow = 0;
};

//! How slow one engine is compared to the FirstTokenTime of its service. One
//! factor for both parts, so that few first tokens tell it.
class EngineSlowness
{
public:
  //! 1: as fast as predicted; 2: takes twice as long.
  double Factor() const { return m_factor; }
  //! aPredictedMs: see FirstTokenTime::PredictMs.
  void Learn(double aPredictedMs, double aMillis);

private:
  double m_factor = 1;
  int m_samples = 0;
};

}
