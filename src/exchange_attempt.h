// One send of a request to an endpoint, and what has come back.
#ifndef BRAMLEYBANK_SRC_EXCHANGE_ATTEMPT_H_
#define BRAMLEYBANK_SRC_EXCHANGE_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "answer_buffer.h"
#include "endpoint_entry.h"
#include "event_splitter.h"
#include "gateway_attempt.h"
#include "gateway_request.h"
#include "hooks.h"
#include "http1_parser.h"
#include "stream_backup.h"

namespace bramleybank {

/// State of one attempt of an exchange.
struct ExchangeAttempt {
  /// @param memory budget for the answer or its unfinished event.
  explicit ExchangeAttempt(MemoryBudget* memory)
      : body(memory), events(memory) {}

  /// Whether the attempt is open and its endpoint may have received any byte of
  /// the request.
  bool was_sent() const { return connection && connection->was_sent(); }

  /// Number of the send within its exchange.
  int number = 0;
  EndpointEntry endpoint;
  TimePoint started_at;
  /// Null before the attempt starts and after it has ended.
  std::unique_ptr<GatewayAttempt> connection;
  /// Copy of the run's KV cache. Set once the attempt has started.
  std::unique_ptr<StreamBackup> backup;
  Http1Head head;
  AnswerMetadata answer;
  AnswerBuffer body;
  EventSplitter events;
  /// Not counting comments and empty lines.
  bool has_event = false;
  /// The attempt continues a stream that has begun, and none of its events has
  /// shown by its id that it does.
  bool must_follow = false;
  /// An event has arrived.
  bool has_begun = false;
  /// The attempt was silent and could not be replaced; for the log.
  bool is_kept = false;
  /// The silence of the attempt has been reported as a loss of its endpoint.
  bool is_reported_silent = false;
  /// Entry in the ledger of loads, or 0.
  uint64_t load_entry = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EXCHANGE_ATTEMPT_H_
