// Limits on what a gateway holds for others: connections and memory.
#include <sys/socket.h>
#include <unistd.h>

#include "gateway_p.h"
#include "log_event.h"

namespace bramleybank {
namespace {

constexpr char kTurnedAway[] =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

bool Gateway::Impl::MakeRoomForCaller() {
  const TimePoint now = loop->Now();
  if (now - last_turned_away < kCallerLimitInterval) {
    return false;
  }
  for (const auto& [key, caller] : callers) {
    if (caller->IsReplaceable()) {
      const auto replaced = caller;
      replaced->CloseIfIdle(CallerCloseReason::kIdle);
      return callers.size() < limits.max_callers;
    }
  }
  return false;
}

void Gateway::Impl::TurnAway(int fd) {
  metrics.Count("bramleybank_callers_turned_away_total");
  const TimePoint now = loop->Now();
  if (now - last_turned_away >= kCallerLimitInterval) {
    last_turned_away = now;
    LogLine(LogEventId::kCallersTurnedAway)
        .Field("connections", static_cast<long long>(callers.size()));
  }
  // The caller may not get the response if it has sent a request already.
  [[maybe_unused]] const ssize_t sent =
      send(fd, kTurnedAway, sizeof(kTurnedAway) - 1, MSG_NOSIGNAL);
  close(fd);
}

HttpServerOptions Gateway::Impl::OperatorOptions() const {
  return {
      .max_body_bytes = kMaxOperatorBodyBytes,
      .max_connections = static_cast<unsigned>(limits.max_operator_connections),
      .closes_excess_connections = true};
}

void Gateway::Impl::CheckMemorySoon() {
  if (memory_timer.is_valid()) {
    return;
  }
  // A check visits all connections, and callers can bring denials about.
  const bool is_exceeded = memory.held_bytes() > memory.capacity();
  const Duration wait = last_memory_check + kMemoryCheckInterval - loop->Now();
  memory_timer =
      loop->Schedule(is_exceeded ? Duration{0} : std::max(Duration{0}, wait),
                     [this] { CheckMemory(); });
}

void Gateway::Impl::CheckMemory() {
  // Set during the check, in which owners may report pressure.
  const bool again = memory.Check();
  last_memory_check = loop->Now();
  memory_timer = TimerHandle();
  if (again) {
    memory_timer =
        loop->Schedule(kMemoryCheckInterval, [this] { CheckMemory(); });
  }
}

}  // namespace bramleybank
