#pragma once

#include "decision/decisiontypes.h"

#include <functional>

namespace hemlockgauge::platform {

//! Reads what the platform publishes and load from upstreams; it never
//! writes. Events are posted from a thread of its own.
class IPlatformClient
{
public:
  using Post = std::function<void(decision::Event aEvent)>;

  virtual ~IPlatformClient() = default;

  virtual void Start(Post aPost) = 0;
  //! Watch on, or only read once in a while.
  virtual void SetWatching(bool aOn) = 0;
  virtual void PollLoad(const decision::PollLoad& aPoll) = 0;
  //! Looks whether an upstream still listens.
  virtual void CheckUpstream(const decision::CheckUpstream& aCheck) = 0;
  virtual void Stop() = 0;
  //! Age of the last good answer of the platform; huge if there was none.
  virtual base::Duration AnswerAge() const = 0;
};

}
