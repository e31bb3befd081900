#pragma once

#include "document/documentparser.h"
#include "metrics/metrics.h"
#include "standins/httpserver.h"
#include "traffic/internal/keydigest.h"
#include "traffic/itraffic.h"
#include "traffic/trafficmodule.h"

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hemlockgauge::traffic::tests {

using namespace std::chrono_literals;

inline bool
WaitUntil(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 3000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

//! Sends each request to one fixed upstream immediately and records the outcome
//! of each attempt.
class ControlMock : public IControl
{
public:
  ControlMock(ITraffic& aTraffic, base::Address aUpstream)
    : m_traffic(aTraffic)
    , m_upstream(std::move(aUpstream))
  {
  }

  void Post(decision::Event aEvent) override
  {
    if (const auto* queued = std::get_if<decision::RequestQueued>(&aEvent)) {
      m_traffic.Send(
        { queued->request,
          base::UpstreamId(1),
          m_upstream,
          1,
          permissionExpired ? base::TimePoint{} : queued->deadline });
    } else if (const auto* ended =
                 std::get_if<decision::AttemptEnded>(&aEvent)) {
      Record(*ended);
    } else {
      abandoned++;
    }
  }

  bool IsReady() const override { return true; }
  AdminPage RenderAdminPage(const std::string&, const std::string&) override
  {
    return {};
  }

  std::vector<decision::AttemptOutcome> Outcomes()
  {
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
  }

  //! The last attempt that ended.
  decision::AttemptEnded LastEnded()
  {
    const std::lock_guard lock(m_mutex);
    return m_lastEnded;
  }

  std::atomic<int> abandoned{ 0 };
  std::atomic<bool> permissionExpired{ false };

private:
  void Record(const decision::AttemptEnded& aEnded)
  {
    {
      const std::lock_guard lock(m_mutex);
      m_outcomes.push_back(aEnded.outcome);
      m_lastEnded = aEnded;
    }
    using decision::AttemptOutcome;
    const bool notRun = aEnded.outcome == AttemptOutcome::ConnectFailed ||
                        aEnded.outcome == AttemptOutcome::Refused ||
                        aEnded.outcome == AttemptOutcome::NotSent;
    if (aEnded.outcome != AttemptOutcome::Completed) {
      m_traffic.Refuse(
        { aEnded.request,
          decision::RefusalReason::UpstreamFailed,
          notRun ? base::Verdict::NotRun : base::Verdict::MayHaveRun,
          base::Duration(1500) });
    }
  }

  ITraffic& m_traffic;
  base::Address m_upstream;
  std::mutex m_mutex;
  std::vector<decision::AttemptOutcome> m_outcomes;
  decision::AttemptEnded m_lastEnded;
};

struct CallerAnswer
{
  CURLcode result = CURLE_OK;
  long status = 0;
  std::string body;
  std::string headers;

  bool HasHeader(const std::string& aHeader) const
  {
    return headers.find(aHeader) != std::string::npos;
  }
};

//! Longer than the scheduling pauses of an overloaded machine, which would
//! otherwise look like a stalled upstream.
constexpr int kLongStallLimitMs = 20000;

//! Runs a traffic plane in front of one scripted upstream.
class TrafficFixture
{
public:
  using Handler = standins::HttpServer::Handler;

  TrafficFixture(std::uint16_t aPort,
                 const std::string& aKind,
                 Handler aHandler,
                 bool aRepeatable = false,
                 int aStallLimitMs = kLongStallLimitMs,
                 const document::RouterSettings& aSettings = SmallBodies())
    : m_port(aPort)
  {
    const base::Address upstream{ "127.0.0.1",
                                  static_cast<std::uint16_t>(aPort + 2) };
    if (aHandler) {
      m_upstream =
        std::make_unique<standins::HttpServer>(upstream, std::move(aHandler));
    }
    auto settings = aSettings;
    settings.id = "r1";
    settings.listen = { "127.0.0.1", aPort };
    settings.adminListen = { "127.0.0.1",
                             static_cast<std::uint16_t>(aPort + 1) };
    traffic = MakeTraffic(settings, 1, metrics);
    control = std::make_unique<ControlMock>(*traffic, upstream);
    traffic->Start(*control);
    const auto text =
      "[service]\nname = s\npath_prefix = /s\n" +
      std::string(aRepeatable ? "repeatable_path = /s\n" : "") +
      "[upstream]\npool = p\nkind = " + aKind +
      "\nconcurrency = 4\nstall_limit_ms = " + std::to_string(aStallLimitMs) +
      "\n[workspace:w]\nkey_sha256 = " + Sha256Hex("key") + "\n";
    traffic->SetDocument({ 1,
                           std::make_shared<const document::ServiceDocument>(
                             document::ParseDocument("s", text)) });
  }

  static document::RouterSettings SmallBodies()
  {
    document::RouterSettings settings;
    settings.maxBodyBytes = 4096;
    settings.callerTimeout = base::Duration(700);
    return settings;
  }

  ~TrafficFixture()
  {
    traffic->Stop();
    m_upstream.reset();
  }

  CallerAnswer Call(const std::string& aBody = "{}",
                    const std::string& aKey = "key",
                    const std::string& aPath = "/s/x",
                    long aTimeoutMs = 20000)
  {
    CallerAnswer answer;
    auto* curl = curl_easy_init();
    curl_slist* headers = nullptr;
    const auto key = "Authorization: Bearer " + aKey;
    headers = curl_slist_append(headers, key.c_str());
    headers = curl_slist_append(headers, "Expect:");
    const auto url = "http://127.0.0.1:" + std::to_string(m_port) + aPath;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, aTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aBody.c_str());
    curl_easy_setopt(
      curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, Append);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer.headers);
    answer.result = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return answer;
  }

  std::uint16_t Port() const { return m_port; }

  metrics::Metrics metrics;
  std::unique_ptr<ITraffic> traffic;
  std::unique_ptr<ControlMock> control;

private:
  static std::size_t Append(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aOut)
  {
    static_cast<std::string*>(aOut)->append(aData, aSize * aCount);
    return aSize * aCount;
  }

  std::uint16_t m_port;
  std::unique_ptr<standins::HttpServer> m_upstream;
};

}
