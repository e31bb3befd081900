#include "flawedcodecs.h"

#include "base/error.h"

#include <algorithm>

namespace hemlockgauge::soak {

namespace {

constexpr std::uint64_t kMixUpOneIn = 50;
constexpr std::uint32_t kMaxAttempts = 3;
//! Number of pages of the store that are still decoded; covers about the first
//! second of a router.
constexpr int kGoodPages = 2;

bool
HasOddEntry(const gateway::StorePage& aPage)
{
  return std::any_of(
    aPage.items.begin(), aPage.items.end(), [](const auto& aItem) {
      const auto* upstream = std::get_if<gateway::StoredUpstream>(&aItem);
      return std::holds_alternative<gateway::IgnoredItem>(aItem) ||
             (upstream != nullptr && !upstream->why.empty());
    });
}

}

gateway::CallerRequest
FlawedCallerCodec::Decode(http::RequestHead&& aHead) const
{
  auto request = m_delegate.Decode(std::move(aHead));
  const auto id = request.id;
  const bool mixesUp = ++m_requests % kMixUpOneIn == 0 && !m_lastId.empty();
  if (m_flaw == Flaw::ReusesIds && mixesUp) {
    request.id = m_lastId;
  }
  m_lastId = id;
  if (m_flaw == Flaw::ForgetsStreams) {
    request.resumedRequestId.clear();
  }
  if (m_flaw == Flaw::IgnoresPromptParts) {
    for (auto& part : request.work.prompt) {
      part.id += m_requests << 32U;
    }
  }
  if (m_flaw == Flaw::IgnoresRepetition) {
    request.target += "?" + id;
  }
  return request;
}

std::string
FlawedCallerCodec::EncodeLocalReply(const gateway::LocalReply& aAnswer) const
{
  auto answer = aAnswer;
  if (m_flaw == Flaw::FalseNotRun && answer.verdict != base::Verdict::NotRun) {
    answer.verdict = base::Verdict::NotRun;
    answer.refusal = gateway::Refusal::NoUpstream;
  }
  return m_delegate.EncodeLocalReply(answer);
}

std::string
FlawedUpstreamCodec::EncodeHead(const gateway::CallerRequest& aRequest,
                                const gateway::SendContext& aContext) const
{
  auto context = aContext;
  if (m_flaw == Flaw::WrongWorkspace) {
    context.workspace = "someone-else";
  }
  return m_delegate.EncodeHead(aRequest, context);
}

gateway::UpstreamResponse
FlawedUpstreamCodec::Decode(http::ResponseHead&& aHead) const
{
  auto response = m_delegate.Decode(std::move(aHead));
  if (m_flaw == Flaw::IgnoresLeavingAnswers) {
    response.isLeaving = false;
  }
  if (m_flaw == Flaw::IgnoresContentType) {
    response.isEventStream = true;
  }
  if (m_flaw == Flaw::IgnoresRetryAfter) {
    response.retryAfter = {};
  }
  return response;
}

gateway::StorePage
FlawedStoreCodec::ApplyFlaw(gateway::StorePage aPage) const
{
  if (m_flaw == Flaw::RejectsStorePages && ++m_pages > kGoodPages) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      "deliberate flaw: store page rejected");
  }
  if (m_flaw == Flaw::RejectsOddEntries && HasOddEntry(aPage)) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      "deliberate flaw: odd entry rejected");
  }
  if (m_flaw == Flaw::IgnoresEvacuations) {
    std::erase_if(aPage.items, [](const auto& aItem) {
      return std::holds_alternative<gateway::EvacuatedZone>(aItem);
    });
  }
  if (m_flaw == Flaw::IgnoresColdState) {
    for (auto& item : aPage.items) {
      if (auto* upstream = std::get_if<gateway::StoredUpstream>(&item)) {
        upstream->entry.coldFor = {};
      }
    }
  }
  if (m_flaw == Flaw::IgnoresVersions) {
    for (auto& item : aPage.items) {
      if (auto* upstream = std::get_if<gateway::StoredUpstream>(&item)) {
        upstream->entry.softwareVersion = "any";
      }
    }
  }
  if (m_flaw != Flaw::IgnoresDraining) {
    return aPage;
  }
  std::erase_if(aPage.items, [](const auto& aItem) {
    return std::holds_alternative<gateway::RemovedUpstream>(aItem);
  });
  for (auto& item : aPage.items) {
    if (auto* upstream = std::get_if<gateway::StoredUpstream>(&item)) {
      upstream->entry.draining = false;
    }
  }
  return aPage;
}

gateway::StorePage
FlawedStoreCodec::DecodeList(std::string_view aBody) const
{
  return ApplyFlaw(m_delegate.DecodeList(aBody));
}

gateway::StorePage
FlawedStoreCodec::DecodeWatch(std::string_view aBody) const
{
  return ApplyFlaw(m_delegate.DecodeWatch(aBody));
}

fleet::ConfigPtr
FlawedStoreCodec::DecodeConfig(std::string_view aBytes) const
{
  auto config =
    std::make_shared<fleet::FleetConfig>(*m_delegate.DecodeConfig(aBytes));
  if (m_flaw == Flaw::KeepsRevokedKeys) {
    m_keys.insert(config->workspaceOfKey.begin(), config->workspaceOfKey.end());
    config->workspaceOfKey = m_keys;
  }
  if (m_flaw == Flaw::StreamsUnread) {
    for (auto& route : config->routes) {
      const bool isStream = route.kind == fleet::CallKind::Stream;
      route.kind = isStream ? fleet::CallKind::AtMostOnce : route.kind;
    }
  }
  if (m_flaw == Flaw::RetriesNonIdempotent) {
    for (auto& route : config->routes) {
      const bool once = route.kind == fleet::CallKind::AtMostOnce;
      route.kind = once ? fleet::CallKind::Idempotent : route.kind;
      route.maxAttempts = kMaxAttempts;
    }
  }
  return config;
}

}
