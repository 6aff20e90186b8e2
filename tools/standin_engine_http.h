// HTTP routes of the engine stand-in.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_HTTP_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_HTTP_H_

#include <memory>
#include <string>

namespace bramleybank {

class HttpResponder;
struct HttpRequest;

}  // namespace bramleybank

namespace bramleybank::standin {

class EngineCore;

/// Parses requests, passes them to the core and sends its answers.
class EngineHttp {
 public:
  using Responder = std::shared_ptr<HttpResponder>;

  explicit EngineHttp(EngineCore* core) : m_core(core) {}

  void Handle(const HttpRequest& request, const Responder& responder);

 private:
  void HandlePost(const HttpRequest& request, const Responder& responder);
  void HandleGet(const HttpRequest& request, const Responder& responder);
  void Generate(const HttpRequest& request, const Responder& responder);
  void Attach(const HttpRequest& request, const Responder& responder);
  void Cancel(const HttpRequest& request, const Responder& responder);
  void HandleCommand(const HttpRequest& request, const Responder& responder);
  void HandleControl(const HttpRequest& request, const Responder& responder);

  EngineCore* m_core;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_HTTP_H_
