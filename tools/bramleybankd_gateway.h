// Runs the daemon as a gateway on the users' platform.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_

namespace bramleybank {

struct GatewaySettings;

/// Serves until a planned stop has ended.
/// @returns the exit code, `start_failed` when a port cannot be opened.
int ServeGateway(const GatewaySettings& settings, int start_failed);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYBANKD_GATEWAY_H_
