#include "platform/internal/platformjson.h"

#include "base/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace hemlockgauge::platform {

using nlohmann::json;

namespace {

//! Upper bound for a valid name, in bytes. Routers send all hosts to each other
//! in frames of limited size, which long names would exceed.
constexpr std::size_t kMaxNameBytes = 256;
//! Upper bound for a valid revision: the largest integer that JSON parsers
//! represent exactly.
constexpr std::uint64_t kMaxRevision = 1ULL << 53;
//! Limits the reason of a rejection, as a message may quote the whole value.
constexpr std::size_t kMaxReasonBytes = 160;

std::string
ReadText(const json& aObject, const char* aName)
{
  const auto& text = aObject.at(aName).get_ref<const std::string&>();
  if (text.size() > kMaxNameBytes) {
    throw base::Error(base::ErrorCode::BadValue,
                      std::string(aName) + ": expected at most " +
                        std::to_string(kMaxNameBytes) + " bytes");
  }
  return text;
}

std::uint64_t
ReadRevision(const json& aObject, const char* aName)
{
  const auto& value = aObject.at(aName);
  if (!value.is_number_unsigned() ||
      value.get<std::uint64_t>() > kMaxRevision) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      std::string(aName) + ": expected an integer from 0 to " +
                        std::to_string(kMaxRevision));
  }
  return value.get<std::uint64_t>();
}

const json&
ReadArray(const json& aObject, const char* aName)
{
  const auto& value = aObject.at(aName);
  if (!value.is_array()) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      std::string(aName) + ": expected an array");
  }
  return value;
}

//! Replaces numbers beyond the range of a double by null. The parser rejects a
//! whole text for one such number.
std::string
ReplaceOverflowingNumbers(std::string aText)
{
  bool inString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char c = aText[at];
    if (c == '"') {
      inString = !inString;
    } else if (inString && c == '\\') {
      ++at; // an escaped quote does not end the string
    } else if (!inString && (c == '-' || (c >= '0' && c <= '9'))) {
      const auto end =
        std::min(aText.find_first_not_of("+-.0123456789eE", at), aText.size());
      if (std::isinf(
            std::strtod(aText.substr(at, end - at).c_str(), nullptr))) {
        aText.replace(at, end - at, end - at, ' ').replace(at, 4, "null");
      }
      at = end - 1;
    }
  }
  return aText;
}

json
ParseJson(const std::string& aText)
{
  try {
    return json::parse(aText);
  } catch (const json::out_of_range&) {
    return json::parse(ReplaceOverflowingNumbers(aText));
  }
}

template<typename Result, typename Read>
Result
ReadJson(const std::string& aText, Read aRead)
{
  try {
    return aRead(ParseJson(aText));
  } catch (const json::exception& error) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      std::string(error.what()).substr(0, kMaxReasonBytes));
  }
}

//! The name of an entry that is invalid otherwise; empty if it has none.
std::string
NameOrEmpty(const json& aEntry, const char* aNameField)
{
  const auto* name = aEntry.is_object() && aEntry.contains(aNameField)
                       ? aEntry.at(aNameField).get_ptr<const std::string*>()
                       : nullptr;
  return name == nullptr ? std::string() : name->substr(0, kMaxReasonBytes);
}

//! Calls aRead with each entry and returns those for which it throws.
template<typename Read>
std::vector<RejectedEntry>
ReadEntries(const json& aEntries, const char* aNameField, Read aRead)
{
  std::vector<RejectedEntry> rejected;
  for (const auto& entry : aEntries) {
    try {
      aRead(entry);
    } catch (const std::exception& error) {
      rejected.push_back(
        { NameOrEmpty(entry, aNameField),
          std::string(error.what()).substr(0, kMaxReasonBytes) });
    }
  }
  return rejected;
}

decision::HostEntry
ReadHost(const json& aValue)
{
  decision::HostEntry host;
  host.name = ReadText(aValue, "id");
  const auto role = decision::kHostRoleNames.ValueOf(ReadText(aValue, "role"));
  const auto state =
    decision::kHostStateNames.ValueOf(ReadText(aValue, "state"));
  if (!role || !state) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      "unknown role \"" + ReadText(aValue, "role") +
                        "\" or state \"" + ReadText(aValue, "state") + "\"");
  }
  host.role = *role;
  host.state = *state;
  host.zone = ReadText(aValue, "availability_zone");
  host.address = base::ParseAddress(ReadText(aValue, "address"));
  if (host.role == decision::HostRole::Router) {
    host.peerAddress = base::ParseAddress(ReadText(aValue, "peer_address"));
  } else {
    host.pool = ReadText(aValue, "pool");
  }
  return host;
}

}

DocumentList
ParseDocumentList(const std::string& aText)
{
  return ReadJson<DocumentList>(aText, [](const json& aValue) {
    DocumentList list;
    list.version = ReadRevision(aValue, "version");
    list.rejected = ReadEntries(
      ReadArray(aValue, "documents"), "name", [&](const json& aEntry) {
        list.documents.push_back(
          { ReadText(aEntry, "name"), ReadRevision(aEntry, "revision") });
      });
    return list;
  });
}

HostList
ParseHostList(const std::string& aText)
{
  return ReadJson<HostList>(aText, [](const json& aValue) {
    HostList list;
    list.read.revision = ReadRevision(aValue, "revision");
    list.rejected =
      ReadEntries(ReadArray(aValue, "hosts"), "id", [&](const json& aEntry) {
        list.read.hosts.push_back(ReadHost(aEntry));
      });
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
