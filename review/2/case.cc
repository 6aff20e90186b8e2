// The trailer of one request must not become a header of the next request on
// the same connection.
#include <iostream>

#include "deployment.h"

namespace {

using namespace review;

constexpr int kConnections = 5;
constexpr int kRequestsPerConnection = 6;
constexpr int64_t kAnswerTimeoutMs = 5000;

const std::vector<std::string> kCheckedHeaders = {"Model", "Token-Count",
                                                  "Prompt-Prefix"};

/// What the clients have sent, by Request-Id.
class SentRequests {
 public:
  void Add(const std::string& id, const Headers& headers) {
    const std::lock_guard lock(m_mutex);
    m_headers[id] = headers;
  }
  std::string Value(const std::string& id, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    for (const auto& [other, value] : m_headers[id]) {
      if (other == name) {
        return value;
      }
    }
    return "";
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, Headers> m_headers;
};

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Join(const std::vector<std::string>& values) {
  std::string text;
  for (const std::string& value : values) {
    text += (text.empty() ? "" : " | ") + value;
  }
  return text;
}

/// A request whose body is sent in chunks. With the disruption the client also
/// states the token count behind the body, as HTTP/1.1 allows.
std::string Render(const std::string& id, const Headers& headers) {
  std::string message = "POST /guide/2f HTTP/1.1\r\nHost: ";
  message.append(kHost).append("\r\nRequest-Id: ").append(id);
  message.append("\r\nDeadline-Ms: 25000\r\nAuthorization: Bearer ");
  message.append(kKey).append("\r\nTransfer-Encoding: chunked\r\n");
  std::string token_count;
  for (const auto& [name, value] : headers) {
    message.append(name).append(": ").append(value).append("\r\n");
    token_count = name == "Token-Count" ? value : token_count;
  }
  if (HasTrouble()) {
    message.append("Trailer: Token-Count\r\n");
  }
  message.append("\r\n").append(Chunk("prompt of ")).append(Chunk(id));
  message.append("0\r\n");
  if (HasTrouble()) {
    message.append("Token-Count: ").append(token_count).append("\r\n");
  }
  return message + "\r\n";
}

[[noreturn]] void Run(const std::string& record_path) {
  Record record(record_path);
  Store store;
  store.Put(
      "op", "config",
      Config(1, nlohmann::json::array({Route("guide", "/guide/", "streaming",
                                             "guide", 25000, 4500, 5)}))
          .dump());
  SentRequests sent;
  std::atomic<int> runs = 0;
  std::atomic<int> foreign = 0;
  std::vector<std::unique_ptr<Server>> servers;
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  for (const std::string& zone : zones) {
    const size_t i = servers.size();
    servers.push_back(std::make_unique<Server>(
        &store, &record, "i-guide-" + zone, "guide", zone,
        [&, i](const Message& request, Connection* connection) {
          ++runs;
          std::string seen;
          bool is_foreign = false;
          for (const std::string& name : kCheckedHeaders) {
            const auto values = request.All(name);
            const std::string own =
                sent.Value(request.Header("Request-Id"), name);
            is_foreign = is_foreign || values != std::vector<std::string>{own};
            seen += name + " = " + Join(values) + "; ";
          }
          servers[i]->NoteRun(request,
                              seen + (is_foreign ? "NOT THE CLIENT'S" : ""));
          foreign += is_foreign ? 1 : 0;
          connection->Write(servers[i]->SealedAnswer(
              request, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        }));
    servers.back()->Register();
  }
  Gateway gateway("front-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.WaitReady()) {
    std::cerr << "the gateway was not ready\n";
    Finish(2);
  }
  for (int c = 0; c < kConnections; ++c) {
    const auto connection = Connection::To(gateway.caller_address());
    for (int r = 0; connection && r < kRequestsPerConnection; ++r) {
      const std::string id = "c" + std::to_string(c) + "r" + std::to_string(r);
      const int tokens = 1000 + 100 * c + r;
      const Headers headers = {
          {"Model", "m"},
          {"Token-Count", std::to_string(tokens) + ",80"},
          {"Prompt-Prefix",
           "5c1e07a2:200," + id + ":" + std::to_string(tokens - 200)}};
      sent.Add(id, headers);
      record.Line("client sends " + id + ", Token-Count " + headers[1].second);
      connection->Write(Render(id, headers));
      const auto answer = connection->Read(kAnswerTimeoutMs);
      record.Line("client gets " + id + ": " +
                  (answer ? answer->start_line : "no answer"));
      if (!answer) {
        break;
      }
    }
  }
  record.Line(std::to_string(runs) + " runs, " + std::to_string(foreign) +
              " of them with a Model, Token-Count or Prompt-Prefix that is "
              "not the client's");
  if (runs == 0) {
    Finish(2);
  }
  Finish(foreign > 0 ? 1 : 0);
}

}  // namespace

int main(int argc, char** argv) {
  review::FinishAfter(100, 2);
  Run(argc > 1 ? argv[1] : "record.txt");
}
