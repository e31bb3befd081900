#include "standins/storestandin.h"

#include "eventloop/eventloop.h"
#include "standins/base64.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlockgauge::standins {

using nlohmann::json;

namespace {

constexpr base::Duration kTickInterval(5);
constexpr int kStatusGone = 410;

//! Returns the value of a query parameter; empty if it is missing.
std::string
QueryField(const std::string& aTarget, const std::string& aName)
{
  const auto question = aTarget.find('?');
  std::string_view rest = std::string_view(aTarget).substr(
    std::min(question, aTarget.size() - 1) + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto field = rest.substr(0, end);
    if (field.starts_with(aName + "=")) {
      return std::string(field.substr(aName.size() + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return "";
}

std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aName)
{
  const auto text = QueryField(aTarget, aName);
  return text.empty() ? 0 : std::stoull(text);
}

}

StoreStandin::StoreStandin(eventloop::EventLoop& aLoop,
                           const base::Address& aListen)
  : m_loop(aLoop)
  , m_connections(aLoop, m_limits, *this)
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    m_connections.Add(aStream);
  })
{
  m_loop.SchedulePeriodic(kTickInterval, [this] { Tick(); });
}

StoreStandin::~StoreStandin() = default;

void
StoreStandin::AppendChange(const std::string& aKey, const std::string& aJson)
{
  m_content.history.push_back({ aKey, m_content.revision, aJson });
}

void
StoreStandin::Put(const std::string& aKey, const std::string& aData)
{
  auto& item = m_content.items[aKey];
  item.data = aData;
  item.revision = ++m_content.revision;
  item.created = item.created == 0 ? m_content.revision : item.created;
  AppendChange(aKey,
               json{ { "key", aKey },
                     { "data", EncodeBase64(aData) },
                     { "revision", item.revision },
                     { "created", item.created },
                     { "leaseId", 0 } }
                 .dump());
}

void
StoreStandin::Remove(const std::string& aKey)
{
  if (m_content.items.erase(aKey) == 0) {
    return;
  }
  ++m_content.revision;
  AppendChange(aKey,
               json{ { "key", aKey },
                     { "revision", m_content.revision },
                     { "deleted", true } }
                 .dump());
}

void
StoreStandin::PutConfig(const std::string& aText)
{
  Put("op/config", aText);
}

void
StoreStandin::PutUpstream(const std::string& aId, const StoredEntry& aEntry)
{
  json entry{ { "service", aEntry.service },
              { "address", aEntry.address.Text() },
              { "zone", aEntry.zone },
              { "version", aEntry.softwareVersion },
              { "slots", aEntry.slots },
              { "state", aEntry.state },
              { "sequence", 1 },
              { "coldRemainingMs", aEntry.coldFor.count() } };
  if (aEntry.born != 0) {
    entry["born"] = aEntry.born;
  }
  Put("servers/" + aId, entry.dump());
}

void
StoreStandin::RemoveUpstream(const std::string& aId)
{
  Remove("servers/" + aId);
}

void
StoreStandin::Evacuate(const std::string& aZone)
{
  Put("op/evacuate/" + aZone, "{}");
}

void
StoreStandin::EndEvacuation(const std::string& aZone)
{
  Remove("op/evacuate/" + aZone);
}

void
StoreStandin::DiscardHistory()
{
  m_content.history.clear();
  m_content.oldestRevision = m_content.revision;
}

void
StoreStandin::SaveBackup()
{
  m_backup = m_content;
}

void
StoreStandin::Restore()
{
  m_content = m_backup;
  m_era++;
}

void
StoreStandin::OnRequest(http::ServerConnection& aConnection,
                        http::RequestHead&& aHead,
                        std::string&&)
{
  calls++;
  if (faults.mute) {
    return;
  }
  if (faults.failStatus != 0) {
    Send(aConnection, faults.failStatus, "");
    return;
  }
  if (faults.refuseOneIn != 0 && calls % faults.refuseOneIn == 0) {
    Send(aConnection, 429, "");
    return;
  }
  const bool isWatch = aHead.target.starts_with("/api/kv-watch");
  const auto wait = isWatch ? base::Duration(static_cast<std::int64_t>(
                                QueryNumber(aHead.target, "waitMs")))
                            : base::Duration{};
  m_pendingCalls.push_back({ &aConnection,
                             aHead.target,
                             m_loop.Now() + wait + faults.delay,
                             isWatch });
  Tick();
}

bool
StoreStandin::HasHistorySince(std::uint64_t aRevision) const
{
  return aRevision >= m_content.oldestRevision &&
         aRevision <= m_content.revision;
}

bool
StoreStandin::HasChanges(const PendingCall& aCall) const
{
  const auto after = QueryNumber(aCall.target, "after");
  const auto prefix = QueryField(aCall.target, "prefix");
  return !HasHistorySince(after) ||
         std::any_of(m_content.history.begin(),
                     m_content.history.end(),
                     [&](const Change& aChange) {
                       return aChange.revision > after &&
                              aChange.key.starts_with(prefix);
                     });
}

void
StoreStandin::Tick()
{
  const auto now = m_loop.Now();
  std::vector<PendingCall> due;
  std::erase_if(m_pendingCalls, [&](const PendingCall& aCall) {
    const bool hasChanges =
      aCall.isWatch && faults.delay == base::Duration{} && HasChanges(aCall);
    if (now < aCall.answerAt && !hasChanges) {
      return false;
    }
    due.push_back(aCall);
    return true;
  });
  for (const auto& call : due) {
    Answer(*call.connection, call.target);
  }
}

void
StoreStandin::Answer(http::ServerConnection& aConnection,
                     const std::string& aTarget)
{
  if (aTarget.starts_with("/api/kv-range")) {
    Send(aConnection, 200, RangeBody(aTarget));
  } else if (!aTarget.starts_with("/api/kv-watch")) {
    Send(aConnection, 404, "");
  } else if (!HasHistorySince(QueryNumber(aTarget, "after"))) {
    Send(aConnection, kStatusGone, "");
  } else {
    Send(aConnection, 200, WatchBody(aTarget));
  }
}

std::string
StoreStandin::RangeBody(const std::string& aTarget) const
{
  const auto prefix = QueryField(aTarget, "prefix");
  const auto after = QueryField(aTarget, "after");
  json entries = json::array();
  bool hasMore = false;
  for (const auto& [key, item] : m_content.items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (entries.size() >= faults.pageItems) {
      hasMore = true;
      break;
    }
    entries.push_back({ { "key", key },
                        { "data", EncodeBase64(item.data) },
                        { "revision", item.revision },
                        { "created", item.created },
                        { "leaseId", 0 } });
  }
  return json{
    { "entries", entries }, { "hasMore", hasMore }, { "at", m_content.revision }
  }.dump();
}

std::string
StoreStandin::WatchBody(const std::string& aTarget) const
{
  const auto after = QueryNumber(aTarget, "after");
  const auto prefix = QueryField(aTarget, "prefix");
  json events = json::array();
  for (const auto& change : m_content.history) {
    if (change.revision > after && change.key.starts_with(prefix)) {
      events.push_back(json::parse(change.json));
    }
  }
  return json{ { "events", events }, { "at", m_content.revision } }.dump();
}

void
StoreStandin::Send(http::ServerConnection& aConnection,
                   int aStatus,
                   const std::string& aBody)
{
  std::string head;
  http::AppendStatusLine(head, aStatus, "Answer");
  http::AppendField(head, "Content-Type", "application/json");
  http::AppendNumberField(head, "Store-Era", m_era);
  aConnection.BeginAnswer(head, http::Framing::Length, aBody.size());
  aConnection.Write(aBody);
  aConnection.EndAnswer();
}

void
StoreStandin::OnBadRequest(http::ServerConnection& aConnection, http::Fault)
{
  Send(aConnection, 400, "");
}

void
StoreStandin::OnPeerGone(http::ServerConnection& aConnection)
{
  std::erase_if(m_pendingCalls, [&](const PendingCall& aCall) {
    return aCall.connection == &aConnection;
  });
}

void
StoreStandin::OnClosed(http::ServerConnection& aConnection)
{
  OnPeerGone(aConnection);
  m_connections.Forget(aConnection);
}

}
