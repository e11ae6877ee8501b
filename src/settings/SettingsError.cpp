#include "peridotspool/settings/SettingsError.h"

namespace peridotspool::settings {

std::string
ToText(const SettingsError& aError)
{
  return aError.mFile + ":" + std::to_string(aError.mLine) + ":" +
         std::to_string(aError.mColumn) + ": " + aError.mMessage;
}

std::string
ToText(const SettingsErrors& aErrors)
{
  std::string text;
  for (const SettingsError& error : aErrors) {
    text += ToText(error) + "\n";
  }
  return text;
}

} // namespace peridotspool::settings
