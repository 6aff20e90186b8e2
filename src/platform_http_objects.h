// The platform's object store over HTTP.
#ifndef BRAMLEYBANK_SRC_PLATFORM_HTTP_OBJECTS_H_
#define BRAMLEYBANK_SRC_PLATFORM_HTTP_OBJECTS_H_

#include <memory>
#include <string>
#include <string_view>

#include "platform_objects.h"

namespace bramleybank {

class HttpClient;

/// Implements PlatformObjects with the protocol of section 9.1 of the design
/// page. Requests time out after kPlatformTimeout.
class PlatformHttpObjects : public PlatformObjects {
 public:
  /// @param base_url `http://ip:port` of the platform.
  /// @remarks the client must outlive this object.
  PlatformHttpObjects(HttpClient* client, std::string base_url);

  void Get(std::string_view name, GetCallback callback) override;
  void Put(std::string_view name,
           std::string_view bytes,
           PutCallback callback) override;

 private:
  HttpClient* m_client;
  std::string m_base_url;
  // Expires with this object, so that answers that arrive later are ignored.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_HTTP_OBJECTS_H_
