#pragma once

#include "fleet/news.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace hemlockgauge::fleet {

//! What this router believes of the store, in a form that other routers can
//! follow: each change has a number, and whoever missed too many gets all.
class NewsLog
{
public:
  explicit NewsLog(std::uint64_t aLife);

  void SetConfig(std::uint64_t aVersion, const std::string& aBytes);
  //! Notes what differs from the last call.
  void SetUpstreams(const std::map<std::string, UpstreamEntry>& aEntries);
  //! All that are in force.
  void SetEvacuations(const std::vector<Evacuation>& aAll);

  //! Whether the store was listed: who has just started and was told nothing
  //! must not be taken for an empty store.
  bool IsKnown() const { return m_hasUpstreams; }
  bool HasNews(const NewsAsk& aAsk) const;
  //! Whether the asker needs the whole list of upstreams. One that comes from
  //! another source mostly has the same list already.
  bool WantsAll(const NewsAsk& aAsk) const;
  //! The same at all routers with the same list; 0: there is none yet.
  std::uint64_t Digest() const;
  //! Rises with each change.
  std::uint64_t Sequence() const { return m_sequence; }
  //! The whole list alone, the same for whoever asks.
  News All() const;
  //! aProofAge: since the store proved what is told.
  News Answer(const NewsAsk& aAsk, Duration aProofAge) const;

private:
  struct Change
  {
    std::uint64_t sequence = 0;
    std::string id; //!< empty: of the evacuations
  };

  bool KnowsSince(const NewsAsk& aAsk) const;
  void Note(const std::string& aId);
  std::vector<UpstreamEntry> Listed() const;

  std::uint64_t m_life;
  std::uint64_t m_sequence = 1;
  std::uint64_t m_configVersion = 0;
  std::string m_config;
  bool m_hasUpstreams = false;
  std::map<std::string, UpstreamEntry> m_upstreams;
  std::vector<Evacuation> m_evacuations;
  std::deque<Change> m_changes;
  mutable std::uint64_t m_digest = 0; //!< 0: not worked out since a change
};

}
