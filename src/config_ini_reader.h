// Reads settings from an INI file and reports every error, not only the first.
#ifndef BRAMLEYBANK_SRC_CONFIG_INI_READER_H_
#define BRAMLEYBANK_SRC_CONFIG_INI_READER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleybank {

/// One error in a settings file.
struct SettingError {
  std::string file;
  std::string section;
  std::string key;
  std::string value;
  /// Description of the accepted values.
  std::string allowed;

  friend bool operator==(const SettingError&, const SettingError&) = default;
};

/// @returns one line: file, section, key, value and the accepted values.
std::string FormatSettingError(const SettingError& error);

/// Reads typed values. Each getter records an error for an invalid value and
/// returns the default; Finish() adds an error for each key that no getter has
/// read.
class IniReader {
 public:
  /// Section and key.
  using Name = std::pair<std::string, std::string>;

  /// @param file path; a file that cannot be read or parsed adds an error.
  explicit IniReader(std::string file);

  std::string String(std::string_view section,
                     std::string_view key,
                     std::string_view default_value);
  /// Adds an error when the key is absent or its value is empty.
  std::string RequiredString(std::string_view section, std::string_view key);
  /// Adds an error when the value is not an IPv4 address, and returns it even
  /// then.
  std::string Ip(std::string_view section,
                 std::string_view key,
                 std::string_view default_value);
  int64_t Int(std::string_view section,
              std::string_view key,
              int64_t default_value,
              int64_t min,
              int64_t max);
  double Double(std::string_view section,
                std::string_view key,
                double default_value,
                double min,
                double max);
  bool Bool(std::string_view section, std::string_view key, bool default_value);

  /// Adds an error for a rule that involves several settings.
  void AddError(std::string_view section,
                std::string_view key,
                std::string_view allowed);

  /// @returns all errors, unknown keys included.
  std::vector<SettingError> Finish();

  /// @returns every name that a getter has looked up, present in the file or
  /// not.
  const std::set<Name>& known_names() const { return m_known; }

 private:
  std::optional<std::string> Find(std::string_view section,
                                  std::string_view key);
  void AddValueError(std::string_view section,
                     std::string_view key,
                     std::string_view value,
                     std::string_view allowed);

  std::string m_file;
  std::map<Name, std::string> m_values;
  // Names that a getter has looked up, present in the file or not.
  std::set<Name> m_known;
  std::vector<SettingError> m_errors;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_INI_READER_H_
