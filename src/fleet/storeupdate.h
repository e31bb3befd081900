#pragma once

#include "fleet/evacuations.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! Request of one router to another for what changed in the platform's store.
struct StoreUpdateRequest
{
  //! Incarnation of the router that the requester's state is from; 0: none.
  std::uint64_t incarnation = 0;
  //! Number of the last change that the requester knows of that incarnation.
  std::uint64_t sequence = 0;
  std::uint64_t configVersion = 0; //!< that the requester has; 0: none
  //! Digest of the upstream list that the requester has, see
  //! StoreChangeLog::Digest; 0: not given.
  std::uint64_t digest = 0;
};

//! Whether an answer holds data, and whether the store has confirmed it.
enum class StoreUpdateState : std::uint8_t
{
  Proven,   //!< the store confirmed the data proofAge ago
  Unproven, //!< the upstream list alone; the answer to the next request
            //!< confirms it
  Pending   //!< no data yet; the list is still being read or queued to be sent
};

//! Answer to a StoreUpdateRequest: the changes of the store since the
//! requester's state.
struct StoreUpdate
{
  StoreUpdateState state = StoreUpdateState::Proven;
  std::uint64_t incarnation = 0; //!< incarnation of the router that answers
  std::uint64_t sequence = 0;    //!< last change that the answer includes
  bool isFullList =
    false;             //!< upstreams is the whole list, not the changes alone
  Duration proofAge{}; //!< time since the store confirmed this state
  Duration waited{};   //!< time from the request to this answer
  std::string config;  //!< as the store holds it; empty: nothing newer
  std::vector<UpstreamEntry> upstreams;
  std::vector<std::string> removed; //!< ids of upstreams that were removed
  //! All evacuations in force; without a value: not included in this answer.
  std::optional<std::vector<Evacuation>> evacuations;
};

}
