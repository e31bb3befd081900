#pragma once

#include "base/basetypes.h"
#include "fleet/evacuations.h"
#include "fleet/fleettypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::gateway {

//! Receives the content of the platform's store in order, whether it was read
//! from the store itself or from another router.
class IStoreUpdateEvents
{
public:
  virtual ~IStoreUpdateEvents() = default;

  //! The store was reachable at aAt. Called before the content as of aAt.
  virtual void OnStoreReached(base::TimePoint aAt) = 0;
  //! One page of a listing arrived, and more are to come.
  virtual void OnListProgress() {}
  virtual void OnConfigStored(const std::string& aBytes) = 0;
  //! All upstreams that are listed now; replaces earlier ones.
  virtual void OnUpstreamsListed(
    const std::vector<fleet::UpstreamEntry>& aEntries) = 0;
  //! An upstream's entry is new or has changed.
  virtual void OnUpstreamChanged(const fleet::UpstreamEntry& aEntry) = 0;
  virtual void OnUpstreamRemoved(const std::string& aId) = 0;
  //! All evacuations that are in force now; replaces earlier ones.
  virtual void OnEvacuationsListed(
    const std::vector<fleet::Evacuation>& aAll) = 0;
  virtual void OnZoneEvacuated(const fleet::Evacuation& aEvacuation) = 0;
  virtual void OnZoneRestored(const std::string& aZone) = 0;
  //! The store's whole content as of aAt has been delivered. Called at the end
  //! of each response.
  virtual void OnProven(base::TimePoint aAt) = 0;
  virtual void OnStoreLost(const std::string& aWhy) = 0;
};

//! A source that delivers the content of the platform's store and its changes.
class IStoreUpdateSource
{
public:
  virtual ~IStoreUpdateSource() = default;

  //! To be called at NextTickAt(), or earlier.
  virtual void Tick(base::TimePoint aNow) = 0;
  //! Time of the next call, response timeout or connection attempt.
  virtual base::TimePoint NextTickAt() const = 0;
  //! Whether part of an answer has arrived.
  virtual bool IsReceivingAnswer() const { return false; }
};

}
