#include "ctl/commands.h"

#include "base/error.h"
#include "ctl/statuspage.h"
#include "document/documentdiff.h"
#include "document/documentparser.h"
#include "document/settingsparser.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <optional>

namespace hemlockgauge::ctl {

using nlohmann::json;

namespace {

constexpr long kTimeoutMs = 2000;

std::size_t
Append(char* aData, std::size_t aSize, std::size_t aCount, void* aOut)
{
  static_cast<std::string*>(aOut)->append(aData, aSize * aCount);
  return aSize * aCount;
}

//! Reads a JSON page of a router, with any HTTP status; empty if the router
//! can't be reached or the page is no JSON object.
std::optional<json>
GetPage(const std::string& aRouter, const std::string& aPath)
{
  const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                      curl_easy_cleanup);
  std::string body;
  const auto url = "http://" + aRouter + aPath;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
  if (curl_easy_perform(handle.get()) != CURLE_OK) {
    return std::nullopt;
  }
  auto page = json::parse(body, nullptr, false);
  return page.is_object() ? std::optional(page) : std::nullopt;
}

document::ServiceDocument
ReadDocument(const std::string& aFile)
{
  return document::ParseDocument(aFile, document::ReadTextFile(aFile));
}

ExitCode
ReportError(const base::Error& aError)
{
  std::cerr << aError.what() << "\n";
  return aError.Code() == base::ErrorCode::Unreachable ? ExitCode::BadUse
                                                       : ExitCode::Refused;
}

}

ExitCode
Check(const std::string& aFile)
{
  try {
    const auto parsed = ReadDocument(aFile);
    std::cout << aFile << ": service " << parsed.name << " with "
              << parsed.workspaces.size() << " workspaces is valid\n";
    return ExitCode::Good;
  } catch (const base::Error& error) {
    return ReportError(error);
  }
}

ExitCode
Diff(const std::string& aOldFile, const std::string& aNewFile)
{
  try {
    const auto lines = document::DescribeDifference(ReadDocument(aOldFile),
                                                    ReadDocument(aNewFile));
    for (const auto& line : lines) {
      std::cout << line << "\n";
    }
    if (lines.empty()) {
      std::cout << "no difference\n";
    }
    return ExitCode::Good;
  } catch (const base::Error& error) {
    return ReportError(error);
  }
}

ExitCode
Status(const std::string& aRouter, bool aJson)
{
  const auto first = GetPage(aRouter, "/status");
  if (!first) {
    std::cerr << aRouter << ": no router responds at this address\n";
    return ExitCode::Unreachable;
  }
  std::vector<json> pages{ *first };
  std::vector<std::string> unreachable;
  for (const auto& member : (*first)["members"]) {
    const bool other = member["router"] != (*first)["router"];
    if (!other || member["state"] != "alive") {
      continue;
    }
    const auto address = member["operators_address"].get<std::string>();
    if (const auto page = GetPage(address, "/status")) {
      pages.push_back(*page);
    } else {
      unreachable.push_back(address);
    }
  }
  const auto handover = DescribeFleet(pages, unreachable);
  if (aJson) {
    std::cout << json{
      { "routers", pages },
      { "unreachable", unreachable },
      { "alarms", handover.alarms }
    }.dump(2) << "\n";
  } else {
    std::cout << handover.text;
  }
  return handover.alarms.empty() ? ExitCode::Good : ExitCode::Alarm;
}

ExitCode
Explain(const std::string& aRouter, const std::string& aRequestId)
{
  const auto status = GetPage(aRouter, "/status");
  if (!status) {
    std::cerr << aRouter << ": no router responds at this address\n";
    return ExitCode::Unreachable;
  }
  for (const auto& member : (*status)["members"]) {
    const auto name = member["router"].get<std::string>();
    if (!aRequestId.starts_with(name + "-")) {
      continue;
    }
    const auto page =
      GetPage(member["operators_address"], "/explain?id=" + aRequestId);
    if (!page) {
      continue;
    }
    for (const auto& line : (*page)["decisions"]) {
      std::cout << line.get<std::string>() << "\n";
    }
    if (!(*page)["decisions"].empty()) {
      return ExitCode::Good;
    }
  }
  std::cerr << aRequestId
            << ": no reachable router has decisions for this request\n";
  return ExitCode::Refused;
}

}
