#pragma once

#include "base/enumnames.h"

#include <map>
#include <mutex>
#include <string>

namespace hemlockgauge::standins {

enum class FaultKind
{
  Die,        //!< the process ends at once
  Silence,    //!< one answer stops in the middle, its connection stays open
  Late,       //!< one answer comes late
  Cross,      //!< one answer carries another request's id
  CrossEvent, //!< one event in a stream carries another request's id
  Truncate,   //!< one answer is cut in the middle
  Drop,       //!< the connection closes after the request was read and run
  Refuse,     //!< answers 503 with X-Not-Run
  Fail        //!< answers 500
};

inline constexpr auto kFaultKindNames =
  base::MakeEnumNames<FaultKind>("die",
                                 "silence",
                                 "late",
                                 "cross",
                                 "cross-event",
                                 "truncate",
                                 "drop",
                                 "refuse",
                                 "fail");

//! Faults that were ordered, each for a number of answers.
class Faults
{
public:
  void Order(FaultKind aKind, int aCount);
  //! True if this answer shall have the fault; counts it down.
  bool Take(FaultKind aKind);

private:
  std::mutex m_mutex;
  std::map<FaultKind, int> m_left;
};

//! Takes "kind=NAME&count=N"; false if there is no such kind.
bool
OrderFault(Faults& aFaults, const std::map<std::string, std::string>& aQuery);

}
