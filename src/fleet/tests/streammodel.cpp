#include "fleet/tests/streammodel.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace hemlockgauge::fleet {

namespace {

constexpr Duration kStep = 10ms;
constexpr std::uint64_t kMinDelayMs = 1;
constexpr std::uint64_t kDelaySpreadMs = 4;
//! Time until all routers know one that has started.
constexpr Duration kJoinDelay = 1000ms;
constexpr std::size_t kVersions = 3;
//! Headers of a packet, and of a message without records.
constexpr std::size_t kHeaderBytes = 28 + 36;
constexpr std::size_t kRecordBytes = 24;

}

StreamModel::StreamModel(const StreamModelSettings& aSettings,
                         std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_random(aSeed)
  , m_begunAt(m_now)
  , m_routers(aSettings.routers)
{
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    auto& member = m_routers[i].member;
    member.address = {
      "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7400
    };
    member.zone = static_cast<std::uint32_t>(ZoneOf(i));
    member.hash = base::HashName(member.address.Text());
    m_routerOf[member.address.Text()] = i;
    Start(i);
  }
  UpdateMembers();
}

void
StreamModel::Start(std::size_t aRouter)
{
  auto& router = m_routers[aRouter];
  router.directory =
    std::make_unique<StreamDirectory>(router.member, m_settings.copies);
  router.knownAt = m_now == m_begunAt ? m_now : m_now + kJoinDelay;
}

void
StreamModel::TakeDown(std::size_t aRouter, Duration aDownFor)
{
  auto& router = m_routers[aRouter];
  router.directory.reset();
  router.backAt = m_now + aDownFor;
  router.leftOutAt = m_now + kMemberAliveTimeout;
  m_lost.insert(aRouter);
}

void
StreamModel::Kill(std::size_t aRouter, Duration aDownFor)
{
  TakeDown(aRouter, aDownFor);
}

void
StreamModel::Stop(std::size_t aRouter, Duration aDownFor)
{
  m_routers[aRouter].directory->HandOver(m_now);
  Collect(aRouter);
  TakeDown(aRouter, aDownFor);
}

void
StreamModel::KillPart(double aRatio, Duration aDownFor)
{
  std::vector<std::size_t> order(m_routers.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), m_random);
  const auto count = static_cast<std::size_t>(aRatio * order.size());
  for (std::size_t i = 0; i < count; ++i) {
    Kill(order[i], aDownFor);
  }
}

void
StreamModel::SetCut(std::size_t aZone, bool aIsCut)
{
  if (aIsCut) {
    m_cutZones.insert(aZone);
  } else {
    m_cutZones.erase(aZone);
  }
}

bool
StreamModel::IsCutBetween(std::size_t aFrom, std::size_t aTo) const
{
  return ZoneOf(aFrom) != ZoneOf(aTo) && (m_cutZones.contains(ZoneOf(aFrom)) ||
                                          m_cutZones.contains(ZoneOf(aTo)));
}

//! A router that is down or has just started counts as a member as long as the
//! others have not noticed.
void
StreamModel::UpdateMembers()
{
  std::set<std::size_t> members;
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    const auto& router = m_routers[i];
    const bool isKnown = router.directory != nullptr && m_now >= router.knownAt;
    if (isKnown || m_now < router.leftOutAt) {
      members.insert(i);
    }
  }
  if (members == m_members) {
    return;
  }
  m_members = members;
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    if (m_routers[i].directory == nullptr) {
      continue;
    }
    std::vector<FleetMember> others;
    others.reserve(members.size());
    for (const auto one : members) {
      if (one != i) {
        others.push_back(m_routers[one].member);
      }
    }
    m_routers[i].directory->SetMembers(others, m_now);
  }
}

void
StreamModel::BeginStreams()
{
  const double perStep = m_settings.streamsPerSecond * kStep.count() / 1000.0;
  std::uniform_real_distribution<double> draw(0, 1);
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    if (m_routers[i].directory == nullptr || draw(m_random) >= perStep) {
      continue;
    }
    const Stream stream{ StreamIdOf(std::to_string(m_nextStream++)),
                         VersionId(1 + m_random() % kVersions),
                         i,
                         m_now };
    m_routers[i].directory->RecordBegin(
      stream.id, stream.version, m_settings.lifetime, m_now);
    m_streams.push_back(stream);
  }
}

void
StreamModel::Collect(std::size_t aRouter)
{
  std::uniform_real_distribution<double> draw(0, 1);
  for (auto& datagram : m_routers[aRouter].directory->TakeDatagrams()) {
    m_bytes += kHeaderBytes + kRecordBytes * datagram.message.records.size();
    if (draw(m_random) < m_settings.lossRatio) {
      continue;
    }
    const auto delay = Duration(
      static_cast<std::int64_t>(kMinDelayMs + m_random() % kDelaySpreadMs));
    m_network.emplace(m_now + delay, InFlight{ aRouter, std::move(datagram) });
  }
}

void
StreamModel::Deliver()
{
  while (!m_network.empty() && m_network.begin()->first <= m_now) {
    const auto inFlight = std::move(m_network.begin()->second);
    m_network.erase(m_network.begin());
    const auto to = m_routerOf.at(inFlight.datagram.to.Text());
    auto* directory = m_routers[to].directory.get();
    if (directory == nullptr || IsCutBetween(inFlight.from, to)) {
      continue;
    }
    directory->Take(inFlight.datagram.message,
                    m_routers[inFlight.from].member.address,
                    m_now);
    Collect(to);
  }
}

void
StreamModel::Step()
{
  m_now += kStep;
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    auto& router = m_routers[i];
    if (router.directory == nullptr && m_now >= router.backAt) {
      Start(i);
      std::vector<FleetMember> others;
      for (const auto one : m_members) {
        if (one != i) {
          others.push_back(m_routers[one].member);
        }
      }
      router.directory->SetMembers(others, m_now);
    }
  }
  UpdateMembers();
  Deliver();
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    if (auto* directory = m_routers[i].directory.get()) {
      directory->Tick(m_now);
      Collect(i);
      m_maxRecords = std::max(m_maxRecords, directory->Records().Size());
    }
  }
}

void
StreamModel::Run(Duration aLength)
{
  for (const auto until = m_now + aLength; m_now < until;) {
    Step();
    BeginStreams();
  }
}

std::size_t
StreamModel::RandomRunning()
{
  for (;;) {
    const auto router = m_random() % m_routers.size();
    if (IsRunning(router)) {
      return router;
    }
  }
}

StreamModelCounts
StreamModel::ResumeAll(const std::vector<Stream>& aStreams)
{
  StreamModelCounts counts;
  std::map<StreamId, Stream> asked;
  std::vector<std::size_t> routers;
  const auto count = [&](const std::optional<StreamRecord>& aRecord,
                         const Stream& aStream) {
    const bool isKnown = aRecord && aRecord->version == aStream.version;
    counts.known += isKnown ? 1 : 0;
    counts.wrongVersion += aRecord && !isKnown ? 1 : 0;
  };
  for (const auto& stream : aStreams) {
    counts.resumed++;
    const auto router = RandomRunning();
    auto& directory = *m_routers[router].directory;
    if (const auto record = directory.Find(stream.id, m_now)) {
      count(record, stream);
      continue;
    }
    directory.Ask(stream.id, m_now);
    Collect(router);
    asked[stream.id] = stream;
    routers.push_back(router);
  }
  const auto until = m_now + kStreamLookupTimeout + 2 * kStep;
  while (m_now < until) {
    Step();
    for (const auto router : routers) {
      for (const auto& result : m_routers[router].directory->TakeResults()) {
        count(result.record, asked.at(result.stream));
        counts.longestLookup = std::max(counts.longestLookup, result.took);
      }
    }
  }
  return counts;
}

double
StreamModel::BytesPerSecond() const
{
  const auto seconds = static_cast<double>((m_now - m_begunAt).count()) / 1000;
  return static_cast<double>(m_bytes) / seconds /
         static_cast<double>(m_routers.size());
}

}
