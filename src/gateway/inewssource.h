#pragma once

#include "base/basetypes.h"
#include "fleet/evacuations.h"
#include "fleet/fleettypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::gateway {

//! Told what the platform's store holds, in order, whoever says it.
class INewsEvents
{
public:
  virtual ~INewsEvents() = default;

  //! The store was there at aAt; comes before what it held then.
  virtual void OnStoreReached(base::TimePoint aAt) = 0;
  virtual void OnStoredConfig(const std::string& aBytes) = 0;
  //! Every upstream that is listed now.
  virtual void OnListed(const std::vector<fleet::UpstreamEntry>& aEntries) = 0;
  virtual void OnUpstream(const fleet::UpstreamEntry& aEntry) = 0;
  virtual void OnRemoved(const std::string& aId) = 0;
  //! Every evacuation that is in force now.
  virtual void OnEvacuations(const std::vector<fleet::Evacuation>& aAll) = 0;
  virtual void OnEvacuated(const fleet::Evacuation& aEvacuation) = 0;
  virtual void OnRestored(const std::string& aZone) = 0;
  //! All that the store held at aAt has been told. Ends each answer.
  virtual void OnProven(base::TimePoint aAt) = 0;
  virtual void OnStoreLost(const std::string& aWhy) = 0;
};

//! Keeps up with what the platform's store holds.
class INewsSource
{
public:
  virtual ~INewsSource() = default;

  //! To be called many times a second.
  virtual void Tick(base::TimePoint aNow) = 0;
};

}
