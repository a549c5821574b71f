#include "settings/SettingsRules.h"

#include <string>
#include <string_view>

namespace mustardwinch {
namespace {

bool IsLogLevel(std::string_view aText)
{
  return aText == "debug" || aText == "info" || aText == "warn" || aText == "error";
}

bool IsDialAddress(std::string_view aText)
{
  const auto address = Address::Parse(aText);
  return address && address->ip != 0 && kAddressRule.accepts(aText);
}

} // namespace

const TextRule kLogLevelRule{ "debug, info, warn or error", &IsLogLevel };
const TextRule kDialAddressRule{
  "an IPv4 address other than 0.0.0.0 and a port, such as 10.0.0.1:7000",
  &IsDialAddress
};

void ReadAddress(SpecReader& aReader, const char* aName, const TextRule& aRule, Address& aTarget)
{
  std::string text;
  aReader.Text(aName, Presence::kRequired, aRule, text);
  aTarget = Address::Parse(text).value_or(Address{});
}

} // namespace mustardwinch
