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
//!
//! Two routers' lists differ by at most kMaxListProofGap while both are
//! confirmed. If no router lets streams begin at a version that is new to it,
//! no stream has begun at a version that another router does not know.
class VersionHistory
{
public:
  //! Applies changes of the upstream list.
  void Apply(const std::vector<EntryUpdate>& aUpdates, TimePoint aNow);
  //! Records that the store confirmed the list as of aAt. After a longer time
  //! without, upstreams may have come and gone unseen.
  void RecordProof(TimePoint aAt);
  //! Returns the version of all upstreams at which streams may have begun
  //! within the last aWindow; empty if there was more than one, or may have
  //! been.
  std::optional<VersionId> OnlyVersion(std::string_view aService,
                                       Duration aWindow,
                                       TimePoint aNow) const;
  //! How much longer another router may not know this version: it joined, or
  //! replaced, another version less than kMaxListProofGap ago. 0 if all know
  //! it.
  Duration NewFor(std::string_view aService,
                  VersionId aVersion,
                  TimePoint aNow) const;

private:
  //! A version that is listed, or was within the last kOnlyVersionMargin.
  struct ListedVersion
  {
    std::size_t upstreams = 0;
    TimePoint since{};
    TimePoint unlistedAt{}; //!< if upstreams is 0
  };

  struct ServiceVersions
  {
    std::map<VersionId, ListedVersion> versions;
    VersionId only = VersionId::Unknown; //!< the only one since onlySince
    TimePoint onlySince{};
  };

  void Add(const UpstreamEntryPtr& aEntry, TimePoint aNow);
  void Remove(const UpstreamEntryPtr& aEntry, TimePoint aNow);
  static void Follow(ServiceVersions& aVersions, TimePoint aNow);

  std::map<std::string, ServiceVersions, std::less<>> m_services;
  std::optional<TimePoint> m_provenSince;
  TimePoint m_provenAt{};
};

}
