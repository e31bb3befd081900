#pragma once

#include "decision/decisiontypes.h"

#include <functional>

namespace hemlockgauge::platform {

//! Reads documents and hosts from the platform and the load of upstreams; never
//! writes. Posts the results as events, from its own threads.
class IPlatformClient
{
public:
  using Post = std::function<void(decision::Event aEvent)>;

  virtual ~IPlatformClient() = default;

  virtual void Start(Post aPost) = 0;
  //! Watches the platform for changes (true) or polls it at a long interval
  //! (false).
  virtual void SetWatching(bool aOn) = 0;
  //! Queues a load query; posts LoadReported if the upstream answers.
  virtual void PollLoad(const decision::PollLoad& aPoll) = 0;
  //! Checks whether an upstream still listens; posts UpstreamChecked.
  virtual void CheckUpstream(const decision::CheckUpstream& aCheck) = 0;
  virtual void Stop() = 0;
  //! Time since the last successful answer of the platform; very large if there
  //! was none.
  virtual base::Duration AnswerAge() const = 0;
};

}
