// Guards against invalid settings that are accepted without an error, and
// against documentation and example files that differ from the code.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "config_ini_reader.h"
#include "config_snapshot.h"
#include "daemon_settings.h"
#include "gateway_settings.h"

namespace bramleybank {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// A settings file that is removed at the end of the test.
class IniFile {
 public:
  explicit IniFile(const std::string& text)
      : m_path(fs::temp_directory_path() /
               ("unit_settings." + std::to_string(getpid()) + ".ini")) {
    std::ofstream(m_path) << text;
  }
  ~IniFile() { fs::remove(m_path); }
  IniFile(const IniFile&) = delete;
  IniFile& operator=(const IniFile&) = delete;

  std::string path() const { return m_path.string(); }

 private:
  fs::path m_path;
};

constexpr char kNode[] = "[node]\nregion = north\nfailure_domain = north-1\n";
constexpr char kPlatform[] = "[platform]\nurl = http://127.0.0.1:7300\n";

/// @returns the error lines for a daemon's settings, without the file name.
std::vector<std::string> DaemonErrors(const std::string& text) {
  const IniFile file(text);
  std::vector<SettingError> errors;
  ReadDaemonSettings(file.path(), &errors);
  std::vector<std::string> lines;
  for (const SettingError& error : errors) {
    CHECK(error.file == file.path());
    lines.push_back(FormatSettingError(error).substr(file.path().size() + 2));
  }
  return lines;
}

std::set<std::string> Matches(const std::string& text, const char* pattern) {
  std::set<std::string> found;
  const std::regex regex(pattern);
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    found.insert((*it)[1].str());
  }
  return found;
}

TEST_CASE("each error of a file is reported with the allowed values") {
  const IniFile file(
      "[a]\nint = 11\nword = 1x\nreal = nan\nflag = yes\nip = 1.2.3\n"
      "empty =\ntwice = 1\ntwice = 2\nstray = 5\n");
  IniReader reader(file.path());
  CHECK(reader.Int("a", "int", 3, 0, 10) == 3);
  CHECK(reader.Int("a", "word", 4, 0, 10) == 4);
  CHECK(reader.Double("a", "real", 0.5, 0, 1) == 0.5);
  CHECK(reader.Bool("a", "flag", true));
  reader.Ip("a", "ip", "127.0.0.1");
  reader.RequiredString("a", "empty");
  reader.RequiredString("a", "absent");
  CHECK(reader.String("a", "twice", "") == "1");
  const std::vector<SettingError> expected = {
      {file.path(), "a", "twice", "2", "each key once"},
      {file.path(), "a", "int", "11", "a whole number from 0 to 10"},
      {file.path(), "a", "word", "1x", "a whole number from 0 to 10"},
      {file.path(), "a", "real", "nan", "a number from 0 to 1"},
      {file.path(), "a", "flag", "yes", "true or false"},
      {file.path(), "a", "ip", "1.2.3", "an IPv4 address"},
      {file.path(), "a", "empty", "", "a value; the key is required"},
      {file.path(), "a", "absent", "", "a value; the key is required"},
      {file.path(), "a", "stray", "5", "no such key"}};
  CHECK(reader.Finish() == expected);
  CHECK(reader.known_names().contains({"a", "absent"}));
  CHECK_FALSE(reader.known_names().contains({"a", "stray"}));
}

TEST_CASE("valid values are read unchanged") {
  const IniFile file("[a]\nint = 10\nreal = 0.25\nflag = false\n");
  IniReader reader(file.path());
  CHECK(reader.Int("a", "int", 3, 0, 10) == 10);
  CHECK(reader.Double("a", "real", 0.5, 0, 1) == 0.25);
  CHECK_FALSE(reader.Bool("a", "flag", true));
  CHECK(reader.Ip("a", "ip", "127.0.0.1") == "127.0.0.1");
  CHECK(reader.Finish().empty());
}

TEST_CASE("a file that cannot be read or parsed is an error") {
  CHECK(IniReader("/nonexistent.ini").Finish().size() == 1);
  const IniFile file("[a]\nno value\n");
  const auto errors = IniReader(file.path()).Finish();
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].key == "line 2");
}

TEST_CASE("each rule of the daemon's settings is checked") {
  using Lines = std::vector<std::string>;
  const std::string node = kNode;
  const std::string platform = kPlatform;
  CHECK(DaemonErrors(node + platform).empty());
  CHECK(DaemonErrors("") ==
        Lines{"[node] region: allowed: a value; the key is required",
              "[node] failure_domain: allowed: a value; the key is required",
              "[platform] url: allowed: a value; the key is required"});
  CHECK(DaemonErrors(node + "ip = here\n" + platform) ==
        Lines{"[node] ip = \"here\": allowed: an IPv4 address"});
  CHECK(DaemonErrors(node + "ip = 0.0.0.0\n" + platform) ==
        Lines{"[node] ip = \"0.0.0.0\": allowed: the VM's own IPv4 address"});
  for (const std::string key : {"region", "failure_domain"}) {
    const std::string other = key == "region" ? "failure_domain" : "region";
    const std::string head = "[node]\n" + other + " = a\n" + key + " = ";
    CHECK(DaemonErrors(head + std::string(64, 'x') + "\n" + platform).empty());
    CHECK(DaemonErrors(head + std::string(65, 'x') + "\n" + platform) ==
          Lines{"[node] " + key + " = \"" + std::string(65, 'x') +
                "\": allowed: at most 64 bytes"});
  }
  for (const std::string key : {"caller_port", "operator_port", "peer_port"}) {
    for (const std::string value : {"0", "65536", "x"}) {
      CHECK(DaemonErrors(node + key + " = " + value + "\n" + platform) ==
            Lines{"[node] " + key + " = \"" + value +
                  "\": allowed: a whole number from 1 to 65535"});
    }
  }
  CHECK(DaemonErrors(node + "peer_port = 7101\n" + platform).size() == 1);
  CHECK(DaemonErrors(node + "peer_port = 7102\n" + platform).size() == 1);
  CHECK(DaemonErrors(node + "operator_port = 7101\n" + platform) ==
        Lines{"[node] operator_port = \"7101\": allowed: caller_port, "
              "operator_port and peer_port must differ"});
  CHECK(DaemonErrors(node + "[platform]\nurl = ftp://here\n") ==
        Lines{"[platform] url = \"ftp://here\": allowed: an http:// or "
              "https:// URL"});
  CHECK(DaemonErrors(node + platform + "[streams]\ncopy = 1\n") ==
        Lines{"[streams] copy = \"1\": allowed: true or false"});
  for (const std::string value : {"34", "3601"}) {
    CHECK(DaemonErrors(node + platform + "[drain]\ntime_s = " + value + "\n") ==
          Lines{"[drain] time_s = \"" + value +
                "\": allowed: a whole number from 35 to 3600"});
  }
  CHECK(DaemonErrors(node + platform + "[drain]\ntime = 60\n") ==
        Lines{"[drain] time = \"60\": allowed: no such key"});
}

TEST_CASE("docs/settings.md lists the daemon's keys, and no others") {
  const std::string page = ReadFile(fs::path(SOURCE_DIR) / "docs/settings.md");
  const size_t start = page.find("## bramleybankd\n");
  REQUIRE(start != std::string::npos);
  const std::string part =
      page.substr(start, page.find("\n## ", start) - start);
  const IniFile file("");
  IniReader reader(file.path());
  ReadDaemonSettings(&reader);
  std::set<std::string> known;
  for (const auto& [section, key] : reader.known_names()) {
    known.insert(section + " | " + key);
  }
  std::set<std::string> listed = Matches(part, R"(\n\| ([a-z]\w* \| \w+) \|)");
  CHECK(listed == known);
}

TEST_CASE("docs/settings.md lists the gateway's keys, and no others") {
  const std::string page = ReadFile(fs::path(SOURCE_DIR) / "docs/settings.md");
  const size_t start = page.find("## bramleybankd as a gateway\n");
  REQUIRE(start != std::string::npos);
  const std::string part =
      page.substr(start, page.find("\n## ", start) - start);
  const IniFile file("");
  IniReader reader(file.path());
  ReadGatewaySettings(&reader);
  std::set<std::string> known;
  for (const auto& [section, key] : reader.known_names()) {
    known.insert(section + " | " + key);
  }
  CHECK(Matches(part, R"(\n\| ([a-z]\w* \| \w+) \|)") == known);
}

TEST_CASE("each rule of the gateway's settings is checked") {
  const std::string good =
      "[node]\nname = n\nfailure_domain = d\nregion = r\n"
      "regions = d r, e s\n[listen]\ncaller = 10.0.0.1:80\n"
      "ready = 10.0.0.1:81\nmetrics = 10.0.0.1:82\n"
      "[platform]\nstore = 10.0.0.2:90\n";
  const auto error_count = [](const std::string& text) {
    const IniFile file(text);
    std::vector<SettingError> errors;
    ReadGatewaySettings(file.path(), &errors);
    return errors.size();
  };
  CHECK(error_count(good) == 0);
  CHECK(error_count("") == 7);
  CHECK(error_count(good + "[drain]\nstop_grace_s = 0\n") == 1);
  CHECK(error_count(good + "[retries]\nshare = 2\nextra = -1\n") == 2);
  CHECK(error_count(good + "[listen2]\nx = 1\n") == 1);
  CHECK(error_count("[listen]\ncaller = here\n") == 7);
  const IniFile file(good);
  std::vector<SettingError> errors;
  const GatewaySettings settings = ReadGatewaySettings(file.path(), &errors);
  CHECK(settings.place.regions.at("e") == "s");
  CHECK(settings.store_url == "http://10.0.0.2:90");
  CHECK(IsGatewaySettingsFile(file.path()));
  const IniFile other("[node]\nip = 10.0.0.1\n");
  CHECK_FALSE(IsGatewaySettingsFile(other.path()));
}

TEST_CASE("docs/metrics.md lists the metrics of the daemon, and no others") {
  std::set<std::string> used;
  for (const auto& entry :
       fs::directory_iterator(fs::path(SOURCE_DIR) / "src")) {
    const std::string text = ReadFile(entry.path());
    used.merge(Matches(text, R"re("(bramleybank_\w*[a-z])")re"));
    if (entry.path().filename() == "member_report.cc") {
      // These names are composed of a prefix and a suffix.
      for (const std::string& name : Matches(text, R"re(set\("(\w+)")re")) {
        used.insert("bramleybank_member_" + name);
      }
      for (const std::string& name :
           Matches(text, R"re(\{"(\w+)", LogEventId)re")) {
        used.insert("bramleybank_members_" + name);
      }
    }
  }
  CHECK(used.size() > 40);
  const std::string page = ReadFile(fs::path(SOURCE_DIR) / "docs/metrics.md");
  CHECK(Matches(page, R"(\n\| `(bramleybank_\w+))") == used);
}

void CheckExample(const std::string& name,
                  const std::vector<std::string>& regions,
                  const std::string& model,
                  size_t model_servers,
                  const std::string& service) {
  const fs::path folder = fs::path(SOURCE_DIR) / "examples" / name;
  Reason error;
  const auto config =
      ParseConfigSnapshot(ReadFile(folder / "config.json"), &error);
  CAPTURE(error.detail);
  REQUIRE(config);
  std::set<std::string> domains;
  size_t engines = 0;
  size_t services = 0;
  for (const EndpointConfig& endpoint : config->endpoints) {
    domains.insert(endpoint.failure_domain);
    const bool is_engine = endpoint.kind == EndpointKind::kEngine;
    CHECK(endpoint.group == (is_engine ? model : service));
    CHECK(std::ranges::find(regions, endpoint.region) != regions.end());
    (is_engine ? engines : services) += 1;
  }
  CHECK(engines == model_servers);
  CHECK(services == 3);
  CHECK(config->customers.size() == 10);
  REQUIRE(config->services.size() == 1);
  CHECK(config->services[0].name == service);
  CHECK_FALSE(config->services[0].non_idempotent_routes.empty());
  for (const std::string& region : regions) {
    std::vector<SettingError> errors;
    const DaemonSettings settings = ReadDaemonSettings(
        (folder / ("daemon-" + region + ".ini")).string(), &errors);
    CHECK(errors.empty());
    CHECK(settings.region == region);
    CHECK(domains.contains(settings.failure_domain));
    CHECK(settings.cluster == name);
  }
}

TEST_CASE("the examples are valid and have the documented sizes") {
  CheckExample("lianhua", {"north", "central", "south"}, "writer", 36, "app");
  CheckExample("trust", {"bagmati", "gandaki", "koshi"}, "guide", 24, "desk");
}

}  // namespace
}  // namespace bramleybank
