// Blocking requests of bramleyctl to the first daemon that answers.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_CLIENT_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_CLIENT_H_

#include <string>
#include <vector>

#include "event_loop.h"
#include "hooks.h"
#include "http_client.h"

namespace bramleybank {

/// One request without its target.
struct CtlRequest {
  std::string method = "GET";
  /// Path and query.
  std::string path;
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
};

struct CtlAnswer {
  /// HTTP status; 0 when no target answered.
  int status = 0;
  std::string body;
  /// The target that answered.
  std::string target;
  /// Whether a target that did not answer may have received the request.
  bool maybe_received = false;
};

/// Sends requests one at a time. A request may reach several targets, so it
/// must be idempotent: a lookup, or a change that carries an id.
class CtlClient {
 public:
  /// @param targets "ip:port" in the order in which they are tried.
  explicit CtlClient(std::vector<std::string> targets);

  /// Tries the targets in turn until one sends a complete answer. The target
  /// that answered is tried first from then on. Targets that do not answer are
  /// reported on standard error.
  CtlAnswer Send(const CtlRequest& request);

  /// Runs the event loop for `time`.
  void Sleep(Duration time);

 private:
  HttpOutcome SendTo(const std::string& target, const CtlRequest& request);

  std::vector<std::string> m_targets;
  EventLoop m_loop;
  HttpClient m_client;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_CLIENT_H_
