// Reduces configured priorities to the range of the engines.
#include "request_priority.h"

#include <algorithm>

#include "gateway_config.h"

namespace bramleybank {

int RequestPriority(const GatewayRoute& route,
                    const GatewayCustomer* customer) {
  const bool overrides = customer != nullptr && customer->priority.has_value();
  const int priority = overrides ? *customer->priority : route.priority;
  return std::clamp(priority, 0, kLowestEnginePriority);
}

}  // namespace bramleybank
