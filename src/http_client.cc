// HTTP client built on curl_multi_socket_action().
#include "http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "http1_status.h"
#include "tcp_connection.h"

namespace bramleybank {
namespace {

constexpr long kMaxIdleConnections = 256;

std::string_view TrimSpace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() &&
         (text.back() == '\r' || text.back() == '\n' || text.back() == ' ')) {
    text.remove_suffix(1);
  }
  return text;
}

/// @returns whether only the end of the connection ends the answer.
bool EndsWithConnection(const HttpOutcome& outcome) {
  return !HasNoBody(outcome.status) && !HasStatedEnd(outcome.headers);
}

}  // namespace

struct HttpClient::Impl {
  struct Transfer {
    uint64_t id = 0;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    std::string body;
    HttpClientCallbacks callbacks;
    HttpOutcome outcome;
    bool paused = false;
    // The final status line and its headers have arrived.
    bool has_head = false;
    size_t head_bytes = 0;
    bool cancelled = false;
  };

  explicit Impl(EventLoop* event_loop) : loop(event_loop) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi = curl_multi_init();
    assert(multi != nullptr);
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    // With HTTP/1.1 pipelining or HTTP/2 several requests would share a
    // connection. With one request at a time per connection, a failed
    // connection affects one request only.
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Impl() {
    loop->Cancel(timer);
    for (auto& [id, transfer] : transfers) {
      curl_multi_remove_handle(multi, transfer->easy);
      FreeEasyHandle(transfer.get());
    }
    curl_multi_cleanup(multi);
  }

  static int OnSocket(CURL* /*easy*/,
                      curl_socket_t fd,
                      int what,
                      void* data,
                      void* /*socket_data*/) {
    auto* self = static_cast<Impl*>(data);
    if (what == CURL_POLL_REMOVE) {
      self->loop->Unwatch(fd);
      return 0;
    }
    const bool read = (what & CURL_POLL_IN) != 0;
    const bool write = (what & CURL_POLL_OUT) != 0;
    self->loop->Watch(fd, read, write, [self, fd](IoReady ready) {
      int flags = 0;
      flags |= ready.readable ? CURL_CSELECT_IN : 0;
      flags |= ready.writable ? CURL_CSELECT_OUT : 0;
      self->RunSocketAction(fd, flags);
    });
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* data) {
    auto* self = static_cast<Impl*>(data);
    self->loop->Cancel(self->timer);
    self->timer = TimerHandle();
    if (timeout_ms >= 0) {
      self->timer = self->loop->Schedule(
          std::chrono::milliseconds(timeout_ms),
          [self] { self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0); });
    }
    return 0;
  }

  static size_t OnHeader(char* bytes, size_t size, size_t count, void* data) {
    auto* transfer = static_cast<Transfer*>(data);
    const size_t length = size * count;
    transfer->head_bytes += length;
    if (transfer->head_bytes > kMaxClientHeadBytes) {
      return 0;
    }
    if (transfer->has_head) {
      // A field of the trailer, which is not part of the headers.
      return length;
    }
    const std::string_view line = TrimSpace({bytes, length});
    if (line.starts_with("HTTP/")) {
      // A new status line: discard the headers of an interim response.
      transfer->outcome.headers.clear();
      return IsValidStatusLine(line) ? length : 0;
    }
    if (line.empty()) {
      return ReportHeaders(transfer) ? length : 0;
    }
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      transfer->outcome.headers.emplace_back(line.substr(0, colon),
                                             TrimSpace(line.substr(colon + 1)));
    }
    return length;
  }

  static bool ReportHeaders(Transfer* transfer) {
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < kMinFinalStatus) {
      return status != kStatusSwitchingProtocols;
    }
    transfer->outcome.status = static_cast<int>(status);
    transfer->has_head = true;
    if (!transfer->callbacks.on_headers) {
      return true;
    }
    transfer->callbacks.on_headers(transfer->outcome.status,
                                   transfer->outcome.headers);
    return !transfer->cancelled;
  }

  static size_t OnBody(char* bytes, size_t size, size_t count, void* data) {
    auto* transfer = static_cast<Transfer*>(data);
    if (transfer->paused) {
      return CURL_WRITEFUNC_PAUSE;
    }
    const size_t length = size * count;
    if (!transfer->callbacks.on_data) {
      if (transfer->outcome.body.size() + length > kMaxClientBodyBytes) {
        return 0;
      }
      transfer->outcome.body.append(bytes, length);
      return length;
    }
    transfer->callbacks.on_data({bytes, length});
    // A short count makes libcurl abort the transfer.
    return transfer->cancelled ? 0 : length;
  }

  void RunSocketAction(curl_socket_t fd, int flags) {
    int running = 0;
    // Not known for CURL_SOCKET_TIMEOUT, which is no socket.
    undelivered_bytes = UnacknowledgedBytes(fd).value_or(0);
    ++callback_depth;
    curl_multi_socket_action(multi, fd, flags, &running);
    --callback_depth;
    FinishCompleted();
    undelivered_bytes = 0;
  }

  void FinishCompleted() {
    if (callback_depth > 0) {
      return;
    }
    // Transfers that were cancelled inside a callback are freed here, outside
    // libcurl.
    for (const uint64_t id : std::exchange(cancelled_ids, {})) {
      Remove(id);
    }
    std::vector<std::pair<uint64_t, CURLcode>> completed;
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      completed.emplace_back(transfer->id, message->data.result);
    }
    for (const auto& [id, result] : completed) {
      Finish(id, result);
    }
  }

  void Finish(uint64_t id, CURLcode result) {
    const auto it = transfers.find(id);
    if (it == transfers.end()) {
      return;
    }
    Transfer* transfer = it->second.get();
    HttpOutcome outcome = std::move(transfer->outcome);
    long request_size = 0;
    curl_off_t uploaded = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_size);
    curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    outcome.request_bytes_sent =
        static_cast<uint64_t>(request_size) + static_cast<uint64_t>(uploaded);
    // A server that closes before it has received the request may have broken
    // off its answer.
    const bool is_cut_off =
        EndsWithConnection(outcome) &&
        (static_cast<size_t>(uploaded) < transfer->body.size() ||
         undelivered_bytes > 0);
    outcome.complete = result == CURLE_OK && !is_cut_off;
    outcome.timed_out = result == CURLE_OPERATION_TIMEDOUT;
    if (result != CURLE_OK) {
      outcome.error = curl_easy_strerror(result);
    } else if (is_cut_off) {
      outcome.error = "the server closed before it had received the request";
    }
    const auto on_done = std::move(transfer->callbacks.on_done);
    Remove(id);
    if (on_done) {
      on_done(outcome);
    }
  }

  void Remove(uint64_t id) {
    const auto it = transfers.find(id);
    if (it == transfers.end()) {
      return;
    }
    std::unique_ptr<Transfer> transfer = std::move(it->second);
    transfers.erase(it);
    curl_multi_remove_handle(multi, transfer->easy);
    FreeEasyHandle(transfer.get());
  }

  static void FreeEasyHandle(Transfer* transfer) {
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->header_list);
  }

  Transfer* Find(TransferHandle handle) {
    const auto it = transfers.find(handle.value());
    return it == transfers.end() ? nullptr : it->second.get();
  }

  void ConfigureTransfer(Transfer* transfer, const HttpClientRequest& request) {
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    if (request.connect_timeout.count() > 0) {
      curl_easy_setopt(
          easy, CURLOPT_CONNECTTIMEOUT_MS,
          static_cast<long>(ToMilliseconds(request.connect_timeout)));
    }
    if (request.total_timeout.count() > 0) {
      curl_easy_setopt(
          easy, CURLOPT_TIMEOUT_MS,
          static_cast<long>(ToMilliseconds(request.total_timeout)));
    }
    if (request.single_attempt) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    SetBodyAndHeaders(transfer, request);
  }

  static void SetBodyAndHeaders(Transfer* transfer,
                                const HttpClientRequest& request) {
    CURL* easy = transfer->easy;
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT";
    if (request.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (has_body) {
      transfer->body = request.body;
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(transfer->body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    }
    // Disables "Expect: 100-continue": libcurl would wait up to one second for
    // "100 Continue" before it sends a body.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : request.headers) {
      std::string line = name;
      line.append(": ").append(value);
      list = curl_slist_append(list, line.c_str());
    }
    transfer->header_list = list;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  }

  EventLoop* loop;
  CURLM* multi = nullptr;
  TimerHandle timer;
  // Nesting depth of libcurl calls that may run callbacks. Transfers are
  // removed and their end is reported only at depth 0, because libcurl forbids
  // removing handles inside a callback.
  int callback_depth = 0;
  // Of the socket whose event is being handled, when the event occurred.
  size_t undelivered_bytes = 0;
  uint64_t next_id = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Transfer>> transfers;
  std::vector<uint64_t> cancelled_ids;
};

HttpClient::HttpClient(EventLoop* loop) : m_impl(std::make_unique<Impl>(loop)) {
  assert(loop != nullptr);
}

HttpClient::~HttpClient() = default;

TransferHandle HttpClient::Start(const HttpClientRequest& request,
                                 HttpClientCallbacks callbacks) {
  auto transfer = std::make_unique<Impl::Transfer>();
  transfer->id = m_impl->next_id++;
  transfer->easy = curl_easy_init();
  assert(transfer->easy != nullptr);
  transfer->callbacks = std::move(callbacks);
  m_impl->ConfigureTransfer(transfer.get(), request);
  const TransferHandle handle(transfer->id);
  CURL* easy = transfer->easy;
  m_impl->transfers.emplace(transfer->id, std::move(transfer));
  curl_multi_add_handle(m_impl->multi, easy);
  return handle;
}

void HttpClient::Cancel(TransferHandle handle) {
  Impl::Transfer* transfer = m_impl->Find(handle);
  if (transfer == nullptr || transfer->cancelled) {
    return;
  }
  transfer->cancelled = true;
  transfer->callbacks.on_done = nullptr;
  if (m_impl->callback_depth > 0) {
    // A callback may be running, so the function objects are freed later
    // together with the transfer.
    m_impl->cancelled_ids.push_back(transfer->id);
    return;
  }
  m_impl->Remove(transfer->id);
}

void HttpClient::Pause(TransferHandle handle) {
  if (Impl::Transfer* transfer = m_impl->Find(handle)) {
    transfer->paused = true;
  }
}

void HttpClient::Resume(TransferHandle handle) {
  Impl::Transfer* transfer = m_impl->Find(handle);
  if (transfer == nullptr || !transfer->paused) {
    return;
  }
  transfer->paused = false;
  ++m_impl->callback_depth;
  curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
  --m_impl->callback_depth;
  if (m_impl->callback_depth == 0) {
    m_impl->loop->Post([impl = m_impl.get()] { impl->FinishCompleted(); });
  }
}

}  // namespace bramleybank
