#include "traffic/internal/upstreamworker.h"

#include "base/monotonicclock.h"
#include "metrics/metrics.h"
#include "traffic/internal/transfer.h"

namespace hemlockgauge::traffic {

namespace {

constexpr int kPollTimeoutMs = 20;
constexpr long kMaxIdleConnections = 256;
constexpr long kCancelTimeoutMs = 1000;

std::size_t
Discard(char*, std::size_t aSize, std::size_t aCount, void*)
{
  return aSize * aCount;
}

}

UpstreamWorker::UpstreamWorker(metrics::Metrics& aMetrics, OnEnded aOnEnded)
  : m_metrics(aMetrics)
  , m_onEnded(std::move(aOnEnded))
  , m_multi(curl_multi_init())
{
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  m_thread = std::thread([this] { Run(); });
}

UpstreamWorker::~UpstreamWorker()
{
  Stop();
  for (auto& [id, transfer] : m_transfers) {
    if (transfer->Handle() != nullptr) {
      curl_multi_remove_handle(m_multi, transfer->Handle());
    }
  }
  m_transfers.clear();
  curl_multi_cleanup(m_multi);
}

void
UpstreamWorker::Begin(std::shared_ptr<Exchange> aExchange,
                      const decision::SendRequest& aSend)
{
  const std::lock_guard lock(m_mutex);
  m_commands.push_back({ std::move(aExchange), aSend });
  curl_multi_wakeup(m_multi);
}

void
UpstreamWorker::Unpause(base::RequestId aRequest)
{
  decision::SendRequest which;
  which.request = aRequest;
  const std::lock_guard lock(m_mutex);
  m_commands.push_back({ nullptr, which });
  curl_multi_wakeup(m_multi);
}

void
UpstreamWorker::Stop()
{
  m_stop = true;
  curl_multi_wakeup(m_multi);
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
UpstreamWorker::Run()
{
  while (!m_stop) {
    ProcessCommands();
    StartDueResumes();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    ProcessCompletions();
    AbortStalled();
    curl_multi_poll(m_multi, nullptr, 0, kPollTimeoutMs, nullptr);
  }
}

void
UpstreamWorker::ProcessCommands()
{
  std::vector<Command> commands;
  {
    const std::lock_guard lock(m_mutex);
    commands.swap(m_commands);
  }
  for (auto& command : commands) {
    if (command.exchange) {
      Start(command);
      continue;
    }
    const auto found = m_transfers.find(command.send.request);
    if (found != m_transfers.end()) {
      found->second->Unpause();
    }
  }
}

//! The command may have waited while the process was paused, so validUntil is
//! checked again right before the first byte is sent.
void
UpstreamWorker::Start(Command& aCommand)
{
  const auto now = base::MonotonicNow();
  if (aCommand.exchange->IsCallerGone()) {
    m_onEnded(
      { aCommand.send.request, decision::AttemptOutcome::CallerGone, false });
    return;
  }
  if (now > aCommand.send.validUntil) {
    m_onEnded(
      { aCommand.send.request, decision::AttemptOutcome::NotSent, false });
    return;
  }
  auto transfer =
    std::make_unique<Transfer>(std::move(aCommand.exchange), aCommand.send);
  const auto id = transfer->Id();
  transfer->CallerExchange().SetDrainedCallback([this, id] { Unpause(id); });
  auto& kept = m_transfers[id];
  kept = std::move(transfer);
  OpenTry(*kept);
}

void
UpstreamWorker::OpenTry(Transfer& aTransfer)
{
  curl_multi_add_handle(m_multi, aTransfer.Open(base::MonotonicNow()));
}

void
UpstreamWorker::StartDueResumes()
{
  const auto now = base::MonotonicNow();
  std::vector<base::RequestId> later;
  for (const auto id : m_resuming) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
      continue;
    }
    if (!found->second->IsDueToResume(now)) {
      later.push_back(id);
      continue;
    }
    m_metrics.Count(found->second->ChecksEnd() ? "upstream_end_checks_total"
                                               : "upstream_resumes_total");
    OpenTry(*found->second);
  }
  m_resuming = std::move(later);
}

void
UpstreamWorker::ProcessCompletions()
{
  int left = 0;
  while (const auto* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    auto* handle = message->easy_handle;
    const auto result = message->data.result;
    void* owner = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &owner);
    if (owner == nullptr) { // a request of CancelStream
      curl_multi_remove_handle(m_multi, handle);
      curl_easy_cleanup(handle);
      continue;
    }
    EndTry(*static_cast<Transfer*>(owner), result, false);
  }
}

void
UpstreamWorker::AbortStalled()
{
  const auto now = base::MonotonicNow();
  std::vector<Transfer*> stalled;
  for (const auto& [id, transfer] : m_transfers) {
    if (transfer->Handle() != nullptr && transfer->IsStalled(now)) {
      stalled.push_back(transfer.get());
    }
  }
  for (auto* transfer : stalled) {
    m_metrics.Count("upstream_stalls_total");
    EndTry(*transfer, CURLE_OPERATION_TIMEDOUT, true);
  }
}

void
UpstreamWorker::EndTry(Transfer& aTransfer, CURLcode aResult, bool aStalled)
{
  curl_multi_remove_handle(m_multi, aTransfer.Handle());
  const auto next =
    aTransfer.FinishTry(aResult, aStalled, base::MonotonicNow());
  aTransfer.DropHandle();
  if (next != Transfer::Next::Done) {
    m_resuming.push_back(aTransfer.Id());
    return;
  }
  Close(aTransfer);
}

void
UpstreamWorker::Close(Transfer& aTransfer)
{
  if (aTransfer.NeedsCancel()) {
    CancelStream(aTransfer);
  }
  const decision::AttemptEnded ended{ aTransfer.Id(),
                                      aTransfer.Outcome(),
                                      aTransfer.UpstreamLeaving(),
                                      aTransfer.RetryAfter() };
  aTransfer.CallerExchange().SetDrainedCallback({});
  m_transfers.erase(aTransfer.Id());
  m_onEnded(ended);
}

void
UpstreamWorker::CancelStream(const Transfer& aTransfer)
{
  auto* curl = curl_easy_init();
  const auto url = aTransfer.StreamUrl();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PRIVATE, nullptr);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kCancelTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Discard);
  curl_multi_add_handle(m_multi, curl);
}

}
