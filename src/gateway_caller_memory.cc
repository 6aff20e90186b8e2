// The share of a caller's connection in the memory budget, and the limits on
// its pace.
#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "gateway_caller.h"
#include "log_event.h"
#include "tcp_connection.h"

namespace bramleybank {
namespace {

// Share of the idle timeout for which a connection may stay idle however many
// connections wait.
constexpr double kKeptIdleShare = 0.8;

}  // namespace

bool GatewayCaller::ReserveForParsing(std::string_view data) {
  // A header takes far more memory than its bytes if it is short.
  const std::string_view head = data.substr(0, data.find("\r\n\r\n"));
  const auto lines =
      static_cast<size_t>(std::count(head.begin(), head.end(), '\n'));
  if (m_account.Reserve(HeldBytes() + data.size() +
                        lines * kHeaderFieldBytes)) {
    return true;
  }
  // The input cannot be left unread any more.
  OnEvicted();
  return false;
}

void GatewayCaller::GrowBody(size_t bytes) {
  const size_t doubled = 2 * m_request.body.capacity();
  size_t capacity = std::max(bytes, std::min(doubled, m_expected_body));
  const size_t total = HeldBytes() - m_request.body.capacity() + capacity;
  if (!m_account.Reserve(total)) {
    capacity = bytes;
    if (!std::exchange(m_waits_for_memory, true)) {
      m_wait_start = m_loop->Now();
    }
    m_account.Wait(total);
  }
  // std::string::reserve() at least doubles the capacity.
  std::string body;
  body.reserve(capacity);
  body.append(m_request.body);
  m_request.body = std::move(body);
}

size_t GatewayCaller::HeldBytes() const {
  return m_request.body.capacity() + m_header_memory + m_passed_on_memory +
         m_parser.held_bytes() +
         (m_connection ? m_connection->held_bytes() : 0);
}

void GatewayCaller::RefreshMemory() {
  RecordMemory();
  const uint64_t delivered = m_connection->delivered_bytes();
  const bool is_served_here =
      !m_closed && m_is_busy && m_connection->unsent_bytes() == 0;
  if (is_served_here || delivered >= m_memory_mark + kMinCallerProgressBytes) {
    m_memory_mark = delivered;
    m_account.OnProgress();
  }
}

void GatewayCaller::OnMemoryGranted() {
  if (m_closed || !std::exchange(m_waits_for_memory, false)) {
    return;
  }
  // The time of the wait does not count against the caller.
  m_last_activity = m_loop->Now();
  m_pace_start += m_last_activity - m_wait_start;
  UpdateReading();
}

void GatewayCaller::EndMemoryWait() {
  m_waits_for_memory = false;
  m_account.CancelWait();
}

void GatewayCaller::OnEvicted() {
  const auto self = shared_from_this();
  LogLine(LogEventId::kMemoryEvicted)
      .Field("held", static_cast<long long>(HeldBytes()))
      .Field("busy", m_is_busy ? 1 : 0);
  if (m_closed) {
    m_connection->Close();
    return;
  }
  if (IsIdle()) {
    CloseIfIdle(CallerCloseReason::kMemory);
    return;
  }
  if (m_is_busy || m_connection->unsent_bytes() > 0) {
    CloseNow(CallerCloseReason::kMemory);
    return;
  }
  RefuseAndClose(InfoOf(ResultCode::kMemoryExhausted).http_status,
                 ResultCode::kMemoryExhausted, kBusyRetryAfter);
}

void GatewayCaller::UpdateReading() {
  if (m_closed) {
    return;
  }
  const bool is_full = (m_is_busy || m_waits_for_drain) &&
                       m_parser.unparsed_bytes() > kMaxPipelinedCallerBytes;
  m_connection->SetReading(!m_waits_for_memory && !is_full);
}

void GatewayCaller::ReadNextRequest() {
  if (m_closed || m_is_busy) {
    return;
  }
  m_waits_for_drain =
      m_connection->unsent_bytes() > m_hooks->memory_limits.max_unread_bytes;
  if (m_waits_for_drain) {
    UpdateReading();
    return;
  }
  if (m_parser.unparsed_bytes() > 0) {
    m_message_start = m_pace_start = m_loop->Now();
    m_message_bytes = m_parser.unparsed_bytes();
    ApplyLimits();
    if (!ReserveForParsing(m_parser.unparsed())) {
      return;
    }
  }
  m_parser.Resume();
  CheckFault();
  RecordMemory();
  UpdateReading();
}

bool GatewayCaller::IsReplaceable() const {
  return IsIdle() &&
         static_cast<double>((m_loop->Now() - m_last_activity).count()) >
             kKeptIdleShare *
                 static_cast<double>(m_limits.idle_timeout.count());
}

bool GatewayCaller::IsTooSlow() const {
  const Duration late = m_loop->Now() - m_pace_start - m_limits.idle_timeout;
  const double seconds = std::chrono::duration<double>(late).count();
  return seconds > 0 &&
         static_cast<double>(m_message_bytes) <
             seconds *
                 static_cast<double>(m_hooks->memory_limits.min_caller_rate);
}

}  // namespace bramleybank
