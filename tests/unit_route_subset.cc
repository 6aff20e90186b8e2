// Guards against subsets that leave endpoints without a daemon, that change
// completely when one member changes, or that contain only one failure domain.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "manual_clock.h"
#include "route_subset.h"

namespace bramleybank {
namespace {

std::vector<SubsetMember> Members(int count) {
  std::vector<SubsetMember> members;
  for (int i = 0; i < count; ++i) {
    members.push_back({"daemon" + std::to_string(i), "r1", "d1"});
  }
  return members;
}

std::vector<EndpointConfig> Group(int own, int near, int far) {
  std::vector<EndpointConfig> group;
  const auto add = [&group](int count, const char* domain, const char* region) {
    for (int i = 0; i < count; ++i) {
      group.push_back(
          MakeEngineConfig(domain + std::to_string(i), domain, region));
    }
  };
  add(own, "d1", "r1");
  add(near, "d2", "r1");
  add(far, "d3", "r2");
  return group;
}

std::map<std::string, std::vector<std::string>> ChooseAll(
    const std::vector<SubsetMember>& members,
    const std::vector<EndpointConfig>& group) {
  std::map<std::string, std::vector<std::string>> subsets;
  for (const SubsetMember& member : members) {
    subsets[member.id] = SubsetChooser(member).Choose(members, group);
  }
  return subsets;
}

TEST_CASE(
    "all endpoints of the domain are preferred by similar numbers of daemons") {
  const auto subsets = ChooseAll(Members(20), Group(300, 0, 0));
  std::map<std::string, int> load;
  for (const auto& [daemon, subset] : subsets) {
    CHECK(subset.size() == 64);
    for (const std::string& address : subset) {
      ++load[address];
    }
  }
  // 20 * 64 / 300 is 4.3 on average.
  CHECK(load.size() == 300);
  const auto [least, most] = std::ranges::minmax_element(
      load, {}, [](const auto& entry) { return entry.second; });
  CHECK(least->second >= 1);
  CHECK(most->second <= 7);
}

TEST_CASE("removing one member changes few subset entries") {
  std::vector<SubsetMember> members = Members(20);
  const auto group = Group(300, 0, 0);
  const auto before = ChooseAll(members, group);
  members.erase(members.begin() + 7);
  const auto after = ChooseAll(members, group);
  int moved = 0;
  for (auto [daemon, subset] : after) {
    std::vector<std::string> old = before.at(daemon);
    std::ranges::sort(old);
    moved += static_cast<int>(
        std::ranges::count_if(subset, [&](const std::string& address) {
          return !std::ranges::binary_search(old, address);
        }));
  }
  CHECK(moved < 19 * 64 / 8);
}

TEST_CASE("the own domain comes first and others keep some places") {
  const auto subset =
      SubsetChooser(Members(1)[0]).Choose({}, Group(100, 100, 100));
  const auto in_domain = [&subset](const char* domain) {
    return std::ranges::count_if(subset, [domain](const std::string& address) {
      return address.starts_with(domain);
    });
  };
  CHECK(subset.size() == 64);
  CHECK(in_domain("d1") == 48);
  CHECK(in_domain("d2") == 8);
  CHECK(in_domain("d3") == 8);
  CHECK(std::ranges::all_of(
      subset.begin(), subset.begin() + 48,
      [](const std::string& address) { return address.starts_with("d1"); }));
}

TEST_CASE("a small group is chosen whole, except for leaving endpoints") {
  auto group = Group(3, 4, 5);
  group[0].leaving = true;
  CHECK(SubsetChooser(Members(1)[0]).Choose({}, group).size() == 11);
}

}  // namespace
}  // namespace bramleybank
