// Interface to the platform's object store.
#ifndef BRAMLEYBANK_SRC_PLATFORM_OBJECTS_H_
#define BRAMLEYBANK_SRC_PLATFORM_OBJECTS_H_

#include <functional>
#include <string>
#include <string_view>

namespace bramleybank {

enum class ObjectReadStatus { kFound, kNotFound, kUnavailable };

struct ObjectReadResult {
  ObjectReadStatus status = ObjectReadStatus::kUnavailable;
  /// Set when the status is kFound.
  std::string bytes;

  friend bool operator==(const ObjectReadResult&,
                         const ObjectReadResult&) = default;
};

/// Asynchronous access to named objects. Callbacks run on the event loop's
/// thread, never inside the call itself.
class PlatformObjects {
 public:
  using GetCallback = std::function<void(const ObjectReadResult&)>;
  /// `stored` is false when the store did not confirm the write; the object may
  /// have been stored nevertheless.
  using PutCallback = std::function<void(bool stored)>;

  virtual ~PlatformObjects() = default;

  virtual void Get(std::string_view name, GetCallback callback) = 0;
  /// Creates or replaces an object.
  virtual void Put(std::string_view name,
                   std::string_view bytes,
                   PutCallback callback) = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PLATFORM_OBJECTS_H_
