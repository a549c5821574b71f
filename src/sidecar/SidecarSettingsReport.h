#pragma once

#include "settings/SettingsReport.h"
#include "sidecar/SidecarSettings.h"

#include <string>

namespace mustardwinch {

using SidecarSettingsReport = SettingsReport<SidecarSettings>;

/** Parses and validates settings. @param aFile file name for problem reports */
SidecarSettingsReport ParseSidecarSettings(const std::string& aText, const std::string& aFile);

/** Reads, parses and validates a settings file. */
SidecarSettingsReport ReadSidecarSettings(const std::string& aPath);

} // namespace mustardwinch
