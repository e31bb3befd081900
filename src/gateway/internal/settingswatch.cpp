#include "gateway/settingswatch.h"

#include "base/error.h"
#include "base/logline.h"
#include "gateway/gateway.h"
#include "gateway/gatewaysettings.h"

#include <sys/stat.h>

namespace hemlockgauge::gateway {

namespace {

constexpr std::int64_t kNanosInSecond = 1000000000;

//! Modification time of the file in ns; 0 if the file can't be accessed.
std::int64_t
ModificationTime(const std::string& aFile)
{
  struct stat status
  {};
  if (stat(aFile.c_str(), &status) != 0) {
    return 0;
  }
  return static_cast<std::int64_t>(status.st_mtim.tv_sec) * kNanosInSecond +
         status.st_mtim.tv_nsec;
}

}

SettingsWatch::SettingsWatch(std::string aFile, Gateway& aRouter)
  : m_file(std::move(aFile))
  , m_router(aRouter)
  , m_modifiedAt(ModificationTime(m_file))
{
}

void
SettingsWatch::Tick(int aReloadRequests)
{
  const auto modifiedAt = ModificationTime(m_file);
  if (aReloadRequests == m_reloadRequests && modifiedAt == m_modifiedAt) {
    return;
  }
  m_reloadRequests = aReloadRequests;
  m_modifiedAt = modifiedAt;
  try {
    m_router.Reload(ReadGatewaySettings(m_file));
  } catch (const base::Error& error) {
    base::LogLine("settings-refused").Add("why", error.what()).Error();
  }
}

}
