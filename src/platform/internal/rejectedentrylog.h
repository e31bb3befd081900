#pragma once

#include "platform/internal/platformjson.h"

#include <set>
#include <string>
#include <vector>

namespace hemlockgauge::platform {

//! Logs entries of a list that is read again and again. An entry that stays
//! invalid for the same reason is logged once.
class RejectedEntryLog
{
public:
  explicit RejectedEntryLog(std::string aListName);

  //! Takes the rejected entries of the newest list. Returns how many of them
  //! the list before did not have; only the first few of these are logged
  //! one by one.
  std::size_t Update(const std::vector<RejectedEntry>& aRejected);

private:
  std::string m_listName;
  std::set<RejectedEntry> m_known;
};

}
