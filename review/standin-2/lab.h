// Parts of the cases of the second review: a row store, servers, clients and
// the gateways under test. The store and the servers run as threads of the
// case; the gateways are processes of the project's own program. Everything
// listens on loopback addresses.
#ifndef REVIEW_STANDIN_2_LAB_H_
#define REVIEW_STANDIN_2_LAB_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using nlohmann::json;

inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntil(int64_t at_ms) {
  SleepMs(std::max<int64_t>(0, at_ms - NowMs()));
}

/// Writes lines with their time to record.txt and to standard output.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(m_mutex);
    for (FILE* file : {m_file, stdout}) {
      if (file != nullptr) {
        std::fprintf(file, "%8.3f %s\n", NowMs() / 1000.0, text);
        std::fflush(file);
      }
    }
  }
  /// For lines of which there are many: not to standard output.
  void Detail(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
      std::fprintf(m_file, "%8.3f %s\n", NowMs() / 1000.0, text);
      std::fflush(m_file);
    }
  }

 private:
  std::mutex m_mutex;
  FILE* m_file = nullptr;
};

/// Processes of the project that the case has started and not yet ended.
inline std::mutex g_children_mutex;
inline std::vector<pid_t> g_children;
/// Temporary folders with the settings and the log of a gateway.
inline std::vector<std::string> g_folders;

inline void RemoveFolders() {
  for (const std::string& folder : g_folders) {
    unlink((folder + "/settings.conf").c_str());
    unlink((folder + "/log").c_str());
    rmdir(folder.c_str());
  }
}

inline void EndChildren() {
  const std::lock_guard lock(g_children_mutex);
  for (const pid_t pid : g_children) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  g_children.clear();
}

/// Ends the case at once, with the processes that it has started.
[[noreturn]] inline void Exit(int status) {
  EndChildren();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    RemoveFolders();
  }
  _exit(status);
}

/// Ends the case: it could not run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  Record::Get().Line("cannot run: %s", why.c_str());
  Exit(2);
}

/// @returns a port on which nothing listens. It lies below those of outgoing
/// connections, one of which could take it before the gateway does.
inline uint16_t FreePort() {
  constexpr int kFirst = 15000;
  constexpr int kCount = 15000;
  static int next = static_cast<int>(getpid() * 131 % kCount);
  for (int i = 0; i < kCount; ++i) {
    next = (next + 7) % kCount;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(kFirst + next));
    const int failed =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(fd);
    if (failed == 0) {
      return static_cast<uint16_t>(kFirst + next);
    }
  }
  CannotRun("no free port");
}

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

/// One message on the wire.
struct Message {
  std::string start;                           // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(Lower(name));
    return it == headers.end() ? "" : it->second;
  }
  int Status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  std::string Query(const std::string& name) const {
    const std::string target = Target();
    const size_t mark = target.find('?');
    if (mark == std::string::npos) {
      return "";
    }
    std::stringstream items(target.substr(mark + 1));
    std::string item;
    while (std::getline(items, item, '&')) {
      if (item.compare(0, name.size() + 1, name + "=") == 0) {
        return Decode(item.substr(name.size() + 1));
      }
    }
    return "";
  }
  static std::string Decode(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out.push_back(static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(text[i]);
      }
    }
    return out;
  }
};

/// A connected socket with a read buffer.
class Socket {
 public:
  explicit Socket(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static std::unique_ptr<Socket> Connect(uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Socket>(fd);
  }

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Reads some bytes. @returns false at the end, an error or the time-out.
  bool Fill(int64_t until_ms) {
    const int64_t left = until_ms - NowMs();
    pollfd item{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0) {
      m_timed_out = true;
      return false;
    }
    char block[16384];
    const ssize_t count = recv(m_fd, block, sizeof(block), 0);
    if (count <= 0) {
      m_ended = true;
      return false;
    }
    m_buffer.append(block, static_cast<size_t>(count));
    return true;
  }

  /// Reads one request or response. `complete` is false when it did not arrive
  /// in full.
  Message Read(int64_t timeout_ms,
               const std::function<void(const Message&)>& on_head = nullptr) {
    const int64_t until = NowMs() + timeout_ms;
    Message message;
    size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return message;
      }
    }
    std::stringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    message.start = line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        message.headers[Lower(line.substr(0, colon))] = value;
      }
    }
    if (on_head) {
      on_head(message);
    }
    if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
      ReadChunks(&message, until);
      return message;
    }
    const size_t length =
        std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
      if (!Fill(until)) {
        message.body = m_buffer;
        return message;
      }
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    message.complete = true;
    return message;
  }

  bool ended() const { return m_ended; }
  bool timed_out() const { return m_timed_out; }
  const std::string& buffered() const { return m_buffer; }
  int fd() const { return m_fd; }
  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }

 private:
  void ReadChunks(Message* message, int64_t until) {
    while (true) {
      size_t end = 0;
      while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return;
        }
      }
      const size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < end + 2 + size + 2) {
        if (!Fill(until)) {
          return;
        }
      }
      message->body.append(m_buffer, end + 2, size);
      m_buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        message->complete = true;
        return;
      }
    }
  }

  int m_fd;
  std::string m_buffer;
  bool m_ended = false;
  bool m_timed_out = false;
};

/// Listens on a loopback port; a thread for each connection.
class Listener {
 public:
  using Handler = std::function<void(Socket& socket)>;
  Listener() = default;
  ~Listener() { Stop(); }

  bool Start(Handler handler, uint16_t port = 0) {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    socklen_t length = sizeof(address);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        listen(m_fd, 512) != 0) {
      return false;
    }
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    std::thread([fd = m_fd, handler = std::move(handler)] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        std::thread([client, handler] {
          Socket socket(client);
          handler(socket);
        }).detach();
      }
    }).detach();
    return true;
  }
  /// No more connections are accepted; open ones go on.
  void Stop() {
    if (m_fd >= 0) {
      shutdown(m_fd, SHUT_RDWR);
      close(m_fd);
      m_fd = -1;
    }
  }
  uint16_t port() const { return m_port; }

 private:
  int m_fd = -1;
  uint16_t m_port = 0;
};

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text.push_back(i + j > bytes.size() ? '='
                                          : digits[group >> (18 - 6 * j) & 63]);
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const char* at = c == '=' ? nullptr : std::strchr(digits, c);
    if (at == nullptr) {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(at - digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>(group >> bits & 255));
    }
  }
  return bytes;
}

/// The platform's row store: reads, feeds and conditional transactions.
class Store {
 public:
  /// Time by which each answer of the API is late.
  std::atomic<int64_t> delay_ms{4};
  /// Called after each transaction of a gateway that was applied.
  std::function<void(const std::string& table,
                     const std::string& key,
                     const std::string& value)>
      on_write;

  void Start() {
    if (!m_listener.Start([this](Socket& socket) { Serve(socket); })) {
      CannotRun("the store cannot listen");
    }
  }
  uint16_t port() const { return m_listener.port(); }

  /// Writes a row as the operator or a server. @returns its version.
  uint64_t Put(const std::string& table,
               const std::string& key,
               const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_rows[table][key] = {value, ++m_version, false};
    m_changed.notify_all();
    return m_version;
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_rows[table][key] = {"", ++m_version, true};
    m_changed.notify_all();
  }
  std::string Get(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows[table].find(key);
    return it == m_rows[table].end() || it->second.deleted ? ""
                                                           : it->second.value;
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  static void Reply(Socket& socket, int status, const json& body) {
    const std::string text = body.dump();
    socket.Send("HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  json Answer(const json& rows) const {
    return {{"rows", rows},
            {"has_more", false},
            {"ver", m_version},
            {"now_ms", NowMs() + 1000000}};
  }

  static json RowJson(const std::string& table,
                      const std::string& key,
                      const Row& row) {
    json item = {
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = Base64(row.value);
    }
    return item;
  }

  void Serve(Socket& socket) {
    while (true) {
      const Message request = socket.Read(120000);
      if (!request.complete) {
        return;
      }
      const std::string path = request.Path();
      if (path == "/api/rows-get") {
        HandleRead(socket, request);
      } else if (path == "/api/rows-feed") {
        HandleFeed(socket, request);
      } else if (path == "/api/rows-tx") {
        HandleWrite(socket, request);
      } else {
        Reply(socket, 404, json::object());
      }
    }
  }

  void HandleRead(Socket& socket, const Message& request) {
    const std::string table = request.Query("table");
    const std::string from = request.Query("from");
    json rows = json::array();
    json answer;
    {
      const std::lock_guard lock(m_mutex);
      for (const auto& [key, row] : m_rows[table]) {
        if (!row.deleted && key >= from) {
          rows.push_back(RowJson(table, key, row));
        }
      }
      answer = Answer(rows);
    }
    SleepMs(delay_ms);
    Reply(socket, 200, answer);
  }

  void HandleFeed(Socket& socket, const Message& request) {
    const std::string table = request.Query("table");
    const uint64_t after =
        std::strtoull(request.Query("after").c_str(), nullptr, 10);
    const int64_t until =
        NowMs() + std::strtoll(request.Query("wait_ms").c_str(), nullptr, 10);
    json answer;
    {
      std::unique_lock lock(m_mutex);
      std::map<uint64_t, json> changes;
      while (true) {
        for (const auto& [key, row] : m_rows[table]) {
          if (row.version > after) {
            changes[row.version] = RowJson(table, key, row);
          }
        }
        const int64_t left = until - NowMs();
        if (!changes.empty() || left <= 0) {
          break;
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
      }
      json rows = json::array();
      for (auto& [version, row] : changes) {
        rows.push_back(row);
      }
      answer = Answer(rows);
    }
    SleepMs(delay_ms);
    Reply(socket, 200, answer);
  }

  void HandleWrite(Socket& socket, const Message& request) {
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
      Reply(socket, 400, json::object());
      return;
    }
    // One half of the time passes before the transaction, one half after it.
    SleepMs(delay_ms / 2);
    json answer;
    bool applies = true;
    std::vector<std::array<std::string, 3>> written;
    {
      const std::lock_guard lock(m_mutex);
      json current = json::array();
      for (const json& condition : body.at("expected_rev")) {
        const std::string table = condition.at("table");
        const std::string key = condition.at("key");
        const Row& row = m_rows[table][key];
        const uint64_t version =
            row.deleted || row.version == 0 ? 0 : row.version;
        applies = applies && version == condition.at("ver").get<uint64_t>();
        if (version != 0) {
          current.push_back(RowJson(table, key, row));
        } else if (row.version == 0) {
          m_rows[table].erase(key);
        }
      }
      if (applies) {
        ++m_version;
        for (const json& write : body.at("writes")) {
          const std::string table = write.at("table");
          const std::string key = write.at("key");
          const std::string value =
              FromBase64(write.at("value").get<std::string>());
          m_rows[table][key] = {value, m_version, false};
          written.push_back({table, key, value});
        }
        m_changed.notify_all();
      }
      answer = Answer(applies ? json::array() : current);
    }
    if (on_write) {
      for (const auto& [table, key, value] : written) {
        on_write(table, key, value);
      }
    }
    SleepMs(delay_ms - delay_ms / 2);
    Reply(socket, applies ? 200 : 412, answer);
  }

  Listener m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Row>> m_rows;
  uint64_t m_version = 10;
};

/// One request that a server has begun to run.
struct Run {
  std::string request_id;
  std::string server;
  std::string version;
  int64_t at_ms = 0;
  /// When the server made the last event of the run; 0 before the first one.
  int64_t last_event_ms = 0;
};

/// Runs of all servers.
class Runs {
 public:
  /// @returns the number of the run.
  size_t Add(const Run& run) {
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(run);
    return m_runs.size() - 1;
  }
  void OnEvent(size_t run) {
    const std::lock_guard lock(m_mutex);
    m_runs[run].last_event_ms = NowMs();
  }
  std::vector<Run> All() const {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
};

struct ServerOptions {
  std::string id;
  std::string service;
  std::string version = "v1";
  std::string zone = "zone-a";
  int slots = 8;
  int64_t work_ms = 20;
  /// Whether a request fails after it has run, and the status that it then
  /// gets.
  std::function<bool()> fails;
  std::string failure = "500 Internal Server Error";
  /// Events of each answer, if the server streams; 0 for a plain answer.
  int events = 0;
  int64_t event_ms = 50;
  /// The server works on when the connection of a stream has closed.
  bool works_on = false;
};

/// A server of the platform: checks Expect-Instance, runs requests, and keeps
/// its entry in the store. It drops a request whose connection closes.
class Server {
 public:
  Server(Store* store, Runs* runs, ServerOptions options)
      : m_store(store), m_runs(runs), m_options(std::move(options)) {
    if (!m_listener.Start([this](Socket& socket) { Serve(socket); })) {
      CannotRun("a server cannot listen");
    }
    m_born = 1700000000000 + NowMs();
    Register("ready");
    m_beats = std::thread([this] {
      while (!m_gone) {
        SleepMs(300);
        const std::lock_guard lock(m_mutex);
        if (!m_gone && m_store != nullptr) {
          Write(m_state);
        }
      }
    });
  }
  ~Server() { Leave(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_listener.port());
  }
  uint16_t port() const { return m_listener.port(); }
  const ServerOptions& options() const { return m_options; }
  /// The whole server does nothing for this time, and then goes on.
  void FallSilent(int64_t ms) { m_silent_until = NowMs() + ms; }
  void Register(const std::string& state) {
    const std::lock_guard lock(m_mutex);
    m_state = state;
    Write(state);
  }
  /// The entry is removed and no more connections are accepted.
  void Leave() {
    if (m_gone.exchange(true)) {
      return;
    }
    m_beats.join();
    m_store->Remove("servers", m_options.id);
    m_listener.Stop();
  }

 private:
  void Write(const std::string& state) {
    m_store->Put("servers", m_options.id,
                 json{{"service", m_options.service},
                      {"address", address()},
                      {"zone", m_options.zone},
                      {"version", m_options.version},
                      {"slots", m_options.slots},
                      {"state", state},
                      {"cold_left_ms", 0},
                      {"stage", "both"},
                      {"models", json::array()},
                      {"born", m_born},
                      {"call_seq", ++m_seq}}
                     .dump());
  }

  void Serve(Socket& socket) {
    while (true) {
      const Message request = socket.Read(120000);
      if (!request.complete) {
        return;
      }
      SleepUntil(m_silent_until);
      const std::string id = request.Header("Request-Id");
      const std::string expected = request.Header("Expect-Instance");
      std::string head =
          "Request-Id: " + id + "\r\nInstance-Id: " + m_options.id + "\r\n";
      if (request.Path() == "/health") {
        socket.Send("HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n");
        continue;
      }
      if (request.Path() == "/api/report") {
        const std::string report =
            json{{"stage", "both"}, {"models", json::array()},
                 {"busy", false},   {"call_seq", 1},
                 {"queued", 0},     {"running", m_running.load()},
                 {"kv_used", 0},    {"kv_total", 88000},
                 {"handles", 0},    {"born", m_born}}
                .dump();
        socket.Send("HTTP/1.1 200 OK\r\n" + head +
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(report.size()) + "\r\n\r\n" + report);
        continue;
      }
      if (!expected.empty() && expected != m_options.id) {
        socket.Send("HTTP/1.1 421 Misdirected Request\r\n" + head +
                    "Content-Length: 0\r\n\r\n");
        continue;
      }
      if (m_running.fetch_add(1) >= m_options.slots) {
        --m_running;
        socket.Send("HTTP/1.1 503 Service Unavailable\r\n" + head +
                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const size_t run = m_runs->Add({.request_id = id,
                                      .server = m_options.id,
                                      .version = m_options.version,
                                      .at_ms = NowMs()});
      Record::Get().Detail("run %s at %s (%s)", id.c_str(),
                           m_options.id.c_str(), m_options.version.c_str());
      if (m_options.events > 0) {
        const bool is_sent = SendEvents(socket, request, head, run);
        --m_running;
        if (!is_sent) {
          Record::Get().Detail("dropped %s at %s", id.c_str(),
                               m_options.id.c_str());
          return;
        }
        continue;
      }
      const bool stays = WaitWhileConnected(socket, m_options.work_ms);
      --m_running;
      if (!stays) {
        Record::Get().Detail("dropped %s at %s", id.c_str(),
                             m_options.id.c_str());
        return;
      }
      const bool fails = m_options.fails && m_options.fails();
      const std::string body = "answer to " + id;
      socket.Send("HTTP/1.1 " + (fails ? m_options.failure : "200 OK") +
                  "\r\n" + head + "Response-Seal: seal-" + id +
                  "\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    }
  }

  /// @returns whether the whole stream was sent.
  bool SendEvents(Socket& socket,
                  const Message& request,
                  const std::string& head,
                  size_t run) {
    const std::string id = request.Header("Request-Id");
    if (!WaitWhileConnected(socket, m_options.work_ms) ||
        !socket.Send("HTTP/1.1 200 OK\r\n" + head + "Response-Seal: seal-" +
                     id + "\r\nContent-Type: text/event-stream\r\n" +
                     "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    bool is_connected = true;
    const int first = 1 + std::atoi(request.Header("Last-Event-Id").c_str());
    for (int i = first; i <= m_options.events; ++i) {
      SleepUntil(m_silent_until);
      is_connected = is_connected && WaitWhileConnected(socket, 1);
      if (!is_connected && !m_options.works_on) {
        return false;
      }
      m_runs->OnEvent(run);
      const std::string event = "id: " + std::to_string(i) + "\ndata: " + id +
                                " " + std::to_string(i) + "\n\n";
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_connected = is_connected && socket.Send(size + event + "\r\n");
      if (is_connected) {
        is_connected = WaitWhileConnected(socket, m_options.event_ms);
      } else {
        SleepMs(m_options.event_ms);
      }
    }
    return is_connected && socket.Send("0\r\n\r\n");
  }

  /// @returns whether the connection is still open after this time.
  static bool WaitWhileConnected(Socket& socket, int64_t ms) {
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      pollfd item{.fd = socket.fd(), .events = POLLIN, .revents = 0};
      if (poll(&item, 1, static_cast<int>(until - NowMs())) <= 0) {
        continue;
      }
      char byte = 0;
      if (recv(socket.fd(), &byte, 1, MSG_PEEK) <= 0) {
        return false;
      }
      SleepMs(1);
    }
    return true;
  }

  Store* m_store;
  Runs* m_runs;
  const ServerOptions m_options;
  Listener m_listener;
  std::mutex m_mutex;
  std::string m_state;
  int64_t m_born = 0;
  uint64_t m_seq = 0;
  std::atomic<int> m_running{0};
  std::atomic<int64_t> m_silent_until{0};
  std::atomic<bool> m_gone{false};
  std::thread m_beats;
};

/// A process of the program under test, with the platform's template of
/// settings filled in.
class Gateway {
 public:
  Gateway(const std::string& name,
          uint16_t store_port,
          const std::string& zone = "zone-a")
      : m_name(name) {
    m_folder = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
    if (mkdtemp(m_folder.data()) == nullptr) {
      CannotRun("no temporary folder");
    }
    g_folders.push_back(m_folder);
    m_front = FreePort();
    m_ready = FreePort();
    m_metrics = FreePort();
    m_peer = FreePort();
    WriteSettings(store_port, zone);
  }
  ~Gateway() { Kill(); }

  void Start() {
    // The command of the deploy file, with the path of these settings.
    const std::string config = "--config=" + m_folder + "/settings.conf";
    const std::string log = m_folder + "/log";
    const char* program = "target/bramleybankd";
    if (access(program, X_OK) != 0) {
      CannotRun(
          "target/bramleybankd is missing; run the build of the deploy file");
    }
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      signal(SIGPIPE, SIG_DFL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      execl(program, program, config.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    const std::lock_guard lock(g_children_mutex);
    g_children.push_back(m_pid);
  }
  void Signal(int signal) const { kill(m_pid, signal); }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      Forget();
    }
  }
  /// @returns whether the process has ended by itself within this time.
  bool WaitEnd(int64_t ms) {
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      int status = 0;
      if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        Record::Get().Line("%s ended, status %d", m_name.c_str(), status);
        Forget();
        return true;
      }
      SleepMs(10);
    }
    return false;
  }
  bool IsReady() const {
    const auto socket = Socket::Connect(m_ready);
    return socket &&
           socket->Send(
               "GET /api/ready HTTP/1.1\r\nHost: a\r\n"
               "Connection: close\r\n\r\n") &&
           socket->Read(500).Status() == 200;
  }
  void WaitReady() const {
    const int64_t until = NowMs() + 15000;
    while (!IsReady()) {
      if (NowMs() > until) {
        CannotRun(m_name + " does not become ready");
      }
      SleepMs(50);
    }
  }
  uint16_t front() const { return m_front; }
  const std::string& name() const { return m_name; }
  const std::string& folder() const { return m_folder; }

 private:
  void Forget() {
    const std::lock_guard lock(g_children_mutex);
    std::erase(g_children, m_pid);
    m_pid = -1;
  }

  void WriteSettings(uint16_t store_port, const std::string& zone) const {
    std::ifstream file("platform/settings.ini");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    const auto replace = [&settings](const std::string& what,
                                     const std::string& by) {
      const size_t at = settings.find(what);
      if (at != std::string::npos) {
        settings.replace(at, what.size(), by);
      }
    };
    const std::string ip = "127.0.0.1:";
    replace("{{node}}", m_name);
    replace("{{zone}}", zone);
    replace("{{region}}", "region-a");
    replace("{{#zones}}{{@}} {{.}}{{,}}{{/zones}}", zone + " region-a");
    replace("{{listen.front}}", ip + std::to_string(m_front));
    replace("{{listen.ready}}", ip + std::to_string(m_ready));
    replace("{{ip}}:{{port_range.0}}", ip + std::to_string(m_metrics));
    replace("{{ip}}:{{port_range.1}}", ip + std::to_string(m_peer));
    replace("{{platform.address}}", ip + std::to_string(store_port));
    replace("{{bounds.contact_ms}}", "4000");
    replace("{{bounds.config_apply_ms}}", "2500");
    replace("{{bounds.drain_ms}}", "2500");
    replace("{{bounds.grace_s}}", "8");
    replace("{{bounds.retry_budget_ratio}}", "0.8");
    replace("{{bounds.budget_extra}}", "150");
    replace("{{bounds.expose_share}}", "0.1");
    replace("{{bounds.expose_slack}}", "50");
    if (settings.empty() || settings.find("{{") != std::string::npos) {
      CannotRun(
          "platform/settings.ini has placeholders that are not known here");
    }
    std::ofstream(m_folder + "/settings.conf") << settings;
  }

  std::string m_name;
  std::string m_folder;
  uint16_t m_front = 0;
  uint16_t m_ready = 0;
  uint16_t m_metrics = 0;
  uint16_t m_peer = 0;
  pid_t m_pid = -1;
};

struct Route {
  std::string name;
  std::string service;
  std::string kind = "unsafe";
  int64_t timeout_ms = 2000;
  int64_t target_ms = 250;
  int max_attempts = 1;
  bool resumable = false;
  /// Whether the service consists of model servers.
  bool engine = false;
};

inline json ConfigJson(uint64_t version,
                       const std::vector<Route>& routes,
                       int64_t max_body_bytes = 4194304) {
  json config = {{"version", version},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", max_body_bytes},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"tenants", json::array({{{"name", "tenant-a"},
                                           {"api_keys", {"key-a"}},
                                           {"priority", 1}}})}};
  std::map<std::string, bool> services;
  for (const Route& route : routes) {
    config["routes"].push_back({{"name", route.name},
                                {"host", "shop.example"},
                                {"prefix", "/" + route.name + "/"},
                                {"kind", route.kind},
                                {"timeout_ms", route.timeout_ms},
                                {"target_latency_ms", route.target_ms},
                                {"priority", 2},
                                {"service", route.service},
                                {"max_attempts", route.max_attempts},
                                {"anonymous", false},
                                {"sticky", route.engine},
                                {"resumable", route.resumable}});
    if (route.kind == "streaming") {
      config["routes"].back()["target_gap_ms"] = 700;
    }
    if (!services[route.service]) {
      services[route.service] = true;
      config["services"].push_back({{"name", route.service},
                                    {"health_path", "/health"},
                                    {"max_conns", 200},
                                    {"protocol", "h1"},
                                    {"tls", false}});
      if (route.engine) {
        config["services"].back()["engine"] = {
            {"slots", 24},
            {"kv_capacity_tokens", 88000},
            {"kv_token_bytes", 18432},
            {"moves", false},
            {"backups", false},
            {"handle_s", 4.0},
            {"models", json::array({{{"name", "m"}}})}};
      }
    }
  }
  return config;
}

inline std::string RequestText(const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               int64_t deadline_ms = 4000,
                               const std::string& body = "",
                               const std::string& more = "") {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
      "Request-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
      "\r\nAuthorization: Bearer key-a\r\n" + more;
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Sends one request on a new connection.
inline Message Call(uint16_t port,
                    const std::string& method,
                    const std::string& path,
                    const std::string& id,
                    int64_t deadline_ms = 4000) {
  const auto socket = Socket::Connect(port);
  if (!socket || !socket->Send(RequestText(method, path, id, deadline_ms))) {
    return {};
  }
  return socket->Read(deadline_ms + 500);
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void Begin(const std::string& folder) {
  signal(SIGPIPE, SIG_IGN);
  // A signal to end the case ends its processes too.
  for (const int number : {SIGTERM, SIGINT}) {
    signal(number, [](int) { Exit(2); });
  }
  Record::Get().Open(folder + "/record.txt");
  Record::Get().Line("the disruption is %s", HasTrouble() ? "on" : "off");
}

}  // namespace lab

#endif  // REVIEW_STANDIN_2_LAB_H_
