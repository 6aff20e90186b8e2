// Integer ids for the names of groups, versions, adapters, regions and failure
// domains, so that endpoints are compared without strings.
#ifndef BRAMLEYBANK_SRC_ROUTE_NAME_POOL_H_
#define BRAMLEYBANK_SRC_ROUTE_NAME_POOL_H_

#include <cassert>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleybank {

using NameId = uint32_t;

/// Hash that allows lookups by string view in a map with string keys.
struct StringHash {
  using is_transparent = void;
  size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

/// Reference-counted interned names. Ids of names that are no longer used are
/// assigned again, so the pool stays as small as the configuration.
class NamePool {
 public:
  NameId Acquire(std::string_view name) {
    if (const auto it = m_ids.find(name); it != m_ids.end()) {
      ++m_uses[it->second];
      return it->second;
    }
    NameId id = 0;
    if (m_free.empty()) {
      id = static_cast<NameId>(m_names.size());
      m_names.emplace_back(name);
      m_uses.push_back(1);
    } else {
      id = m_free.back();
      m_free.pop_back();
      m_names[id] = name;
      m_uses[id] = 1;
    }
    m_ids.emplace(name, id);
    return id;
  }

  void Release(NameId id) {
    assert(m_uses[id] > 0);
    if (--m_uses[id] == 0) {
      m_ids.erase(m_names[id]);
      m_free.push_back(id);
    }
  }

  std::optional<NameId> Find(std::string_view name) const {
    const auto it = m_ids.find(name);
    return it == m_ids.end() ? std::nullopt : std::optional(it->second);
  }

  const std::string& NameOf(NameId id) const { return m_names[id]; }
  size_t size() const { return m_ids.size(); }

 private:
  std::unordered_map<std::string, NameId, StringHash, std::equal_to<>> m_ids;
  // m_names and m_uses have the same length; the ids with 0 uses are in m_free.
  std::vector<std::string> m_names;
  std::vector<uint32_t> m_uses;
  std::vector<NameId> m_free;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_NAME_POOL_H_
