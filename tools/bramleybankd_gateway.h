// Runs the daemon as a gateway on the users' platform.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_

#include <string>

namespace bramleybank {

struct GatewaySettings;

/// Serves until a graceful shutdown is complete.
/// @param file the settings file, which is read again on SIGHUP.
/// @returns the exit code: 0, or `start_failure_code` if a port cannot be
/// opened.
int ServeGateway(const std::string& file,
                 const GatewaySettings& settings,
                 int start_failure_code);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
