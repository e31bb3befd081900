// A test double of the platform: a read-only configuration service with
// watches, and a host list. Tests and scripts control it through the paths
// under "/-/".

#include "standins/httpserver.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:7000", "IP:PORT to serve on");
DEFINE_string(hosts, "", "file with the host list (JSON)");
DEFINE_string(documents, "", "service documents, as NAME=FILE,NAME=FILE");
DEFINE_int32(host_lag_ms,
             500,
             "milliseconds until a change of the host list is published");
DEFINE_int32(calls_per_second,
             2000,
             "calls answered per second; further calls get 429");

using namespace hemlockgauge;
using namespace hemlockgauge::standins;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

struct Document
{
  std::uint64_t revision = 0;
  std::string text;
};

class Platform
{
public:
  Platform();
  HttpResponse Handle(const HttpRequest& aRequest);

private:
  HttpResponse HandleAdmin(const HttpRequest& aRequest);
  HttpResponse Watch(const HttpRequest& aRequest);
  HttpResponse ReadDocument(const std::string& aName);
  HttpResponse Hosts();
  HttpResponse ListDocuments() const;
  void SetDocument(const std::string& aName, const std::string& aText);
  void SetHosts(const std::string& aText);
  //! Counts a call; returns false if the rate limit is exceeded.
  bool AdmitCall();
  const std::map<std::string, Document>& VisibleDocuments() const
  {
    return m_isStale ? m_staleDocuments : m_documents;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Document> m_documents;
  std::map<std::string, Document> m_staleDocuments;
  std::uint64_t m_version = 1;
  std::uint64_t m_staleVersion = 1;
  bool m_isStale = false;
  bool m_isDown = false;
  std::uint64_t m_hostRevision = 0;
  json m_hosts = json::array();
  json m_publishedHosts = json::array();
  std::uint64_t m_publishedHostRevision = 0;
  Clock::time_point m_hostsChangedAt{};
  std::uint64_t m_calls = 0;
  std::uint64_t m_maxCallsPerSecond = 0;
  std::uint64_t m_callsThisSecond = 0;
  Clock::time_point m_secondStart{};
};

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

HttpResponse
MakeResponse(int aStatus, const std::string& aBody = "")
{
  HttpResponse response;
  response.status = aStatus;
  response.body = aBody;
  return response;
}

Platform::Platform()
{
  if (!FLAGS_hosts.empty()) {
    SetHosts(ReadFile(FLAGS_hosts));
    m_publishedHosts = m_hosts;
    m_publishedHostRevision = m_hostRevision;
  }
  std::istringstream list(FLAGS_documents);
  std::string item;
  while (std::getline(list, item, ',')) {
    const auto equals = item.find('=');
    SetDocument(item.substr(0, equals), ReadFile(item.substr(equals + 1)));
  }
}

void
Platform::SetDocument(const std::string& aName, const std::string& aText)
{
  m_documents[aName] = { ++m_version, aText };
  m_changed.notify_all();
}

void
Platform::SetHosts(const std::string& aText)
{
  m_hosts = json::parse(aText);
  m_hostRevision++;
  m_hostsChangedAt = Clock::now();
}

bool
Platform::AdmitCall()
{
  const auto now = Clock::now();
  if (now - m_secondStart >= std::chrono::seconds(1)) {
    m_secondStart = now;
    m_callsThisSecond = 0;
  }
  m_calls++;
  m_callsThisSecond++;
  m_maxCallsPerSecond = std::max(m_maxCallsPerSecond, m_callsThisSecond);
  return m_callsThisSecond <=
         static_cast<std::uint64_t>(FLAGS_calls_per_second);
}

HttpResponse
Platform::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path.starts_with("/-/")) {
    return HandleAdmin(aRequest);
  }
  {
    const std::lock_guard lock(m_mutex);
    if (m_isDown) {
      HttpResponse dropped;
      dropped.drop = true;
      return dropped;
    }
    if (!AdmitCall()) {
      return MakeResponse(429);
    }
  }
  const std::string kConfig = "/v1/config/";
  if (aRequest.method != "GET") {
    return MakeResponse(405, "read only\n");
  }
  if (aRequest.path == "/v1/watch") {
    return Watch(aRequest);
  }
  if (aRequest.path == "/v1/hosts") {
    return Hosts();
  }
  if (aRequest.path == "/v1/config") {
    const std::lock_guard lock(m_mutex);
    return ListDocuments();
  }
  if (aRequest.path.starts_with(kConfig)) {
    return ReadDocument(aRequest.path.substr(kConfig.size()));
  }
  return MakeResponse(404);
}

HttpResponse
Platform::HandleAdmin(const HttpRequest& aRequest)
{
  const std::string kDocuments = "/-/documents/";
  const std::lock_guard lock(m_mutex);
  if (aRequest.path.starts_with(kDocuments)) {
    SetDocument(aRequest.path.substr(kDocuments.size()), aRequest.body);
    return MakeResponse(200, std::to_string(m_version) + "\n");
  }
  if (aRequest.path == "/-/hosts") {
    SetHosts(aRequest.body);
    return MakeResponse(200);
  }
  if (aRequest.path == "/-/host-state") {
    for (auto& host : m_hosts) {
      if (host["id"] == aRequest.query.at("id")) {
        host["state"] = aRequest.query.at("state");
      }
    }
    m_hostRevision++;
    m_hostsChangedAt = Clock::now();
    return MakeResponse(200);
  }
  if (aRequest.path == "/-/mode") {
    const auto mode = aRequest.query.at("set");
    m_isDown = mode == "down";
    if (mode == "stale" && !m_isStale) {
      m_staleDocuments = m_documents;
      m_staleVersion = m_version;
    }
    m_isStale = mode == "stale";
    m_changed.notify_all();
    return MakeResponse(200);
  }
  if (aRequest.path == "/-/calls") {
    return MakeResponse(
      200,
      json{ { "calls", m_calls }, { "most", m_maxCallsPerSecond } }.dump());
  }
  return MakeResponse(404);
}

HttpResponse
Platform::ListDocuments() const
{
  json list{ { "version", m_isStale ? m_staleVersion : m_version },
             { "documents", json::array() } };
  for (const auto& [name, document] : VisibleDocuments()) {
    list["documents"].push_back(
      { { "name", name }, { "revision", document.revision } });
  }
  return MakeResponse(200, list.dump());
}

HttpResponse
Platform::Watch(const HttpRequest& aRequest)
{
  const auto after = std::stoull(aRequest.query.at("after"));
  const auto wait = std::stoul(aRequest.query.at("wait_ms"));
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
    return m_isDown || (!m_isStale && m_version > after);
  });
  if (m_isDown) {
    HttpResponse dropped;
    dropped.drop = true;
    return dropped;
  }
  return ListDocuments();
}

HttpResponse
Platform::ReadDocument(const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  const auto found = VisibleDocuments().find(aName);
  if (found == VisibleDocuments().end()) {
    return MakeResponse(404);
  }
  auto response = MakeResponse(200, found->second.text);
  response.headers["X-Revision"] = std::to_string(found->second.revision);
  return response;
}

HttpResponse
Platform::Hosts()
{
  const std::lock_guard lock(m_mutex);
  const auto lag = std::chrono::milliseconds(FLAGS_host_lag_ms);
  if (Clock::now() - m_hostsChangedAt >= lag) {
    m_publishedHosts = m_hosts;
    m_publishedHostRevision = m_hostRevision;
  }
  return MakeResponse(200,
                      json{ { "revision", m_publishedHostRevision },
                            { "hosts", m_publishedHosts } }
                        .dump());
}

}

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    Platform platform;
    ServeUntilStopped(
      base::ParseAddress(FLAGS_listen),
      [&](const HttpRequest& aRequest) { return platform.Handle(aRequest); });
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
