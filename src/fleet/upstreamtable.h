#pragma once

#include "fleet/upstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace hemlockgauge::fleet {

class Evacuations;

//! The usable upstreams by id and by service, with each service's capacity.
//!
//! A router of a large fleet sends requests to few of the upstreams that it
//! knows. The capacity is therefore kept up to date with each change of an
//! upstream, and the upstreams that run requests of this router are listed
//! apart, so that work in each report interval does not grow with the number
//! of upstreams.
class UpstreamTable
{
public:
  using Services = std::map<std::string, Service, std::less<>>;

  //! Applies the services' settings from a configuration. The capacity follows
  //! with the next Tick.
  void SetServices(const Services& aServices);
  //! Adds an upstream or updates its entry.
  void Put(const UpstreamEntryPtr& aEntry,
           const Evacuations& aEvacuations,
           TimePoint aNow);
  void Remove(UpstreamId aUpstream);
  //! Records that an upstream stated that it is leaving.
  void SetLeaving(UpstreamId aUpstream, TimePoint aNow);
  //! Pauses an upstream. Its capacity still counts, as it serves other routers.
  void SetPause(UpstreamId aUpstream, TimePoint aUntil, TimePoint aNow);
  //! Applies changed evacuations. The upstreams of a restored zone count as
  //! cold for aColdFor: they may have become cold without work, and only their
  //! next heartbeats report it.
  void SetEvacuations(const Evacuations& aEvacuations,
                      Duration aColdFor,
                      TimePoint aNow);
  //! Updates the capacity of services whose settings changed, and by the
  //! upstreams whose cold time or pause has ended.
  void Tick(TimePoint aNow);

  //! Returns null if the upstream is not listed or not usable.
  const Upstream* Find(UpstreamId aUpstream) const;
  Upstream* Find(UpstreamId aUpstream);
  //! Returns null if the service is not configured and has no upstreams.
  const ServiceUpstreams* FindService(std::string_view aName) const;
  //! Counts as a Find of each upstream.
  const std::map<UpstreamId, Upstream>& All() const;
  const std::map<std::string, ServiceUpstreams, std::less<>>& ByService() const
  {
    return m_services;
  }
  //! Number of Find calls that returned an upstream; shows whether the work of
  //! a router follows its requests or the number of upstreams.
  std::uint64_t Examined() const { return m_examined; }
  //! The upstreams that run requests of this router.
  const std::set<UpstreamId>& Busy() const { return m_busy; }

  void BeginRequest(UpstreamId aUpstream);
  void EndRequest(UpstreamId aUpstream);
  //! Learns the speed of an engine and its service from a first token, see
  //! PrefillRate::Learn and FirstTokenTime::Learn.
  void LearnPrefill(Upstream& aUpstream, double aTokens, double aMillis);
  //! Records a failed request; see UpstreamHealth::Failed. An upstream is not
  //! ejected if too many of its service are. Returns true if this ejects it.
  bool RecordFailure(UpstreamId aUpstream, TimePoint aNow);

private:
  bool MayEject(const Upstream& aUpstream, TimePoint aNow);
  //! Adds the upstream to the service that its entry names, or removes it.
  void Link(UpstreamId aId, Upstream& aUpstream, TimePoint aNow);
  void Unlink(UpstreamId aId, Upstream& aUpstream);
  void EndPauses(TimePoint aNow);
  //! Updates the upstream's part in its service's capacity.
  void Count(UpstreamId aId, Upstream& aUpstream, TimePoint aNow);
  static void Uncount(Upstream& aUpstream);

  std::map<UpstreamId, Upstream> m_upstreams;
  //! The configured services and those that entries name.
  std::map<std::string, ServiceUpstreams, std::less<>> m_services;
  std::set<UpstreamId> m_busy;
  std::set<UpstreamId> m_cold;    //!< as of the last Count of each
  std::set<UpstreamId> m_paused;  //!< as of the last Tick
  std::set<UpstreamId> m_ejected; //!< may contain some whose ejection ended
  mutable std::uint64_t m_examined = 0;
};

}
