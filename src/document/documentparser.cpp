#include "document/documentparser.h"

#include "base/error.h"
#include "base/hash.h"
#include "document/sectionreader.h"

#include <algorithm>
#include <set>

namespace hemlockgauge::document {

using base::Error;
using base::ErrorCode;

namespace {

constexpr std::string_view kWorkspacePrefix = "workspace:";
constexpr std::size_t kSha256HexDigits = 64;
constexpr std::uint32_t kMaxConcurrency = 4096;
constexpr std::uint32_t kMaxDurationMs = 3600000;
constexpr std::uint32_t kMaxLimit = 1000000;

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) || aChar == '-' || aChar == '_' ||
                  aChar == '.';
         });
}

bool
IsSha256(std::string_view aText)
{
  return aText.size() == kSha256HexDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string
ReadName(SectionReader& aReader, std::string_view aKey)
{
  auto name = aReader.Text(aKey);
  if (!IsName(name)) {
    aReader.Fail(ErrorCode::BadValue,
                 aKey,
                 "expected up to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

std::string
ReadPath(SectionReader& aReader, std::string_view aKey, std::string aPath)
{
  if (aPath.empty() || aPath.front() != '/') {
    aReader.Fail(
      ErrorCode::BadValue, aKey, "expected a path that starts with /");
  }
  return aPath;
}

void
ReadService(SectionReader aReader, ServiceDocument& aDocument)
{
  aDocument.name = ReadName(aReader, "name");
  aDocument.pathPrefix =
    ReadPath(aReader, "path_prefix", aReader.Text("path_prefix"));
  aDocument.fairnessWeight = aReader.NumberOr("fairness_weight", 0, 100, 50);
  aDocument.deadline =
    base::Duration(aReader.NumberOr("deadline_ms", 100, kMaxDurationMs, 30000));
  for (auto& path : aReader.All("repeatable_path")) {
    aDocument.repeatablePaths.push_back(
      ReadPath(aReader, "repeatable_path", std::move(path)));
  }
  aReader.RejectUnknownKeys();
}

void
ReadUpstream(SectionReader aReader, ServiceDocument& aDocument)
{
  aDocument.poolName = ReadName(aReader, "pool");
  aDocument.pool = base::PoolId(base::HashName(aDocument.poolName));
  const auto kind = kUpstreamKindNames.ValueOf(aReader.Text("kind"));
  if (!kind) {
    aReader.Fail(ErrorCode::BadValue, "kind", "expected model-engine or plain");
  }
  aDocument.kind = *kind;
  aDocument.concurrency = aReader.Number("concurrency", 1, kMaxConcurrency);
  aDocument.stallLimit = base::Duration(
    aReader.NumberOr("stall_limit_ms", 50, kMaxDurationMs, 2000));
  aReader.RejectUnknownKeys();
}

Workspace
ReadWorkspace(SectionReader aReader,
              const std::string& aService,
              const std::string& aName)
{
  Workspace workspace;
  workspace.name = aName;
  workspace.id = base::WorkspaceId(base::HashName(aService + "/" + aName));
  workspace.share = aReader.RealOr("share", 0.001, 1000000.0, 1.0);
  workspace.maxRequestsPerSecond =
    aReader.NumberOr("max_requests_per_second", 0, kMaxLimit, 0);
  workspace.maxQueued = aReader.NumberOr("max_queued", 1, kMaxLimit, 1000);
  workspace.maxInFlight = aReader.NumberOr("max_in_flight", 0, kMaxLimit, 0);
  workspace.keySha256 = aReader.All("key_sha256");
  if (workspace.keySha256.empty()) {
    aReader.Fail(ErrorCode::MissingKey, "key_sha256", "expected at least one");
  }
  for (const auto& key : workspace.keySha256) {
    if (!IsSha256(key)) {
      aReader.Fail(ErrorCode::BadValue,
                   "key_sha256",
                   "expected 64 lower-case hexadecimal digits");
    }
  }
  aReader.RejectUnknownKeys();
  return workspace;
}

void
CheckUnique(const std::string& aFile, const ServiceDocument& aDocument)
{
  std::set<std::string> keys;
  std::set<base::WorkspaceId> ids;
  for (const auto& workspace : aDocument.workspaces) {
    if (!ids.insert(workspace.id).second) {
      throw Error(ErrorCode::BadValue,
                  aFile + ": [workspace:" + workspace.name +
                    "]: expected another name, its hash equals that of another "
                    "workspace");
    }
    for (const auto& key : workspace.keySha256) {
      if (!keys.insert(key).second) {
        throw Error(ErrorCode::DuplicateKey,
                    aFile + ": [workspace:" + workspace.name +
                      "] key_sha256: expected a key of its own");
      }
    }
  }
}

}

ServiceDocument
ParseDocument(const std::string& aFile, std::string_view aText)
{
  if (aText.size() > kMaxDocumentBytes) {
    throw Error(ErrorCode::BadValue, aFile + ": expected at most 1 MiB");
  }
  const auto sections = ReadIni(aFile, aText);
  ServiceDocument document;
  const auto require = [&](std::string_view aName) -> const IniSection& {
    for (const auto& section : sections) {
      if (section.name == aName) {
        return section;
      }
    }
    throw Error(ErrorCode::MissingKey,
                aFile + ": expected a section [" + std::string(aName) + "]");
  };
  ReadService(SectionReader(aFile, require("service")), document);
  ReadUpstream(SectionReader(aFile, require("upstream")), document);
  for (const auto& section : sections) {
    if (section.name == "service" || section.name == "upstream") {
      continue;
    }
    const std::string_view name = section.name;
    const bool isWorkspace = name.starts_with(kWorkspacePrefix) &&
                             IsName(name.substr(kWorkspacePrefix.size()));
    if (!isWorkspace) {
      throw Error(ErrorCode::UnknownKey,
                  aFile + ":" + std::to_string(section.entries.front().line) +
                    ": [" + section.name +
                    "]: expected [service], [upstream] or [workspace:NAME]");
    }
    document.workspaces.push_back(
      ReadWorkspace(SectionReader(aFile, section),
                    document.name,
                    std::string(name.substr(kWorkspacePrefix.size()))));
  }
  if (document.workspaces.empty()) {
    throw Error(ErrorCode::MissingKey,
                aFile + ": expected at least one [workspace:NAME]");
  }
  CheckUnique(aFile, document);
  return document;
}

}
