#pragma once

#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockgauge::fleet {

//! Estimates which prompt parts the upstreams hold in their KV caches, from the
//! requests that this and other routers sent. Engines evict the least recently
//! used parts when new ones need the space, so age is counted in tokens that
//! entered the KV cache of an average engine since, and nothing expires while
//! no tokens enter it.
//!
//! Callers choose the parts, so that the number of entries is limited, too: the
//! longest unused ones make room.
class PrefixMap
{
public:
  //! An upstream that holds a prompt part.
  struct Holder
  {
    UpstreamId upstream{};
    double lastUse = 0; //!< value of m_enteredTokens at the last use
    double lastReported =
      0; //!< the same, at the last use that all routers know
    //! Number of the last use among all uses: those of equal lastUse differ in
    //! it.
    std::uint64_t lastTouch = 0;
  };

  //! Sets how many tokens enter an engine's KV cache until it has evicted a
  //! part that was not used meanwhile.
  void SetRetainedTokens(double aTokens) { m_retainedTokens = aTokens; }
  //! Limits the pairs of a part and an upstream. Each takes some 120 bytes.
  void SetMaxHolders(std::size_t aHolders) { m_maxHolders = aHolders; }
  //! Records that a request used aPart at aUpstream, cached or not, as another
  //! router reported.
  void RecordUse(std::uint64_t aPart, UpstreamId aUpstream);
  //! Records the same of a request of this router. Returns whether to report
  //! it: while many requests share a prefix, one report in a fraction of its
  //! lifetime is enough to keep it known.
  bool RecordOwnUse(std::uint64_t aPart, UpstreamId aUpstream);
  //! Tokens of the prompt's leading parts that aUpstream is estimated to hold.
  std::uint32_t HeldTokens(const Work& aWork, UpstreamId aUpstream) const;
  //! The upstreams that are estimated to hold aPart, in unspecified order.
  std::vector<UpstreamId> HoldersOf(std::uint64_t aPart) const;
  //! Records that aTokens more entered the KV cache of an average engine.
  void AddEnteredTokens(double aTokens) { m_enteredTokens += aTokens; }
  //! Drops expired entries.
  void Forget();
  //! Calls Forget once in a fraction of the entries' lifetime, as it visits all
  //! entries. Expired entries are never used, whether dropped or not.
  void ForgetIfDue();
  //! The number of pairs of a part and an upstream, expired ones included.
  std::size_t Size() const { return m_size; }

private:
  //! A fraction of the time until an unused entry expires: of that order are
  //! the delays of reports of uses and of dropping expired entries.
  static constexpr double kRefreshRatio = 1.0 / 16;

  bool IsExpired(const Holder& aHolder) const
  {
    return m_enteredTokens - aHolder.lastUse > m_retainedTokens;
  }
  //! Whether a fraction of the lifetime passed since m_enteredTokens was aAt.
  bool IsRefreshDue(double aAt) const
  {
    return m_enteredTokens - aAt > kRefreshRatio * m_retainedTokens;
  }
  //! Returns the holder, and whether it is new.
  std::pair<Holder&, bool> Touch(std::uint64_t aPart, UpstreamId aUpstream);
  void EvictIfFull();
  template<typename Predicate>
  void EraseHolders(const Predicate& aShouldErase);

  double m_retainedTokens = kDefaultPromptCacheTokens;
  //! Tokens that have entered the KV cache of an average engine.
  double m_enteredTokens = 0;
  std::size_t m_maxHolders = kDefaultMaxPrefixHolders;
  std::size_t m_size = 0; //!< of all lists in m_holders
  std::uint64_t m_touches = 0;
  double m_forgottenAt = 0; //!< value of m_enteredTokens at the last Forget
  std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
};

}
