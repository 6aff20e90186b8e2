// Command line and settings of bramleyctl.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_OPTIONS_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_OPTIONS_H_

#include <chrono>
#include <string>
#include <vector>

namespace bramleybank {

/// Options from the command line and the settings file.
struct CtlOptions {
  /// Operator ports as "ip:port", in the order in which they are tried.
  std::vector<std::string> targets;
  /// Caller port as "ip:port", for `call`.
  std::string caller;
  std::string customer;
  /// Id of the change. If empty, the id in the file is used, or one derived
  /// from its content.
  std::string id;
  /// Longest time to wait until a change is in force.
  std::chrono::seconds wait{15};
  bool json = false;
  std::string command;
  std::vector<std::string> arguments;

  friend bool operator==(const CtlOptions&, const CtlOptions&) = default;
};

/// Reads the command line. Help, version, --check-config and errors end the
/// process with the codes of bramleyctl_exit.h.
CtlOptions ReadCtlOptions(int argc, char** argv);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_OPTIONS_H_
