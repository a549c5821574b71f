#pragma once

#include "settings/NodeSettings.h"
#include "settings/SettingsReport.h"

#include <string>

namespace mustardwinch {

using NodeSettingsReport = SettingsReport<NodeSettings>;

/** Reads and checks a settings file. */
NodeSettingsReport ReadNodeSettings(const std::string& aPath);

/** Checks settings in a text. @param aFile name of the file for the problems */
NodeSettingsReport ParseNodeSettings(const std::string& aText, const std::string& aFile);

} // namespace mustardwinch
