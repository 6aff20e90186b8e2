// The priority with which engines serve a request.
#ifndef BRAMLEYBANK_SRC_REQUEST_PRIORITY_H_
#define BRAMLEYBANK_SRC_REQUEST_PRIORITY_H_

#include <optional>

namespace bramleybank {

struct GatewayCustomer;
struct GatewayRoute;

/// Lowest priority that engines distinguish; 0 is the highest.
inline constexpr int kLowestEnginePriority = 9;

/// Answers a load in which urgent and patient requests compete for the same
/// engines. Engines admit more urgent requests first and preempt others when
/// their memory runs out.
/// @param customer null when the request has none. Its priority, if it has one,
/// overrides that of the route.
/// @returns the priority of the request, from 0 to kLowestEnginePriority.
int RequestPriority(const GatewayRoute& route, const GatewayCustomer* customer);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_REQUEST_PRIORITY_H_
