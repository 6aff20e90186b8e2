// Connection and response parser of one attempt.
#include "gateway_attempt.h"

#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "tcp_connection.h"

namespace bramleybank {

GatewayAttempt::GatewayAttempt(EventLoop* loop,
                               const std::string& address,
                               std::string message,
                               bool is_head_request,
                               AttemptCallbacks callbacks)
    : m_loop(loop),
      m_message(std::move(message)),
      m_callbacks(std::move(callbacks)),
      m_parser(Http1Parser::Direction::kResponses,
               kMaxEndpointHeadBytes,
               {.on_head =
                    [this](const Http1Head& head) {
                      if (!m_is_cancelled) {
                        m_callbacks.on_head(head);
                      }
                    },
                .on_body =
                    [this](std::string_view data) {
                      if (!m_is_cancelled) {
                        m_callbacks.on_body(data);
                      }
                    },
                .on_complete = [this] { PostEnd(AttemptEnd::kComplete); }}),
      m_alive(std::make_shared<GatewayAttempt*>(this)) {
  if (is_head_request) {
    m_parser.ExpectNoBody();
  }
  m_connection = TcpConnection::Connect(
      loop, address, kEndpointConnectTimeout,
      {.on_connected =
           [this] {
             m_is_connected = true;
             m_connection->Write(std::exchange(m_message, {}));
           },
       .on_data = [this](std::string_view data) { OnData(data); },
       .on_end = [this](TcpCloseReason end) { OnTcpEnd(end); },
       .on_drained = nullptr});
}

GatewayAttempt::~GatewayAttempt() {
  Cancel();
}

bool GatewayAttempt::was_sent() const {
  return m_was_sent || (m_connection && m_connection->sent_bytes() > 0);
}

bool GatewayAttempt::WasReceived() const {
  return m_connection && !m_connection->has_undelivered_output();
}

void GatewayAttempt::SetReading(bool reading) {
  if (m_connection) {
    m_connection->SetReading(reading);
  }
}

void GatewayAttempt::Cancel() {
  m_is_cancelled = true;
  CloseConnection();
}

void GatewayAttempt::CloseConnection() {
  if (m_connection) {
    m_was_sent = was_sent();
    m_connection->Close();
    m_connection.reset();
  }
}

void GatewayAttempt::OnData(std::string_view data) {
  const std::weak_ptr<GatewayAttempt*> alive = m_alive;
  m_parser.Feed(data);
  if (alive.expired()) {
    return;
  }
  if (m_parser.error() != Http1ParseError::kNone) {
    PostEnd(AttemptEnd::kBroken);
  }
}

void GatewayAttempt::OnTcpEnd(TcpCloseReason end) {
  m_was_closed_by_endpoint = m_is_connected;
  if (end == TcpCloseReason::kClosed && WasReceived()) {
    // End of file completes a response without a length; any other response
    // stays incomplete.
    m_parser.FeedEof();
  }
  PostEnd(was_sent() ? AttemptEnd::kBroken : AttemptEnd::kNotSent);
}

void GatewayAttempt::PostEnd(AttemptEnd end) {
  if (m_ended || m_is_cancelled) {
    return;
  }
  m_ended = true;
  CloseConnection();
  m_loop->Post([weak = std::weak_ptr(m_alive), end] {
    const auto self = weak.lock();
    if (!self || (*self)->m_is_cancelled) {
      return;
    }
    const auto on_end = (*self)->m_callbacks.on_end;
    on_end(end);
  });
}

}  // namespace bramleybank
