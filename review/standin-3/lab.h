// Stand-ins of the platform's store, of model servers and of clients for the
// cases 11 to 15, and the start and end of gateways with the command of
// deploy/system.toml. Everything is on 127.0.0.1, on ports that the system
// chooses.
#ifndef REVIEW_STANDIN_3_LAB_H_
#define REVIEW_STANDIN_3_LAB_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fcntl.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
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
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(0, ms)));
}

inline bool IsTroubled() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// The file record.txt: what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) {
      return;
    }
    std::fprintf(m_file, "%8.3f ", static_cast<double>(NowMs()) / 1000);
    va_list args;
    va_start(args, format);
    std::vfprintf(m_file, format, args);
    va_end(args);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
};

inline Record& Log() {
  static Record record;
  return record;
}

// One message head.
struct Head {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(int index) const {
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
};

// A blocking connection with a buffer.
class Conn {
 public:
  explicit Conn(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  int fd() const { return m_fd; }

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
  // Reads more bytes. Returns false at the end of the connection; errno tells
  // a reset from a close (0).
  bool Fill() {
    char block[16384];
    errno = 0;
    const ssize_t count = recv(m_fd, block, sizeof(block), 0);
    if (count <= 0) {
      return false;
    }
    m_input.append(block, static_cast<size_t>(count));
    return true;
  }
  bool Line(std::string* line) {
    size_t end = 0;
    while ((end = m_input.find("\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    *line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    return true;
  }
  bool ReadHead(Head* head) {
    *head = {};
    if (!Line(&head->start)) {
      return false;
    }
    std::string line;
    while (Line(&line)) {
      if (line.empty()) {
        return true;
      }
      const size_t colon = line.find(':');
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      head->fields.emplace_back(line.substr(0, colon), value);
    }
    return false;
  }
  bool ReadBytes(size_t size, std::string* bytes) {
    while (m_input.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    bytes->append(m_input, 0, size);
    m_input.erase(0, size);
    return true;
  }
  // Reads a body with a length or in chunks.
  bool ReadBody(const Head& head, std::string* body) {
    if (head.Get("Transfer-Encoding").find("chunked") != std::string::npos) {
      std::string line;
      while (Line(&line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size > 0 && !ReadBytes(size, body)) {
          return false;
        }
        if (!Line(&line)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
      return false;
    }
    const std::string length = head.Get("Content-Length");
    return length.empty() ||
           ReadBytes(std::strtoul(length.c_str(), nullptr, 10), body);
  }

 private:
  int m_fd;
  std::string m_input;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int BindFree(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// Accepts connections and runs each on its own thread.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Conn>)>;

  explicit Listener(Handler handler) {
    const int fd = BindFree(&m_port);
    if (fd < 0 || listen(fd, 512) != 0) {
      std::fprintf(stderr, "cannot listen\n");
      std::_Exit(2);
    }
    std::thread([fd, handler = std::move(handler)] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          continue;
        }
        const auto conn = std::make_shared<Conn>(client);
        std::thread([handler, conn] { handler(conn); }).detach();
      }
    }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  int m_port = 0;
};

inline std::string Base64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group =
          group << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

inline std::string Response(int status,
                            const std::string& body,
                            const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: rows-get, rows-feed and rows-tx of PROTOCOL.md.
class Store {
 public:
  Store() : m_listener([this](const auto& conn) { Serve(conn); }) {}
  std::string address() const { return m_listener.address(); }

  // Writes a row as the operator or a server does.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {Base64(value), ++m_version, false};
    m_changed.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {"", ++m_version, true};
    m_changed.notify_all();
  }
  // The value of a row in base64; empty if there is none.
  std::string Get(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find({table, "", key});
    return it == m_rows.end() || it->second.deleted ? "" : it->second.value;
  }

 private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  static std::string Param(const std::string& target, const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t start = at + 1;
      const size_t end = std::min(target.find('&', start), target.size());
      const size_t equals = target.find('=', start);
      if (equals < end && target.substr(start, equals - start) == name) {
        std::string value;
        for (size_t i = equals + 1; i < end; ++i) {
          if (target[i] == '%') {
            value += static_cast<char>(
                std::strtol(target.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            value += target[i];
          }
        }
        return value;
      }
      at = end < target.size() ? end : std::string::npos;
    }
    return "";
  }

  static Json RowJson(const Name& name, const Row& row) {
    Json json{{"table", std::get<0>(name)},
              {"part", std::get<1>(name)},
              {"key", std::get<2>(name)},
              {"ver", row.version}};
    if (row.deleted) {
      json["deleted"] = true;
    } else {
      json["value"] = row.value;
    }
    return json;
  }

  std::string Answer(Json body) const {
    body["ver"] = m_version;
    body["now_ms"] = NowMs();
    return Response(200, body.dump());
  }

  std::string Feed(const std::string& target) {
    const std::string table = Param(target, "table");
    const uint64_t after =
        std::strtoull(Param(target, "after").c_str(), nullptr, 10);
    const auto wait =
        std::chrono::milliseconds(std::atoi(Param(target, "wait_ms").c_str()));
    std::unique_lock lock(m_mutex);
    std::vector<std::pair<uint64_t, Json>> found;
    const auto collect = [&] {
      found.clear();
      for (const auto& [name, row] : m_rows) {
        if (std::get<0>(name) == table && row.version > after) {
          found.emplace_back(row.version, RowJson(name, row));
        }
      }
      return !found.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    std::ranges::sort(found, {}, [](const auto& item) { return item.first; });
    Json rows = Json::array();
    for (auto& [version, row] : found) {
      rows.push_back(std::move(row));
    }
    return Answer({{"rows", rows}});
  }

  std::string Read(const std::string& target) {
    const std::string table = Param(target, "table");
    const std::string part = Param(target, "part");
    const std::string from = Param(target, "from");
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    for (const auto& [name, row] : m_rows) {
      if (std::get<0>(name) == table && std::get<1>(name) == part &&
          std::get<2>(name) >= from && !row.deleted) {
        rows.push_back(RowJson(name, row));
      }
    }
    return Answer({{"rows", rows}, {"has_more", false}});
  }

  static Name NameOf(const Json& json) {
    return {json.at("table"), json.value("part", ""), json.at("key")};
  }

  std::string Transact(const std::string& body) {
    const Json call = Json::parse(body);
    SleepMs(5);
    const std::lock_guard lock(m_mutex);
    for (const Json& condition : call.value("expected_rev", Json::array())) {
      const auto it = m_rows.find(NameOf(condition));
      const uint64_t version =
          it == m_rows.end() || it->second.deleted ? 0 : it->second.version;
      if (version != condition.at("ver").get<uint64_t>()) {
        return Response(412, Json{{"rows", Json::array()},
                                  {"ver", m_version},
                                  {"now_ms", NowMs()}}
                                 .dump());
      }
    }
    ++m_version;
    for (const Json& write : call.value("writes", Json::array())) {
      m_rows[NameOf(write)] = {write.at("value"), m_version, false};
    }
    for (const Json& name : call.value("remove", Json::array())) {
      m_rows[NameOf(name)] = {"", m_version, true};
    }
    m_changed.notify_all();
    return Answer(Json::object());
  }

  void Serve(const std::shared_ptr<Conn>& conn) {
    Head head;
    while (conn->ReadHead(&head)) {
      std::string body;
      if (!conn->ReadBody(head, &body)) {
        return;
      }
      const std::string target = head.Word(1);
      std::string answer = Response(404, "{}");
      if (target.starts_with("/api/rows-feed")) {
        answer = Feed(target);
      } else if (target.starts_with("/api/rows-get")) {
        answer = Read(target);
      } else if (target.starts_with("/api/rows-tx")) {
        answer = Transact(body);
      }
      if (!conn->Send(answer)) {
        return;
      }
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Name, Row> m_rows;
  uint64_t m_version = 0;
  Listener m_listener;
};

// One run of a request at a server.
struct Run {
  std::string server;
  std::string id;
  int64_t start = 0;
  // When the server stopped working on it; 0 while it works.
  std::atomic<int64_t> end = 0;
  int first = 0;
  std::atomic<int> last = 0;
};

class Runs {
 public:
  std::shared_ptr<Run> Start(const std::string& server,
                             const std::string& id,
                             int after) {
    const std::lock_guard lock(m_mutex);
    auto run = std::make_shared<Run>();
    run->server = server;
    run->id = id;
    run->start = NowMs();
    run->first = after + 1;
    run->last = after;
    m_runs.push_back(run);
    return run;
  }
  std::vector<std::shared_ptr<Run>> All() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }
  std::shared_ptr<Run> Latest(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Run> found;
    for (const auto& run : m_runs) {
      if (run->id == id) {
        found = run;
      }
    }
    return found;
  }
  // TWICE: requests that went on at another server while the server before
  // still worked on them `slack_ms` later.
  int CountTwice(int64_t slack_ms) {
    int count = 0;
    const auto runs = All();
    for (const auto& later : runs) {
      for (const auto& earlier : runs) {
        const bool overlaps =
            earlier->id == later->id && earlier != later &&
            earlier->start < later->start && earlier->server != later->server &&
            (earlier->end == 0 || earlier->end > later->start + slack_ms);
        if (overlaps) {
          ++count;
          Log().Line(
              "TWICE %s: at %s from %.3f, event %d; still worked on at "
              "%s until %.3f",
              later->id.c_str(), later->server.c_str(),
              static_cast<double>(later->start) / 1000, later->first,
              earlier->server.c_str(),
              static_cast<double>(earlier->end) / 1000);
        }
      }
    }
    return count;
  }

 private:
  std::mutex m_mutex;
  std::vector<std::shared_ptr<Run>> m_runs;
};

struct EngineTimes {
  int events = 140;
  int event_ms = 30;
  int prefill_ms = 300;
  int id_step = 1;
  // Requests that it runs at once; it refuses further ones as full.
  int slots = 24;
};

// A model server. Unless `drops_on_close` is set, it finishes a run also when
// its connection has closed.
class Engine {
 public:
  Engine(std::string id, std::string zone, Runs* runs, EngineTimes times)
      : m_id(std::move(id)),
        m_zone(std::move(zone)),
        m_runs(runs),
        m_times(times),
        m_listener([this](const auto& conn) { Accept(conn); }) {}

  const std::string& id() const { return m_id; }
  const std::string& zone() const { return m_zone; }
  std::string address() const { return m_listener.address(); }
  std::string Entry(const std::string& service) const {
    return Json{
        {"service", service}, {"address", address()},   {"zone", m_zone},
        {"version", "v1"},    {"slots", m_times.slots}, {"state", "ready"},
        {"cold_left_ms", 0},  {"stage", "both"},        {"models", Models()},
        {"call_seq", 1},      {"born", kBorn}}
        .dump();
  }

  // At its limit of connections: further ones are reset.
  std::atomic<bool> at_limit = false;
  // Ends a run when its connection closes, as most servers do.
  bool drops_on_close = false;
  // Silent: nothing is answered or sent, nothing is worked on.
  std::atomic<bool> is_dark = false;
  // Until then runs make no events.
  std::atomic<int64_t> pause_until = 0;
  // Prefill of the next request, in place of the usual one.
  std::atomic<int> next_prefill_ms = 0;
  // Refuses the next request: a field for the refusal, or empty.
  std::atomic<bool> sheds = false;
  std::string shed_fields;
  std::atomic<int> shed_count = 0;
  // Called after each event, on the thread of the run.
  std::function<void(Engine*, const Run&)> on_event;

 private:
  static constexpr int64_t kBorn = 1700000000000;

  static Json Models() {
    return Json::array(
        {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}});
  }

  std::string Report() {
    Json list = Json::array();
    for (const auto& run : m_runs->All()) {
      if (run->server == m_id && run->end == 0) {
        list.push_back({run->id, 8000, run->last.load() / m_times.id_step, 5});
      }
    }
    return Json{{"stage", "both"},
                {"models", Models()},
                {"busy", false},
                {"call_seq", 1},
                {"queued", NowMs() < pause_until ? 1 : 0},
                {"running", list.size()},
                {"kv_used", 8000 * list.size()},
                {"kv_total", 88000},
                {"handles", 0},
                {"state", "ready"},
                {"runs", list},
                {"born", kBorn}}
        .dump();
  }

  // Returns whether the server was dark.
  bool WaitWhileDark() const {
    bool was_dark = false;
    while (is_dark) {
      was_dark = true;
      SleepMs(5);
    }
    return was_dark;
  }

  // Whether the other side has closed the connection.
  static bool IsClosed(const Conn& conn) {
    pollfd event{.fd = conn.fd(), .events = POLLRDHUP, .revents = 0};
    return poll(&event, 1, 0) > 0;
  }

  void Accept(const std::shared_ptr<Conn>& conn) {
    if (at_limit) {
      Log().Line("%s resets a connection beyond its limit", m_id.c_str());
      conn->Reset();
      return;
    }
    WaitWhileDark();
    Head head;
    while (conn->ReadHead(&head)) {
      std::string body;
      if (!conn->ReadBody(head, &body)) {
        return;
      }
      WaitWhileDark();
      const std::string target = head.Word(1);
      if (target == "/api/report") {
        Log().Line("%s reports", m_id.c_str());
        conn->Send(Response(200, Report()));
      } else if (target == "/api/kv-move") {
        conn->Send(Response(503, "{}"));
      } else if (target.starts_with("/api/")) {
        conn->Send(Response(200, "{}"));
      } else {
        Generate(conn, head);
        return;
      }
    }
  }

  void Generate(const std::shared_ptr<Conn>& conn, const Head& head) {
    const std::string id = head.Get("Request-Id");
    const std::string named = "Request-Id: " + id + "\r\n";
    if (!head.Get("Expect-Instance").empty() &&
        head.Get("Expect-Instance") != m_id) {
      conn->Send(Response(421, "{}", named + "Instance-Id: " + m_id + "\r\n"));
      return;
    }
    if (sheds.exchange(false)) {
      Log().Line("%s refuses %s%s", m_id.c_str(), id.c_str(),
                 shed_fields.empty() ? "" : ", with Retry-After");
      conn->Send(
          Response(503, "{}", named + "Not-Executed: 1\r\n" + shed_fields));
      ++shed_count;
      return;
    }
    if (m_running.fetch_add(1) >= m_times.slots) {
      --m_running;
      Log().Line("%s is full and refuses %s", m_id.c_str(), id.c_str());
      conn->Send(Response(503, "{}", named + "Not-Executed: 1\r\n"));
      return;
    }
    RunRequest(conn, head, id, named);
    --m_running;
  }

  void RunRequest(const std::shared_ptr<Conn>& conn,
                  const Head& head,
                  const std::string& id,
                  const std::string& named) {
    const int after = std::atoi(head.Get("Last-Event-Id").c_str());
    const auto run = m_runs->Start(m_id, id, after);
    Log().Line("%s runs %s after event %d%s", m_id.c_str(), id.c_str(), after,
               head.Get("Kv-From").empty() ? "" : " (Kv-From)");
    const int special = next_prefill_ms.exchange(0);
    const int prefill = special > 0 ? special : m_times.prefill_ms;
    SleepMs(head.Get("Kv-From").empty() ? prefill : m_times.event_ms);
    WaitWhileDark();
    bool is_open = conn->Send(
        "HTTP/1.1 200 OK\r\n" + named + "Response-Seal: seal." + m_id +
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    const int last = m_times.events * m_times.id_step;
    for (int event = after + m_times.id_step; event <= last;
         event += m_times.id_step) {
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + id + "-" + std::to_string(event) +
                               "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      run->last = event;
      is_open = is_open && conn->Send(size + text + "\r\n");
      if (drops_on_close && (!is_open || IsClosed(*conn))) {
        run->end = NowMs();
        Log().Line("%s drops %s, its connection has closed", m_id.c_str(),
                   id.c_str());
        return;
      }
      if (on_event) {
        on_event(this, *run);
      }
      SleepMs(m_times.event_ms);
      while (NowMs() < pause_until) {
        SleepMs(5);
        if (drops_on_close && IsClosed(*conn)) {
          break;
        }
      }
      if (WaitWhileDark()) {
        // The next event takes a whole step.
        SleepMs(m_times.event_ms);
      }
    }
    if (is_open) {
      conn->Send("0\r\n\r\n");
    }
    run->end = NowMs();
    Log().Line("%s has finished %s%s", m_id.c_str(), id.c_str(),
               is_open ? "" : " (its connection had closed)");
  }

  const std::string m_id;
  const std::string m_zone;
  Runs* m_runs;
  const EngineTimes m_times;
  std::atomic<int> m_running = 0;
  Listener m_listener;
};

// The configuration and the settings are those of a small deployment.
struct Bounds {
  int contact_ms = 4000;
  int config_apply_ms = 2500;
  int drain_ms = 2500;
  int grace_s = 8;
};

inline Json GuideRoute() {
  return {{"name", "r-guide"},   {"host", "site.example"},
          {"prefix", "/guide/"}, {"kind", "streaming"},
          {"timeout_ms", 25000}, {"target_latency_ms", 4500},
          {"priority", 1},       {"service", "guide"},
          {"max_attempts", 5},   {"anonymous", false},
          {"sticky", true},      {"resumable", true},
          {"target_gap_ms", 700}};
}

inline Json GuideService() {
  return {{"name", "guide"},
          {"health_path", "/health"},
          {"max_conns", 210},
          {"protocol", "h1"},
          {"tls", false},
          {"engine",
           {{"slots", 24},
            {"kv_capacity_tokens", 88000},
            {"kv_token_bytes", 18432},
            {"link_mbps", 370000.0},
            {"moves", true},
            {"backups", true},
            {"stride", 8},
            {"most", 12},
            {"pin_ms", 4000.0},
            {"hold_ms", 2000.0},
            {"handle_s", 4.0},
            {"models", Json::array({{{"name", "m"}}})}}}};
}

inline Json MakeConfig(uint64_t version,
                       const Json& routes,
                       const Json& services) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", Json::array({{{"name", "tenant-1"},
                                    {"api_keys", Json::array({"key-1"})},
                                    {"priority", 1}}})}};
}

// One gateway, started as deploy/system.toml says, with the template filled in.
class Gateway {
 public:
  Gateway(const std::string& name,
          const std::string& zone,
          const std::string& store,
          const Bounds& bounds = {}) {
    std::string folder =
        std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
      std::fprintf(stderr, "no temporary folder\n");
      std::exit(2);
    }
    m_folder = folder;
    m_name = name;
    m_zone = zone;
    m_store = store;
    m_bounds = bounds;
    WriteSettings();
    Start();
  }
  ~Gateway() {
    Signal(SIGKILL);
    unlink(Path().c_str());
    unlink((m_folder + "/log").c_str());
    rmdir(m_folder.c_str());
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Takes other ports, for a gateway that found one of its own in use.
  void StartElsewhere() {
    Signal(SIGKILL);
    WriteSettings();
    Start();
  }
  void Start() {
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(2);
      }
      const std::string log = m_folder + "/log";
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      const std::string argument = "--config=" + Path();
      const std::string variable = "BRAMLEYBANK_SETTINGS=" + Path();
      const std::string home = "HOME=" + m_folder;
      const char* argv[] = {"target/bramleybankd", argument.c_str(), nullptr};
      const char* envp[] = {"PATH=/usr/bin:/bin", home.c_str(),
                            variable.c_str(), nullptr};
      execve(argv[0], const_cast<char**>(argv), const_cast<char**>(envp));
      _exit(127);
    }
    Log().Line("gateway started, front %s", front().c_str());
  }
  void Signal(int signal) {
    if (m_pid > 0) {
      kill(m_pid, signal);
      if (signal == SIGKILL) {
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
      }
    }
  }
  bool is_running() {
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) != 0) {
      m_pid = -1;
    }
    return m_pid > 0;
  }
  std::string front() const { return "127.0.0.1:" + std::to_string(m_front); }
  int front_port() const { return m_front; }
  int ready_port() const { return m_ready; }
  std::string log() const {
    std::ifstream file(m_folder + "/log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string Path() const { return m_folder + "/settings.conf"; }
  void WriteSettings() {
    std::vector<int> held;
    for (int* port : {&m_front, &m_ready, &m_metrics, &m_peer}) {
      *port = 0;
      held.push_back(BindFree(port));
    }
    for (const int fd : held) {
      close(fd);
    }
    std::ifstream file("platform/settings.ini");
    std::stringstream text;
    text << file.rdbuf();
    m_settings = text.str();
    const std::string ip = "127.0.0.1:";
    Fill("{{node}}", m_name);
    Fill("{{zone}}", m_zone);
    Fill("{{region}}", "region-" + m_zone);
    Fill("{{#zones}}{{@}} {{.}}{{,}}{{/zones}}",
         "zone-a region-zone-a,zone-b region-zone-b,zone-c region-zone-c");
    Fill("{{listen.front}}", ip + std::to_string(m_front));
    Fill("{{listen.ready}}", ip + std::to_string(m_ready));
    Fill("{{ip}}:{{port_range.0}}", ip + std::to_string(m_metrics));
    Fill("{{ip}}:{{port_range.1}}", ip + std::to_string(m_peer));
    Fill("{{platform.address}}", m_store);
    Fill("{{bounds.contact_ms}}", std::to_string(m_bounds.contact_ms));
    Fill("{{bounds.config_apply_ms}}",
         std::to_string(m_bounds.config_apply_ms));
    Fill("{{bounds.drain_ms}}", std::to_string(m_bounds.drain_ms));
    Fill("{{bounds.grace_s}}", std::to_string(m_bounds.grace_s));
    Fill("{{bounds.retry_budget_ratio}}", "0.8");
    Fill("{{bounds.budget_extra}}", "150");
    Fill("{{bounds.expose_share}}", "0.1");
    Fill("{{bounds.expose_slack}}", "50");
    std::ofstream(Path()) << m_settings;
  }
  void Fill(const std::string& name, const std::string& value) {
    for (size_t at = m_settings.find(name); at != std::string::npos;
         at = m_settings.find(name, at + value.size())) {
      m_settings.replace(at, name.size(), value);
    }
  }

  std::string m_folder;
  std::string m_settings;
  int m_front = 0;
  int m_ready = 0;
  int m_metrics = 0;
  int m_peer = 0;
  std::string m_name;
  std::string m_zone;
  std::string m_store;
  Bounds m_bounds;
  pid_t m_pid = -1;
};

inline std::shared_ptr<Conn> Dial(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{.tv_sec = 60, .tv_usec = 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Conn>(fd);
}

// Waits until the gateway says that it is ready, and then until it counts as
// in touch. Ends the case with 2 if that does not happen.
inline void AwaitReady(Gateway* gateway, int contact_ms = 4000) {
  const int64_t until = NowMs() + 15000;
  while (NowMs() < until) {
    if (!gateway->is_running()) {
      gateway->StartElsewhere();
    }
    if (const auto conn = Dial(gateway->ready_port())) {
      Head head;
      conn->Send("GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n");
      if (conn->ReadHead(&head) && head.Word(1) == "200") {
        Log().Line("gateway is ready");
        SleepMs(contact_ms + 1000);
        return;
      }
    }
    SleepMs(100);
  }
  std::fprintf(stderr, "the gateway did not become ready\n%s\n",
               gateway->log().substr(0, 2000).c_str());
  std::exit(2);
}

// What a client saw of one stream.
struct StreamResult {
  std::string id;
  int status = 0;
  bool is_complete = false;
  std::vector<int> events;
  int64_t sent = 0;
  int64_t ended = 0;
};

inline std::string StreamRequest(const std::string& id, int prompt_tokens) {
  const std::string body(800, 'x');
  return "POST /guide/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
         "\r\nModel: m\r\nToken-Count: " + std::to_string(prompt_tokens) +
         ",1120\r\nPrompt-Prefix: 5c1e07a2:200," + id + ":" +
         std::to_string(prompt_tokens - 200) +
         "\r\nDeadline-Ms: 25000\r\nAuthorization: Bearer key-1\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline StreamResult ReadStream(const std::string& id, Conn* conn) {
  StreamResult result{.id = id, .sent = NowMs()};
  Head head;
  if (conn->ReadHead(&head)) {
    result.status = std::atoi(head.Word(1).c_str());
    std::string body;
    result.is_complete = conn->ReadBody(head, &body);
    size_t at = 0;
    while (result.status == 200 &&
           (at = body.find("id: ", at)) != std::string::npos) {
      result.events.push_back(std::atoi(body.c_str() + at + 4));
      at += 4;
    }
  }
  result.ended = NowMs();
  Log().Line("client %s: status %d, %zu events, %s", id.c_str(), result.status,
             result.events.size(), result.is_complete ? "complete" : "cut off");
  return result;
}

// Sends a stream on a connection of its own and reads its answer on a thread.
class StreamClient {
 public:
  StreamClient(const Gateway& gateway,
               const std::string& id,
               int prompt_tokens = 8000)
      : m_id(id) {
    Log().Line("client sends %s", id.c_str());
    m_thread =
        std::thread([this, id, prompt_tokens, port = gateway.front_port()] {
          const auto conn = Dial(port);
          if (conn && conn->Send(StreamRequest(id, prompt_tokens))) {
            m_result = ReadStream(id, conn.get());
          }
          m_done = true;
        });
  }
  ~StreamClient() { Join(); }
  const StreamResult& Join() {
    if (m_thread.joinable()) {
      m_thread.join();
    }
    return m_result;
  }
  bool is_done() const { return m_done; }
  const std::string& id() const { return m_id; }

 private:
  const std::string m_id;
  StreamResult m_result;
  std::atomic<bool> m_done = false;
  std::thread m_thread;
};

inline bool WaitFor(const std::function<bool()>& condition, int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (condition()) {
      return true;
    }
    SleepMs(5);
  }
  return condition();
}

// Writes the verdict.
inline void Finish(bool is_broken, const std::string& text) {
  Log().Line("%s: %s", is_broken ? "BROKEN" : "HELD", text.c_str());
  std::printf("%s: %s\n", is_broken ? "BROKEN" : "HELD", text.c_str());
  std::fflush(stdout);
}

}  // namespace lab

#endif  // REVIEW_STANDIN_3_LAB_H_
