#pragma once

#include "fleet/streamtypes.h"
#include "fleet/upstreamlist.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::fleet {

//! Tells whether a service's upstreams have all had the same software version
//! for some time, according to a list that the store has confirmed throughout.
class VersionHistory
{
public:
  //! Applies changes of the upstream list.
  void Apply(const std::vector<EntryUpdate>& aUpdates, TimePoint aNow);
  //! Records that the store confirmed the list as of aAt. After a longer time
  //! without, upstreams may have come and gone unseen.
  void RecordProof(TimePoint aAt);
  //! Returns the version of all upstreams that served within the last aWindow;
  //! empty if there was more than one, or may have been.
  std::optional<VersionId> OnlyVersion(std::string_view aService,
                                       Duration aWindow,
                                       TimePoint aNow) const;

private:
  struct ServiceVersions
  {
    std::map<VersionId, std::size_t> listed; //!< upstreams by version
    VersionId only = VersionId::Unknown;     //!< the only one since onlySince
    TimePoint onlySince{};
  };

  void Count(const UpstreamEntryPtr& aEntry, bool aIsListed);
  static void Follow(ServiceVersions& aVersions, TimePoint aNow);

  std::map<std::string, ServiceVersions, std::less<>> m_services;
  std::optional<TimePoint> m_provenSince;
  TimePoint m_provenAt{};
};

}
