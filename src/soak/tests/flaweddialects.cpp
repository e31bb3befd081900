#include "flaweddialects.h"

#include "base/error.h"

namespace hemlockgauge::soak {

namespace {

constexpr std::uint64_t kCrossOneIn = 50;
constexpr std::uint32_t kTries = 3;
//! Pages of the store that are still understood: a router's first second.
constexpr int kGoodPages = 2;

}

gateway::CallerRequest
FlawedCallers::Decode(http::RequestHead&& aHead) const
{
  auto request = m_true.Decode(std::move(aHead));
  const auto id = request.id;
  const bool crosses = ++m_requests % kCrossOneIn == 0 && !m_lastId.empty();
  if (m_flaw == Flaw::CrossedIds && crosses) {
    request.id = m_lastId;
  }
  m_lastId = id;
  if (m_flaw == Flaw::TakesAllForNew) {
    request.target += "?" + id;
  }
  return request;
}

std::string
FlawedCallers::EncodeLocalReply(const gateway::LocalReply& aAnswer) const
{
  auto answer = aAnswer;
  if (m_flaw == Flaw::FalseNotRun && answer.verdict != base::Verdict::NotRun) {
    answer.verdict = base::Verdict::NotRun;
    answer.refusal = gateway::Refusal::NoUpstream;
  }
  return m_true.EncodeLocalReply(answer);
}

std::string
FlawedUpstreams::Encode(const gateway::CallerRequest& aRequest,
                        const gateway::SendContext& aContext) const
{
  auto context = aContext;
  if (m_flaw == Flaw::WrongFields) {
    context.workspace = "someone-else";
  }
  return m_true.Encode(aRequest, context);
}

gateway::StorePage
FlawedStore::Spoil(gateway::StorePage aPage) const
{
  if (m_flaw == Flaw::LosesTheStore && ++m_pages > kGoodPages) {
    throw base::Error(base::ErrorCode::BadSyntax, "a flaw on purpose");
  }
  if (m_flaw == Flaw::MissesEvacuations) {
    std::erase_if(aPage.items, [](const auto& aItem) {
      return std::holds_alternative<gateway::EvacuatedZone>(aItem);
    });
  }
  if (m_flaw == Flaw::TakesColdForWarm) {
    for (auto& item : aPage.items) {
      if (auto* upstream = std::get_if<gateway::StoredUpstream>(&item)) {
        upstream->entry.coldFor = {};
      }
    }
  }
  if (m_flaw != Flaw::KeepsLeaving) {
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
FlawedStore::DecodeList(std::string_view aBody) const
{
  return Spoil(m_true.DecodeList(aBody));
}

gateway::StorePage
FlawedStore::DecodeWatch(std::string_view aBody) const
{
  return Spoil(m_true.DecodeWatch(aBody));
}

fleet::ConfigPtr
FlawedStore::DecodeConfig(std::string_view aBytes) const
{
  auto config =
    std::make_shared<fleet::FleetConfig>(*m_true.DecodeConfig(aBytes));
  if (m_flaw == Flaw::KeepsOldKeys) {
    m_keys.insert(config->workspaceOfKey.begin(), config->workspaceOfKey.end());
    config->workspaceOfKey = m_keys;
  }
  if (m_flaw == Flaw::RepeatsAll) {
    for (auto& route : config->routes) {
      const bool once = route.kind == fleet::CallKind::AtMostOnce;
      route.kind = once ? fleet::CallKind::Idempotent : route.kind;
      route.maxAttempts = kTries;
    }
  }
  return config;
}

}
