#include "mustardwinch/Address.h"
#include "mwctl/Commands.h"
#include "platform/HttpPlatform.h"

#include <gflags/gflags.h>

#include <unistd.h>

#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(platform, "127.0.0.1:7100", "addresses of the platform's object API, by comma");
DEFINE_string(output, "text", "text or json");
DEFINE_string(file, "-", "file with resources or a key; - is standard input");
DEFINE_string(f, "", "short for --file");
DEFINE_double(seconds, 0, "watch: how long; 0 is without end");

using namespace mustardwinch;

namespace {

std::string HelpText()
{
  std::string text = "operators' command line of the proxy fleet\n";
  for (const Command& it : Commands()) {
    text += "  mwctl " + it.usage + "\n";
  }
  return text + "exit codes: 0 done, 2 bad input, 3 not found, 4 conflict, 5 platform "
                "unavailable, 6 partly done";
}

/** The addresses in a list by comma; none if one is malformed. */
std::vector<Address> ParseAddresses(const std::string& aText)
{
  std::vector<Address> addresses;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    const auto address = Address::Parse(item);
    if (!address) {
      return {};
    }
    addresses.push_back(*address);
  }
  return addresses;
}

/** Unique for each run, so that a write whose reply was lost can be told from others. */
std::string MakeWriter()
{
  std::random_device random;
  std::ostringstream text;
  text << "mwctl-" << getpid() << '-' << std::hex << random() << random();
  return text.str();
}

const Command* FindCommand(const std::string& aName)
{
  for (const Command& it : Commands()) {
    if (it.name == aName) {
      return &it;
    }
  }
  return nullptr;
}

ExitCode Run(const std::vector<std::string>& aWords)
{
  const Command* command = aWords.empty() ? nullptr : FindCommand(aWords.front());
  if (command == nullptr) {
    std::cerr << HelpText() << '\n';
    return ExitCode::kUsage;
  }
  const std::vector<std::string> arguments(aWords.begin() + 1, aWords.end());
  if (arguments.size() != command->arguments) {
    std::cerr << "usage: mwctl " << command->usage << '\n';
    return ExitCode::kUsage;
  }
  const auto client = HttpPlatform::Make(ParseAddresses(FLAGS_platform));
  if (client == nullptr || (FLAGS_output != "text" && FLAGS_output != "json")) {
    std::cerr << "mwctl: --platform must be a.b.c.d:port[,...] and --output text or json\n";
    return ExitCode::kUsage;
  }
  PlatformApi platform(client);
  const std::string file = FLAGS_f.empty() ? FLAGS_file : FLAGS_f;
  const CommandContext context{
    platform, MakeWriter(), FLAGS_output == "json", file, FLAGS_seconds
  };
  return command->run(context, arguments);
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(HelpText());
  gflags::SetVersionString(MW_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return static_cast<int>(Run(std::vector<std::string>(argv + 1, argv + argc)));
}
