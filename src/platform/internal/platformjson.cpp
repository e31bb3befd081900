#include "platform/internal/platformjson.h"

#include "base/error.h"

#include <nlohmann/json.hpp>

namespace hemlockgauge::platform {

using nlohmann::json;

namespace {

template<typename Result, typename Read>
Result
ReadJson(const std::string& aText, Read aRead)
{
  try {
    return aRead(json::parse(aText));
  } catch (const json::exception& error) {
    throw base::Error(base::ErrorCode::BadSyntax, error.what());
  }
}

decision::HostEntry
ReadHost(const json& aValue)
{
  decision::HostEntry host;
  host.name = aValue.at("id").get<std::string>();
  const auto role =
    decision::kHostRoleNames.ValueOf(aValue.at("role").get<std::string>());
  const auto state =
    decision::kHostStateNames.ValueOf(aValue.at("state").get<std::string>());
  if (!role || !state) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      "host " + host.name + ": unknown role \"" +
                        aValue.at("role").get<std::string>() +
                        "\" or state \"" +
                        aValue.at("state").get<std::string>() + "\"");
  }
  host.role = *role;
  host.state = *state;
  host.zone = aValue.at("availability_zone").get<std::string>();
  host.address = base::ParseAddress(aValue.at("address").get<std::string>());
  if (host.role == decision::HostRole::Router) {
    host.peerAddress =
      base::ParseAddress(aValue.at("peer_address").get<std::string>());
  } else {
    host.pool = aValue.at("pool").get<std::string>();
  }
  return host;
}

}

DocumentList
ParseDocumentList(const std::string& aText)
{
  return ReadJson<DocumentList>(aText, [](const json& aValue) {
    DocumentList list;
    list.version = aValue.at("version").get<std::uint64_t>();
    for (const auto& one : aValue.at("documents")) {
      list.documents.push_back({ one.at("name").get<std::string>(),
                                 one.at("revision").get<std::uint64_t>() });
    }
    return list;
  });
}

decision::HostsRead
ParseHostList(const std::string& aText)
{
  return ReadJson<decision::HostsRead>(aText, [](const json& aValue) {
    decision::HostsRead list;
    list.revision = aValue.at("revision").get<std::uint64_t>();
    for (const auto& one : aValue.at("hosts")) {
      list.hosts.push_back(ReadHost(one));
    }
    return list;
  });
}

decision::LoadReported
ParseLoad(decision::UpstreamId aUpstream, const std::string& aText)
{
  return ReadJson<decision::LoadReported>(aText, [&](const json& aValue) {
    return decision::LoadReported{ aUpstream,
                                   aValue.at("running").get<std::uint32_t>(),
                                   aValue.value("leaving", false) };
  });
}

}
