#pragma once

#include "base/enumnames.h"

#include <map>
#include <mutex>
#include <string>

namespace hemlockgauge::standins {

enum class FaultKind
{
  Die,        //!< the process exits immediately
  Silence,    //!< the answer stops halfway, its connection stays open
  Late,       //!< the answer is delayed
  Cross,      //!< the answer carries the id of another request
  CrossEvent, //!< events of a stream carry the id of another request
  Truncate,   //!< the connection closes halfway through the answer
  Drop,       //!< the request runs, then the connection closes unanswered
  Refuse,     //!< the answer is 503 with X-Not-Run
  Fail        //!< the answer is 500
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

//! Injected faults: for each kind, the number of answers still to be affected.
class Faults
{
public:
  //! Lets the next aCount answers have the fault.
  void Inject(FaultKind aKind, int aCount);
  //! Returns true if this answer must have the fault, and decrements the count.
  bool Take(FaultKind aKind);

private:
  std::mutex m_mutex;
  std::map<FaultKind, int> m_remaining;
};

//! Injects the fault of the query "kind=NAME&count=N" (default count: 1), or
//! exits the process for "die". Returns false if the kind is unknown.
bool
InjectFault(Faults& aFaults, const std::map<std::string, std::string>& aQuery);

}
