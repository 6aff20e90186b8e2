// Sockets, store, servers and processes of the small deployment.
#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

const auto kStart = std::chrono::steady_clock::now();

std::mutex g_children_mutex;
std::set<pid_t> g_children;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

sockaddr_in Parse(const std::string& address) {
  sockaddr_in result{};
  const size_t colon = address.rfind(':');
  result.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  return result;
}

std::string AddressOf(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

int BindFree() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Parse("127.0.0.1:0");
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::cerr << "cannot bind a loopback port\n";
    std::_Exit(2);
  }
  return fd;
}

/// @returns an address with a port that is free now. It lies below the ports
/// that the kernel gives to outgoing connections, which could take it before
/// the gateway does.
std::string FreeAddress() {
  constexpr int kFirstPort = 12000;
  constexpr int kPorts = 18000;
  // Scripts that run at the same time begin in different blocks.
  constexpr int kBlock = 100;
  static int next = getpid() % (kPorts / kBlock) * kBlock;
  for (;;) {
    const int port = kFirstPort + next++ % kPorts;
    const std::string address = "127.0.0.1:" + std::to_string(port);
    const sockaddr_in target = Parse(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&target),
                              sizeof(target)) == 0;
    close(fd);
    if (is_free) {
      return address;
    }
  }
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t block = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t k = 0; k < 3; ++k) {
      block = block << 8U |
              (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += k <= count ? kDigits[block >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  uint32_t block = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t digit = kDigits.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    block = block << 6U | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(block >> bits & 255U);
    }
  }
  return bytes;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string Trim(std::string text) {
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.pop_back();
  }
  const size_t start = text.find_first_not_of(' ');
  return start == std::string::npos ? "" : text.substr(start);
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& path)
    : m_fd(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ",
                static_cast<double>(NowMs()) / 1000);
  const std::string line = time + text + "\n";
  std::cout << line << std::flush;
  if (m_fd >= 0 && write(m_fd, line.data(), line.size()) < 0) {
    std::cerr << "cannot write the record\n";
  }
}

std::string Message::Method() const {
  return start_line.substr(0, start_line.find(' '));
}

std::string Message::Target() const {
  const size_t start = start_line.find(' ') + 1;
  return start_line.substr(start, start_line.find(' ', start) - start);
}

std::string Message::Path() const {
  const std::string target = Target();
  return target.substr(0, target.find('?'));
}

std::string Message::Query(const std::string& name) const {
  const std::string target = Target();
  const size_t question = target.find('?');
  if (question == std::string::npos) {
    return "";
  }
  std::istringstream fields(target.substr(question + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    const size_t equals = field.find('=');
    if (field.substr(0, equals) == name && equals != std::string::npos) {
      return PercentDecode(field.substr(equals + 1));
    }
  }
  return "";
}

int Message::Status() const {
  return start_line.size() > 9 ? std::atoi(start_line.c_str() + 9) : 0;
}

std::vector<std::string> Message::All(const std::string& name) const {
  std::vector<std::string> values;
  for (const auto& [other, value] : headers) {
    if (strcasecmp(other.c_str(), name.c_str()) == 0) {
      values.push_back(value);
    }
  }
  return values;
}

std::string Message::Header(const std::string& name) const {
  const auto values = All(name);
  return values.empty() ? "" : values[0];
}

Connection::~Connection() {
  if (m_fd >= 0) {
    close(m_fd);
  }
}

std::unique_ptr<Connection> Connection::To(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = Parse(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
      0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

bool Connection::Write(const std::string& bytes) {
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

bool Connection::ReadSome(int64_t timeout_ms) {
  pollfd ready{.fd = m_fd, .events = POLLIN, .revents = 0};
  if (poll(&ready, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms))) <=
      0) {
    return true;
  }
  char block[65536];
  const ssize_t count = recv(m_fd, block, sizeof(block), 0);
  if (count <= 0) {
    return false;
  }
  m_buffer.append(block, static_cast<size_t>(count));
  return true;
}

bool Connection::IsClosedWithin(int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    if (!ReadSome(std::min<int64_t>(50, deadline - NowMs()))) {
      return true;
    }
  }
  return false;
}

void Connection::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(m_fd);
  m_fd = -1;
}

std::optional<Message> Connection::Read(int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  size_t head_end = std::string::npos;
  while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (NowMs() >= deadline || !ReadSome(deadline - NowMs())) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream lines(m_buffer.substr(0, head_end));
  std::getline(lines, message.start_line);
  message.start_line = Trim(message.start_line);
  for (std::string line; std::getline(lines, line);) {
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.headers.emplace_back(line.substr(0, colon),
                                   Trim(line.substr(colon + 1)));
    }
  }
  m_buffer.erase(0, head_end + 4);
  message.complete = ReadBody(&message, deadline);
  return message;
}

bool Connection::ReadBody(Message* message, int64_t deadline) {
  const auto more = [&] {
    return NowMs() < deadline && ReadSome(deadline - NowMs());
  };
  if (strcasecmp(message->Header("Transfer-Encoding").c_str(), "chunked") ==
      0) {
    for (;;) {
      size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return false;
        }
      }
      const size_t size = std::stoul(m_buffer.substr(0, line_end), nullptr, 16);
      while (m_buffer.size() < line_end + 2 + size + 2) {
        if (!more()) {
          message->body.append(m_buffer.substr(line_end + 2));
          return false;
        }
      }
      message->body.append(m_buffer, line_end + 2, size);
      m_buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = message->Header("Content-Length");
  if (length.empty()) {
    return true;
  }
  const size_t size = std::stoul(length);
  while (m_buffer.size() < size) {
    if (!more()) {
      return false;
    }
  }
  message->body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return true;
}

struct Listener::State {
  int fd = -1;
  std::atomic<bool> stopped = false;
  Handler handler;
};

Listener::Listener(Handler handler) : m_state(std::make_shared<State>()) {
  m_state->fd = BindFree();
  m_state->handler = std::move(handler);
  listen(m_state->fd, 512);
  m_address = AddressOf(m_state->fd);
  std::thread([state = m_state] {
    while (!state->stopped) {
      const int fd = accept4(state->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (state->stopped) {
          return;
        }
        SleepMs(1);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([state, fd] {
        Connection connection(fd);
        state->handler(&connection);
      }).detach();
    }
  }).detach();
}

Listener::~Listener() {
  Stop();
}

void Listener::Stop() {
  if (!m_state->stopped.exchange(true)) {
    shutdown(m_state->fd, SHUT_RDWR);
    close(m_state->fd);
  }
}

Store::Store()
    : m_listener(std::make_unique<Listener>(
          [this](Connection* connection) { Serve(connection); })) {}

uint64_t Store::Put(const std::string& table,
                    const std::string& key,
                    const std::string& value) {
  const std::lock_guard lock(m_mutex);
  m_tables[table][key] = {.value = value, .version = ++m_version};
  m_changed.notify_all();
  return m_version;
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  m_tables[table][key] = {.version = ++m_version, .deleted = true};
  m_changed.notify_all();
}

std::string Store::Get(const std::string& table, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  return m_tables[table][key].value;
}

json Store::RowJson(const std::string& table,
                    const std::string& key,
                    const Row& row) const {
  json item = {
      {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
  if (row.deleted) {
    item["deleted"] = true;
  } else {
    item["value"] = Base64(row.value);
  }
  return item;
}

std::string Store::Read(const Message& request) {
  constexpr size_t kPageRows = 500;
  const std::lock_guard lock(m_mutex);
  const std::string table = request.Query("table");
  const std::string from = request.Query("from");
  json rows = json::array();
  bool has_more = false;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.deleted || key < from) {
      continue;
    }
    if (rows.size() == kPageRows) {
      has_more = true;
      break;
    }
    rows.push_back(RowJson(table, key, row));
  }
  return json{{"rows", rows},
              {"has_more", has_more},
              {"ver", m_version},
              {"now_ms", NowMs()}}
      .dump();
}

std::string Store::Feed(const Message& request) {
  std::unique_lock lock(m_mutex);
  const std::string table = request.Query("table");
  const uint64_t after = std::stoull(request.Query("after"));
  const auto deadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoll("0" + request.Query("wait_ms")));
  const auto has_news = [&] {
    return std::ranges::any_of(m_tables[table], [after](const auto& item) {
      return item.second.version > after;
    });
  };
  m_changed.wait_until(lock, deadline, has_news);
  std::vector<std::pair<uint64_t, std::string>> keys;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after) {
      keys.emplace_back(row.version, key);
    }
  }
  std::ranges::sort(keys);
  json rows = json::array();
  for (const auto& [version, key] : keys) {
    rows.push_back(RowJson(table, key, m_tables[table][key]));
  }
  return json{{"rows", rows}, {"ver", m_version}, {"now_ms", NowMs()}}.dump();
}

std::string Store::Transact(const std::string& body, int* status) {
  const json call = json::parse(body);
  const std::lock_guard lock(m_mutex);
  json conflicts = json::array();
  for (const json& expected : call.at("expected_rev")) {
    const std::string table = expected.at("table");
    const std::string key = expected.at("key");
    const Row& row = m_tables[table][key];
    const uint64_t version = row.deleted ? 0 : row.version;
    if (version != expected.at("ver").get<uint64_t>()) {
      conflicts.push_back(RowJson(table, key, row));
    }
  }
  if (!conflicts.empty()) {
    *status = 412;
    return json{{"rows", conflicts}, {"ver", m_version}, {"now_ms", NowMs()}}
        .dump();
  }
  ++m_version;
  for (const json& write : call.at("writes")) {
    m_tables[write.at("table")][write.at("key")] = {
        .value = FromBase64(write.at("value")), .version = m_version};
  }
  for (const json& row : call.at("remove")) {
    m_tables[row.at("table")][row.at("key")] = {.version = m_version,
                                                .deleted = true};
  }
  m_changed.notify_all();
  return json{{"ver", m_version}, {"now_ms", NowMs()}}.dump();
}

std::string Store::Handle(const Message& request, int* status) {
  if (request.Path() == "/api/rows-get") {
    return Read(request);
  }
  if (request.Path() == "/api/rows-feed") {
    return Feed(request);
  }
  if (request.Path() == "/api/rows-tx") {
    return Transact(request.body, status);
  }
  *status = 404;
  return "{}";
}

void Store::Serve(Connection* connection) {
  while (const auto request = connection->Read(600'000)) {
    int status = 200;
    std::string body;
    try {
      body = Handle(*request, &status);
    } catch (const std::exception& fault) {
      status = 400;
      body = "{}";
    }
    connection->Write("HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

Server::Server(Store* store,
               Record* record,
               std::string id,
               std::string service,
               std::string zone,
               Handler handler)
    : m_store(store),
      m_record(record),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_handler(std::move(handler)),
      m_born(UnixMs()),
      m_listener(std::make_unique<Listener>(
          [this](Connection* connection) { Serve(connection); })) {}

void Server::Register(const std::string& state) {
  m_store->Put("servers", m_id,
               json{{"service", m_service},
                    {"address", address()},
                    {"zone", m_zone},
                    {"version", "v1"},
                    {"slots", 24},
                    {"state", state},
                    {"cold_left_ms", 0},
                    {"call_seq", 0},
                    {"born", m_born}}
                   .dump());
}

void Server::NoteRun(const Message& request, const std::string& detail) {
  m_record->Line("server " + m_id + " runs " + request.Header("Request-Id") +
                 ": " + request.start_line +
                 (detail.empty() ? "" : ", " + detail));
}

std::string Server::SealedHead(const Message& request, int status) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: " + request.Header("Request-Id") +
         "\r\nResponse-Seal: " + m_id + "." + request.Header("Request-Id") +
         "\r\n";
}

std::string Server::SealedAnswer(const Message& request,
                                 const std::string& body,
                                 int status) const {
  return SealedHead(request, status) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Server::RefusalNotRun(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void Server::Serve(Connection* connection) {
  while (const auto request = connection->Read(600'000)) {
    if (!request->complete) {
      return;
    }
    if (request->Header("Expect-Instance") != m_id) {
      connection->Write("HTTP/1.1 421 X\r\nNot-Executed: 1\r\nInstance-Id: " +
                        m_id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    m_handler(*request, connection);
    if (connection->fd() < 0) {
      return;
    }
  }
}

Gateway::Gateway(const std::string& name,
                 const std::string& zone,
                 const std::string& store_address,
                 int grace_s)
    : m_name(name),
      m_log(TemporaryFolder() + "/" + name + ".log"),
      m_settings(TemporaryFolder() + "/" + name + ".conf"),
      m_caller(FreeAddress()),
      m_ready(FreeAddress()) {
  std::ifstream file("platform/settings.ini");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  const std::vector<std::pair<std::string, std::string>> values = {
      {"{{#zones}}{{@}} {{.}}{{,}}{{/zones}}",
       "zone-a region-a,zone-b region-b,zone-c region-c"},
      {"{{ip}}:{{port_range.0}}", FreeAddress()},
      {"{{ip}}:{{port_range.1}}", FreeAddress()},
      {"{{node}}", name},
      {"{{zone}}", zone},
      {"{{region}}", "region-" + zone.substr(zone.find('-') + 1)},
      {"{{listen.front}}", m_caller},
      {"{{listen.ready}}", m_ready},
      {"{{platform.address}}", store_address},
      {"{{bounds.contact_ms}}", "4000"},
      {"{{bounds.config_apply_ms}}", "2500"},
      {"{{bounds.drain_ms}}", "2500"},
      {"{{bounds.grace_s}}", std::to_string(grace_s)},
      {"{{bounds.retry_budget_ratio}}", "0.8"},
      {"{{bounds.budget_extra}}", "150"},
      {"{{bounds.expose_share}}", "0.1"},
      {"{{bounds.expose_slack}}", "50"}};
  for (const auto& [from, to] : values) {
    text = Replace(text, from, to);
  }
  std::ofstream(m_settings) << text;
}

void Gateway::Start() {
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      std::_Exit(2);
    }
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const std::string option = "--config=" + m_settings;
    execl("target/bramleybankd", "target/bramleybankd", option.c_str(),
          nullptr);
    std::_Exit(2);
  }
  const std::lock_guard lock(g_children_mutex);
  g_children.insert(m_pid);
}

void Gateway::Signal(int signal) const {
  kill(m_pid, signal);
}

bool Gateway::IsRunning() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    const std::lock_guard lock(g_children_mutex);
    g_children.erase(m_pid);
    m_pid = -1;
  }
  return m_pid > 0;
}

bool Gateway::WaitReady() const {
  constexpr int64_t kLimitMs = 20'000;
  const int64_t deadline = NowMs() + kLimitMs;
  while (NowMs() < deadline) {
    const auto connection = Connection::To(m_ready);
    if (connection &&
        connection->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
      const auto answer = connection->Read(1000);
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

json Route(const std::string& name,
           const std::string& prefix,
           const std::string& kind,
           const std::string& service,
           int timeout_ms,
           int target_ms,
           int max_attempts) {
  return {{"name", name},
          {"host", kHost},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", target_ms},
          {"priority", 1},
          {"service", service},
          {"max_attempts", max_attempts},
          {"anonymous", false},
          {"sticky", kind == "streaming"},
          {"resumable", kind == "streaming"},
          {"target_gap_ms", kind == "streaming" ? 700 : 0}};
}

json Config(uint64_t version, const json& routes) {
  json services = json::array();
  services.push_back({{"name", "desk"},
                      {"health_path", "/health"},
                      {"max_conns", 110},
                      {"protocol", "h1"},
                      {"tls", false}});
  services.push_back({{"name", "guide"},
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
                        {"models", json::array({{{"name", "m"}}})}}}});
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", json::array({{{"name", "tenant-a"},
                                    {"api_keys", json::array({kKey})},
                                    {"priority", 1}}})}};
}

bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

const std::string& TemporaryFolder() {
  static const std::string folder = [] {
    std::string path =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    const char* made = mkdtemp(path.data());
    if (made == nullptr) {
      std::cerr << "cannot make a temporary folder\n";
      std::_Exit(2);
    }
    return path;
  }();
  return folder;
}

void Finish(int code) {
  {
    const std::lock_guard lock(g_children_mutex);
    for (const pid_t child : g_children) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  } else {
    std::cout << "kept " << TemporaryFolder() << "\n";
  }
  std::cout << std::flush;
  // The threads of the stand-ins still run, so no destructor may.
  std::_Exit(code);
}

void FinishAfter(int seconds, int code) {
  std::thread([seconds, code] {
    SleepMs(int64_t{seconds} * 1000);
    std::cerr << "the case took too long\n";
    Finish(code);
  }).detach();
}

}  // namespace review
