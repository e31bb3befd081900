#pragma once

#include <cstdint>
#include <string>

namespace hemlockgauge::gateway {

class Gateway;

//! Reloads the settings file on request or when the file was modified. If the
//! file can't be read or is invalid, the current settings stay in force.
class SettingsWatch
{
public:
  SettingsWatch(std::string aFile, Gateway& aRouter);

  //! aReloadRequests is the number of reload requests since the start.
  void Tick(int aReloadRequests);

private:
  std::string m_file;
  Gateway& m_router;
  std::int64_t m_modifiedAt;
  int m_reloadRequests = 0;
};

}
