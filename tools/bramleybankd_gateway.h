// Runs the daemon as a gateway on the users' platform.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_

#include <string>

namespace bramleybank {

struct GatewaySettings;

/// Serves until a planned stop has ended.
/// @param file the settings' file, read again on SIGHUP.
/// @returns the exit code, `start_failed` when a port cannot be opened.
int ServeGateway(const std::string& file,
                 const GatewaySettings& settings,
                 int start_failed);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
