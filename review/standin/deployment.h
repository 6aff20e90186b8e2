// A small deployment for the scripts of this review: the store and the servers
// of the users' platform as stand-ins in this process, and real gateways as
// child processes. Everything is on 127.0.0.1 with free ports.
#ifndef REVIEW_STANDIN_DEPLOYMENT_H_
#define REVIEW_STANDIN_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of this process.
int64_t NowMs();
void SleepMs(int64_t ms);

/// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex m_mutex;
  int m_fd;
};

/// One HTTP/1.1 message.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;
  /// Whether all of it has arrived.
  bool complete = false;

  std::string Method() const;
  std::string Target() const;
  /// Path without the query.
  std::string Path() const;
  /// Value of a query parameter, decoded; empty without it.
  std::string Query(const std::string& name) const;
  int Status() const;
  /// All values of a header.
  std::vector<std::string> All(const std::string& name) const;
  /// The first value of a header; empty without it.
  std::string Header(const std::string& name) const;
};

/// A connected socket that reads whole messages.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to ip:port. @returns null on failure.
  static std::unique_ptr<Connection> To(const std::string& address);

  bool Write(const std::string& bytes);
  /// Reads the next message. @returns nullopt if not even a head arrived.
  std::optional<Message> Read(int64_t timeout_ms);
  /// Reads what has arrived, at most until `timeout_ms`.
  /// @returns false when the peer has closed.
  bool ReadSome(int64_t timeout_ms);
  /// Whether the peer closes or resets within this time.
  bool IsClosedWithin(int64_t timeout_ms);
  /// Closes with a reset.
  void Reset();
  std::string& buffer() { return m_buffer; }
  int fd() const { return m_fd; }

 private:
  bool ReadBody(Message* message, int64_t deadline);

  int m_fd;
  std::string m_buffer;
};

/// Accepts connections and serves each one in its own thread.
class Listener {
 public:
  using Handler = std::function<void(Connection*)>;
  explicit Listener(Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const std::string& address() const { return m_address; }
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
  std::string m_address;
};

/// The platform's store of rows, as PROTOCOL.md describes it.
class Store {
 public:
  Store();
  const std::string& address() const { return m_listener->address(); }

  /// Writes a row as the operator or a server would. @returns its version.
  uint64_t Put(const std::string& table,
               const std::string& key,
               const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  std::string Get(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  void Serve(Connection* connection);
  std::string Handle(const Message& request, int* status);
  std::string Read(const Message& request);
  std::string Feed(const Message& request);
  std::string Transact(const std::string& body, int* status);
  nlohmann::json RowJson(const std::string& table,
                         const std::string& key,
                         const Row& row) const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_version = 1;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::unique_ptr<Listener> m_listener;
};

/// A server of a service. The handler gets each request that expects this
/// server; it writes the answer itself.
class Server {
 public:
  using Handler = std::function<void(const Message&, Connection*)>;
  Server(Store* store,
         Record* record,
         std::string id,
         std::string service,
         std::string zone,
         Handler handler);

  const std::string& id() const { return m_id; }
  const std::string& address() const { return m_listener->address(); }
  /// Writes the entry into the store.
  void Register(const std::string& state = "ready");

  /// Notes in the record that the server runs the request.
  void NoteRun(const Message& request, const std::string& detail = "");
  /// Headers of an answer of this server to `request`, its seal included.
  std::string SealedHead(const Message& request, int status) const;
  /// A whole sealed answer.
  std::string SealedAnswer(const Message& request,
                           const std::string& body,
                           int status = 200) const;
  static std::string RefusalNotRun(int status = 503);

 private:
  void Serve(Connection* connection);

  Store* m_store;
  Record* m_record;
  const std::string m_id;
  const std::string m_service;
  const std::string m_zone;
  const Handler m_handler;
  const int64_t m_born;
  std::unique_ptr<Listener> m_listener;
};

/// A gateway process, started with the command of deploy/system.toml. Finish()
/// ends it.
class Gateway {
 public:
  Gateway(const std::string& name,
          const std::string& zone,
          const std::string& store_address,
          int grace_s = 8);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Waits until the ready address answers 200. @returns false after 20 s.
  bool WaitReady() const;
  /// Whether the process still runs.
  bool IsRunning();
  const std::string& caller_address() const { return m_caller; }
  const std::string& ready_address() const { return m_ready; }
  pid_t pid() const { return m_pid; }

 private:
  std::string m_name;
  std::string m_log;
  std::string m_settings;
  std::string m_caller;
  std::string m_ready;
  pid_t m_pid = -1;
};

/// A route of a configuration, with the fields that PROTOCOL.md shows.
nlohmann::json Route(const std::string& name,
                     const std::string& prefix,
                     const std::string& kind,
                     const std::string& service,
                     int timeout_ms,
                     int target_ms,
                     int max_attempts);
/// A configuration with one plain service and the usual limits and tenants.
nlohmann::json Config(uint64_t version, const nlohmann::json& routes);

/// Whether the disruption is on: TROUBLE is not 0.
bool HasTrouble();
/// @returns the temporary folder of this process, which Finish() removes unless
/// KEEP is set.
const std::string& TemporaryFolder();
/// Ends all gateways, removes the temporary folder and ends this process.
[[noreturn]] void Finish(int code);
/// Calls Finish() after `seconds`, as a last resort.
void FinishAfter(int seconds, int code);

inline constexpr char kHost[] = "site.example";
inline constexpr char kKey[] = "key-of-tenant-a";

}  // namespace review

#endif  // REVIEW_STANDIN_DEPLOYMENT_H_
