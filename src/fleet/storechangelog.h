#pragma once

#include "fleet/storeupdate.h"
#include "fleet/upstreamlist.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! A log of the changes of the store's contents, from which other routers are
//! kept up to date. Each change has a sequence number. A requester that missed
//! more changes than the log holds gets the whole list.
class StoreChangeLog
{
public:
  //! aIncarnation: of this router. aUpstreams must outlive the log.
  StoreChangeLog(std::uint64_t aIncarnation, const UpstreamList& aUpstreams);

  //! Stores the configuration if aVersion is newer than the stored one.
  void SetConfig(std::uint64_t aVersion, const std::string& aBytes);
  //! Logs the changes of the upstream list since the previous call.
  void LogUpstreams(const std::vector<EntryUpdate>& aUpdates);
  //! Replaces the evacuations; aAll holds all that are in force.
  void SetEvacuations(const std::vector<Evacuation>& aAll);

  //! Whether LogUpstreams was called. Distinguishes a router that has just
  //! started and knows nothing yet from an empty store.
  bool IsKnown() const { return m_hasUpstreams; }
  //! Whether there is anything that the requester doesn't have.
  bool HasUpdateFor(const StoreUpdateRequest& aAsk) const;
  //! Whether the requester needs the whole upstream list: the log doesn't
  //! reach back to its state, and its digest differs. A requester that changes
  //! its source usually has the same list already.
  bool NeedsFullList(const StoreUpdateRequest& aAsk) const;
  //! Digest of the upstream list, equal at all routers that have the same list.
  //! 0: the list is not known yet.
  std::uint64_t Digest() const;
  //! Number of the last change.
  std::uint64_t Sequence() const { return m_sequence; }
  //! Returns the whole upstream list as an unproven answer that doesn't depend
  //! on the requester.
  StoreUpdate FullList() const;
  //! Answers aAsk. aProofAge is the time since the store confirmed the state
  //! of this log.
  StoreUpdate Answer(const StoreUpdateRequest& aAsk, Duration aProofAge) const;

private:
  struct Change
  {
    std::uint64_t sequence = 0;
    std::string id; //!< of the upstream; empty: the evacuations changed
  };

  bool CoversSince(const StoreUpdateRequest& aAsk) const;
  void LogChange(const std::string& aId);
  //! Ids of the upstreams that changed after aSequence, each once.
  std::vector<std::string> ChangedSince(std::uint64_t aSequence) const;
  std::vector<UpstreamEntry> AllEntries() const;

  std::uint64_t m_incarnation;
  const UpstreamList& m_upstreams;
  std::uint64_t m_sequence = 1;
  std::uint64_t m_configVersion = 0;
  std::string m_config;
  bool m_hasUpstreams = false;
  std::vector<Evacuation> m_evacuations;
  std::deque<Change> m_changes; //!< with consecutive sequence numbers
};

}
