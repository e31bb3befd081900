#pragma once

#include "base/address.h"
#include "platform/internal/rejectedentrylog.h"
#include "platform/iplatformclient.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace hemlockgauge::platform {

//! Runs four threads: documents, hosts, load of upstreams, and checks of
//! upstreams whose connections broke. A watch request that gets no answer times
//! out and is sent again.
class PlatformClient : public IPlatformClient
{
public:
  explicit PlatformClient(base::Address aPlatform);
  ~PlatformClient() override;

  void Start(Post aPost) override;
  void SetWatching(bool aOn) override;
  void PollLoad(const decision::PollLoad& aPoll) override;
  void CheckUpstream(const decision::CheckUpstream& aCheck) override;
  void Stop() override;
  base::Duration AnswerAge() const override;

private:
  void RunDocuments();
  void RunHosts();
  void RunLoads();
  void RunChecks();
  void ReadDocuments(std::uint64_t aAfter, base::Duration aWait);
  void RecordAnswer();
  void LogFailure(const char* aWhat, const std::string& aWhy);
  //! Sleeps for aTime; returns early on Stop or when SetWatching changes the
  //! mode.
  void Pause(base::Duration aTime);

  base::Address m_platform;
  Post m_post;
  std::atomic<bool> m_stop{ false };
  std::atomic<bool> m_watching{ true };
  std::atomic<std::int64_t> m_lastAnswer{ INT64_MIN / 2 };
  std::uint64_t m_version = 0;
  std::map<std::string, std::uint64_t> m_readRevisions;
  //! Each is used by the thread alone that reads the list.
  RejectedEntryLog m_rejectedDocuments{ "documents" };
  RejectedEntryLog m_rejectedHosts{ "hosts" };
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<decision::PollLoad> m_polls;
  std::deque<decision::CheckUpstream> m_checks;
  std::thread m_documents;
  std::thread m_hosts;
  std::thread m_loads;
  std::thread m_checker;
};

}
