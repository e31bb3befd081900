#include "load/loadrun.h"

#include "base/address.h"
#include "load/simpleget.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace hemlockgauge::load {

namespace {

constexpr int kPollTimeoutMs = 2;
constexpr std::uint32_t kMaxAttempts = 5;
constexpr std::size_t kMaxOpenCalls = 2000;
constexpr double kMinRetryDelaySeconds = 0.2;

}

LoadRun::LoadRun(const Plan& aPlan)
  : m_plan(aPlan)
  , m_multi(curl_multi_init())
  , m_random(aPlan.seed)
  , m_sources(aPlan.workspaces.size())
  , m_tallies(aPlan.workspaces.size())
  , m_nextSeed(aPlan.seed * 1000000)
{
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1024L);
  for (std::size_t i = 0; i < m_sources.size(); ++i) {
    m_sources[i].nextArrival = aPlan.workspaces[i].startSecond;
  }
}

LoadRun::~LoadRun()
{
  for (const int socket : m_idleSockets) {
    close(socket);
  }
  m_calls.clear();
  curl_multi_cleanup(m_multi);
}

double
LoadRun::Seconds() const
{
  return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void
LoadRun::Run()
{
  OpenIdleConnections();
  const double end = m_plan.seconds + m_plan.drainSeconds;
  while (Seconds() < end) {
    const bool over = Seconds() >= m_plan.seconds;
    if (over && m_calls.empty() && m_retries.empty()) {
      break;
    }
    if (!over) {
      StartDueRequests();
    }
    StartDueRetries();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    HandleCompletedAttempts();
    PrintProgress();
    curl_multi_poll(m_multi, nullptr, 0, kPollTimeoutMs, nullptr);
  }
  for (const auto& [key, call] : m_calls) {
    m_tallies[call->Workspace()].lost++;
  }
  for (const auto& retry : m_retries) {
    m_tallies[retry.call->Workspace()].lost++;
  }
  CountDoubleRuns();
}

void
LoadRun::StartDueRequests()
{
  const double now = Seconds();
  for (std::size_t i = 0; i < m_sources.size(); ++i) {
    const auto& plan = m_plan.workspaces[i];
    auto& source = m_sources[i];
    if (now < plan.startSecond || now >= plan.stopSecond) {
      continue;
    }
    while (source.inProgress < plan.closed && m_calls.size() < kMaxOpenCalls) {
      StartRequest(i);
    }
    while (plan.rate > 0 && source.nextArrival <= now &&
           m_calls.size() < kMaxOpenCalls) {
      std::exponential_distribution<double> gap(plan.rate);
      source.nextArrival += gap(m_random);
      StartRequest(i);
    }
  }
}

std::string
LoadRun::NextRouter(std::size_t aWorkspace)
{
  const auto& plan = m_plan.workspaces[aWorkspace];
  const auto turn = m_sources[aWorkspace].nextRouter++;
  const auto index = plan.routers.empty()
                       ? turn % m_plan.routers.size()
                       : plan.routers[turn % plan.routers.size()];
  return m_plan.routers[index];
}

void
LoadRun::StartRequest(std::size_t aWorkspace)
{
  const auto& plan = m_plan.workspaces[aWorkspace];
  std::uniform_int_distribution<std::uint32_t> tokens(plan.tokensLow,
                                                      plan.tokensHigh);
  m_tallies[aWorkspace].asked++;
  m_sources[aWorkspace].inProgress++;
  StartAttempt(
    std::make_unique<Call>(plan, aWorkspace, m_nextSeed++, tokens(m_random)));
}

void
LoadRun::StartAttempt(std::unique_ptr<Call> aCall)
{
  auto* handle = aCall->Open(NextRouter(aCall->Workspace()));
  curl_multi_add_handle(m_multi, handle);
  auto* key = aCall.get();
  m_calls[key] = std::move(aCall);
}

void
LoadRun::StartDueRetries()
{
  const double now = Seconds();
  std::vector<std::unique_ptr<Call>> due;
  for (auto& retry : m_retries) {
    if (retry.at <= now) {
      due.push_back(std::move(retry.call));
    }
  }
  std::erase_if(m_retries,
                [](const PendingRetry& aItem) { return !aItem.call; });
  for (auto& call : due) {
    StartAttempt(std::move(call));
  }
}

void
LoadRun::HandleCompletedAttempts()
{
  int left = 0;
  while (const auto* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto result = message->data.result;
    char* owner = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
    auto* key = reinterpret_cast<Call*>(owner);
    curl_multi_remove_handle(m_multi, message->easy_handle);
    auto call = std::move(m_calls[key]);
    m_calls.erase(key);
    const auto end = call->Close(result);
    HandleOutcome(std::move(call), end);
  }
}

//! Counts the outcome of an attempt. Retries at the next router if that is
//! safe: always after "not run", but after a cut or a "may have run" only if
//! the request is repeatable.
void
LoadRun::HandleOutcome(std::unique_ptr<Call> aCall, CallOutcome aOutcome)
{
  auto& tally = m_tallies[aCall->Workspace()];
  const bool mayRetry =
    aOutcome == CallOutcome::NotRun ||
    (aCall->Plan().repeatable &&
     (aOutcome == CallOutcome::Cut || aOutcome == CallOutcome::MayHaveRun));
  if (aOutcome == CallOutcome::Cut) {
    tally.cut++;
  }
  if (mayRetry && aCall->Attempts() < kMaxAttempts) {
    if (aOutcome == CallOutcome::NotRun) {
      tally.refusedNotRun++;
    }
    const double wait =
      std::max(kMinRetryDelaySeconds, aCall->RetryAfterSeconds());
    m_retries.push_back({ Seconds() + wait, std::move(aCall) });
    return;
  }
  m_sources[aCall->Workspace()].inProgress--;
  switch (aOutcome) {
    case CallOutcome::Complete:
      tally.answered++;
      tally.tokens += aCall->Tokens();
      if (aCall->Attempts() == 1) {
        tally.firstToken.Add(aCall->FirstTokenMs());
      }
      for (const double gap : aCall->TokenGapsMs()) {
        tally.betweenTokens.Add(gap);
      }
      break;
    case CallOutcome::NotRun:
      tally.refusedNotRun++;
      break;
    case CallOutcome::MayHaveRun:
      tally.mayHaveRun++;
      break;
    case CallOutcome::Cut:
      break;
    case CallOutcome::Wrong:
      tally.wrong++;
      break;
    case CallOutcome::Lost:
      tally.lost++;
      break;
  }
}

void
LoadRun::PrintProgress()
{
  const double now = Seconds();
  if (isatty(STDERR_FILENO) == 0 || now - m_lastProgressAt < 0.5) {
    return;
  }
  m_lastProgressAt = now;
  std::uint64_t answered = 0;
  for (const auto& tally : m_tallies) {
    answered += tally.answered;
  }
  std::cerr << fmt::format(
    "\r{:6.1f}s answered={} open={}   ", now, answered, m_calls.size());
}

void
LoadRun::OpenIdleConnections()
{
  const auto address = base::ParseAddress(m_plan.routers.front());
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  for (std::uint32_t i = 0; i < m_plan.idleConnections; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0) {
      m_idleSockets.push_back(socket);
    }
  }
}

void
LoadRun::CountDoubleRuns()
{
  for (const auto& upstream : m_plan.upstreams) {
    const auto page =
      nlohmann::json::parse(SimpleGet(upstream, "/-/runs"), nullptr, false);
    if (!page.is_object()) {
      continue;
    }
    for (const auto& key : page["doubled"]) {
      const auto text = key.get<std::string>();
      const auto name = text.substr(0, text.rfind('-'));
      for (const auto& plan : m_plan.workspaces) {
        m_doubleRuns += plan.name == name && !plan.repeatable ? 1 : 0;
      }
    }
  }
}

std::string
LoadRun::Summary(const FleetSampler::Result& aFleet) const
{
  std::string lines;
  const auto put = [&](const std::string& aName, const Tally& aTally) {
    lines += fmt::format(
      "event=load workspace={} asked={} answered={} refused_not_run={} "
      "may_have_run={} cut={} lost={} wrong={} tokens={} first_token_ms_p50="
      "{:.1f} first_token_ms_p95={:.1f} first_token_ms_p99={:.1f} "
      "between_ms_p50={:.1f} between_ms_p95={:.1f} between_ms_p99={:.1f}\n",
      aName,
      aTally.asked,
      aTally.answered,
      aTally.refusedNotRun,
      aTally.mayHaveRun,
      aTally.cut,
      aTally.lost,
      aTally.wrong,
      aTally.tokens,
      aTally.firstToken.Quantile(0.5),
      aTally.firstToken.Quantile(0.95),
      aTally.firstToken.Quantile(0.99),
      aTally.betweenTokens.Quantile(0.5),
      aTally.betweenTokens.Quantile(0.95),
      aTally.betweenTokens.Quantile(0.99));
  };
  Tally all;
  for (std::size_t i = 0; i < m_tallies.size(); ++i) {
    const auto& one = m_tallies[i];
    put(m_plan.workspaces[i].name, one);
    all.asked += one.asked;
    all.answered += one.answered;
    all.refusedNotRun += one.refusedNotRun;
    all.mayHaveRun += one.mayHaveRun;
    all.cut += one.cut;
    all.lost += one.lost;
    all.wrong += one.wrong;
    all.tokens += one.tokens;
  }
  lines +=
    fmt::format("event=load-summary asked={} answered={} refused_not_run={} "
                "may_have_run={} cut={} lost={} doubled={} wrong={} tokens={} "
                "gap_worst_s={:.2f} gap_mean_s={:.2f} gap_end_s={:.2f} "
                "utilisation={:.4f} control_bytes_per_router_s={:.0f} "
                "control_bytes_most_s={:.0f} invariants_broken={} verdict={}\n",
                all.asked,
                all.answered,
                all.refusedNotRun,
                all.mayHaveRun,
                all.cut,
                all.lost,
                m_doubleRuns,
                all.wrong,
                all.tokens,
                aFleet.worstGapSeconds,
                aFleet.meanGapSeconds,
                aFleet.endGapSeconds,
                aFleet.utilisation,
                aFleet.controlBytesPerRouterSecond,
                aFleet.maxControlBytesPerRouterSecond,
                aFleet.invariantsBroken,
                IsGood() ? "good" : "bad");
  return lines;
}

bool
LoadRun::IsGood() const
{
  return m_doubleRuns == 0 &&
         std::all_of(
           m_tallies.begin(), m_tallies.end(), [](const Tally& aItem) {
             return aItem.lost == 0 && aItem.wrong == 0;
           });
}

}
