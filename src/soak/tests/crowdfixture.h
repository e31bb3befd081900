#pragma once

#include "platform/tests/platformfixture.h"
#include "soak/childprocess.h"
#include "soak/rawcaller.h"
#include "standins/oddrequest.h"

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

//! A quarter of the memory of the smallest host.
inline constexpr std::size_t kCrowdMemoryMb = 22;
//! Fewer than a quarter of the connections that a router accepts.
inline constexpr std::size_t kCrowdSize = 400;
//! Descriptors of the router itself: listeners, the store, peers, standard
//! streams.
inline constexpr std::size_t kOwnDescriptors = 32;

//! What some tests change in the configuration.
struct CrowdConfig
{
  int headTimeoutMs = 3000;
  int idleTimeoutMs = 15000;
  int routeTimeoutMs = 3000;
  int furtherRoutes = 0; //!< beside those that the tests use
};

//! The router of the running test. A failed assertion leaves the test without
//! calling destructors; EndRouterProcess ends the process all the same.
inline std::optional<ChildProcess> process;

inline void
EndRouterProcess()
{
  process.reset();
}

//! A router in a process of its own with little memory, and a crowd of callers
//! that keep to the limits but not to what is usual.
class CrowdFixture : public platformadapter::PlatformFixture
{
public:
  explicit CrowdFixture(std::uint16_t aPort)
    : PlatformFixture(aPort)
  {
    PutCrowdConfig();
  }

  //! The limits that the users' pages name, and services with room for the
  //! whole crowd.
  void PutCrowdConfig(const CrowdConfig& aConfig = {})
  {
    auto text = ConfigText(2,
                           R"("key-1")",
                           FurtherRoutes(aConfig.furtherRoutes),
                           aConfig.routeTimeoutMs);
    Replace(text, R"("maxHeaderBytes":4096)", R"("maxHeaderBytes":16384)");
    Replace(text, R"("maxBodyBytes":2000)", R"("maxBodyBytes":4194304)");
    Replace(text,
            R"("headerTimeoutMs":300)",
            fmt::format(R"("headerTimeoutMs":{})", aConfig.headTimeoutMs));
    Replace(text,
            R"("idleTimeoutMs":5000)",
            fmt::format(R"("idleTimeoutMs":{})", aConfig.idleTimeoutMs));
    Replace(text, R"("maxConns":90)", R"("maxConns":2000)");
    Replace(text, R"("slots":8)", R"("slots":1000)");
    store.Put("op/config", text);
  }

  //! Adds a plain service or an engine with room for the whole crowd.
  standins::UpstreamStandin& AddRoomyUpstream(const std::string& aId,
                                              int aOffset,
                                              bool aIsEngine = false)
  {
    standins::UpstreamStandinSettings settings;
    settings.id = aId;
    settings.listen = AddressAt(aOffset);
    settings.isEngine = aIsEngine;
    settings.slots = 1000;
    workers.push_back(
      std::make_unique<standins::UpstreamStandin>(loop, settings));
    store.PutUpstream(aId,
                      { aIsEngine ? "engine" : "plain",
                        AddressAt(aOffset),
                        "z",
                        settings.slots,
                        "ready" });
    return *workers.back();
  }

  ~CrowdFixture() { EndRouterProcess(); }

  //! Starts the router and waits until it serves.
  void StartProcess()
  {
    const char* program = std::getenv("HEMLOCKGAUGE_GATEWAY");
    cr_assert(program != nullptr, "HEMLOCKGAUGE_GATEWAY is not set");
    const auto directory =
      std::filesystem::temp_directory_path() / fmt::format("crowd-{}", port);
    std::filesystem::create_directories(directory);
    const auto settings = directory / "router.ini";
    std::ofstream(settings) << fmt::format(
      "[gateway]\nid = g1\navailability_zone = z\ncallers_listen = {}\n"
      "probe_listen = {}\ncontrol_listen = {}\npeer_listen = {}\n"
      "memory_limit_mb = {}\n{}[store]\naddress = {}\n",
      AddressAt(0).Text(),
      AddressAt(1).Text(),
      AddressAt(2).Text(),
      AddressAt(3).Text(),
      kCrowdMemoryMb,
      gatewayLines,
      AddressAt(10).Text());
    process.emplace(program,
                    std::vector{ "--settings=" + settings.string() },
                    (directory / "router.log").string());
    process->Start();
    RunUntil([&] { return ServesOne("/safe/x"); });
  }

  //! Sends an ordinary request on a connection of its own. Whether it was
  //! served.
  bool ServesOne(const std::string& aPath, int aDeadlineMs = 4000)
  {
    platformadapter::TestRequest request;
    request.path = aPath;
    request.id = fmt::format("ordinary-{}", ++m_ordinary);
    request.deadlineMs = aDeadlineMs;
    auto call = Begin(request);
    const auto limit = loop.Now() + base::Duration(aDeadlineMs);
    while (!call->IsOver() && loop.Now() < limit) {
      loop.RunOnce();
    }
    m_lastResult = fmt::format("{}, status {}, Retry-After '{}'",
                               call->completed ? "answered"
                               : call->failed  ? "connection closed"
                                               : "no answer",
                               call->head.status,
                               call->Field("Retry-After"));
    return call->completed && call->head.status == 200;
  }

  standins::OddRequestSettings Odd(const std::string& aPath = "/safe/x") const
  {
    standins::OddRequestSettings settings;
    settings.path = aPath;
    settings.key = "key-1";
    return settings;
  }

  void AddCaller(std::string aText, Reading aReading = Reading::On)
  {
    crowd.push_back(std::make_unique<RawCaller>(
      loop, AddressAt(0), std::move(aText), aReading));
  }

  //! Sends one odd request from each of kCrowdSize callers, which then keep
  //! their connections, and waits until the router has taken or refused all.
  void SendCrowd(standins::OddRequest aKind,
                 const standins::OddRequestSettings& aSettings,
                 Reading aReading = Reading::On)
  {
    for (std::size_t i = 0; i < kCrowdSize; ++i) {
      AddCaller(standins::OddRequestText(aKind, aSettings, m_numbers++),
                aReading);
      loop.RunOnce();
    }
    RunUntil([&] {
      return std::all_of(crowd.begin(), crowd.end(), [](const auto& aCaller) {
        return aCaller->HasSent();
      });
    });
    RunFor(1000);
  }

  //! The crowd leaves; then an ordinary request is served, and the router lives
  //! and kept within its limits.
  void ExpectSound()
  {
    ExpectWithinLimits();
    ExpectRefusalsToComeBack();
    crowd.clear();
    ExpectServes();
    ExpectWithinLimits();
  }

  //! Each refusal for want of room or of an upstream says when to come back.
  void ExpectRefusalsToComeBack() const
  {
    for (const auto& caller : crowd) {
      const auto& head = caller->FirstBytes();
      const bool isWhole = head.find("\r\n\r\n") != std::string::npos;
      if (isWhole && head.starts_with("HTTP/1.1 503")) {
        cr_assert(
          head.find("Retry-After: ") != std::string::npos, "%s", head.c_str());
      }
    }
  }

  //! A refusal asks the caller to come back, so an ordinary request may be sent
  //! again.
  void ExpectServes()
  {
    constexpr int kTries = 5;
    bool isServed = false;
    for (int i = 0; i < kTries && !isServed; ++i) {
      isServed = ServesOne("/safe/x");
    }
    cr_assert(
      isServed, "no ordinary request is served: %s", m_lastResult.c_str());
  }

  void ExpectWithinLimits()
  {
    int status = 0;
    cr_assert(!process->HasEnded(status), "the router ended: %d", status);
    const auto descriptors = process->OpenDescriptors();
    cr_assert(descriptors <= maxDescriptors, "%zu descriptors", descriptors);
// A sanitizer's own memory does not fit into the limit.
#if !defined(__SANITIZE_ADDRESS__)
    const auto peak = process->PeakResidentBytes();
    cr_assert(peak <= kCrowdMemoryMb << 20U,
              "%zu of %zu MB",
              peak >> 20U,
              kCrowdMemoryMb);
#endif
  }

  std::vector<std::unique_ptr<RawCaller>> crowd;
  //! Further lines of the section [gateway]; must be set before StartProcess.
  std::string gatewayLines;
  std::size_t maxDescriptors = 2 * kCrowdSize + kOwnDescriptors;

private:
  static std::string FurtherRoutes(int aCount)
  {
    std::string routes;
    for (int i = 0; i < aCount; ++i) {
      routes += fmt::format(
        R"(,{{"name":"further-{0}","host":"h.example","prefix":"/further-{0}/",)"
        R"("type":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":1,)"
        R"("service":"plain","maxAttempts":2,"public":false,"sticky":false,)"
        R"("resumable":false,"targetGapMs":300}})",
        i);
    }
    return routes;
  }

  static void Replace(std::string& aText,
                      std::string_view aFrom,
                      std::string_view aTo)
  {
    for (auto at = aText.find(aFrom); at != std::string::npos;
         at = aText.find(aFrom, at + aTo.size())) {
      aText.replace(at, aFrom.size(), aTo);
    }
  }

  std::uint64_t m_ordinary = 0;
  std::string m_lastResult; //!< of an ordinary request
  std::uint64_t m_numbers = 0;
};

}
