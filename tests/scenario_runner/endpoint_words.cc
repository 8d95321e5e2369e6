#include "scenario.h"

namespace chervilspar::scenario {

void Scenario::AddEndpointWords() {
  const auto add = [this](const std::string& pattern, const std::string& switches,
                          const std::string& state) {
    this->vocabulary.Add(pattern, [this, switches, state](const Arguments& a) {
      return this->SwitchVm(a[0], switches, state);
    });
  };
  add("endpoint <vm> fails everything", R"("fail_fast":true)", "");
  add("endpoint <vm> silent", R"("silent":true)", "");
  add("endpoint <vm> truncates", R"("truncate":true)", "");
  add("endpoint <vm> answers late", R"("late_ms":2000)", "");
  add("endpoint <vm> slow", R"("slow_factor":1000)", "");
  add("endpoint <vm> healthy",
      R"("fail_fast":false,"silent":false,"truncate":false,"late_ms":0,"slow_factor":100)", "");
  add("vm <vm> fails", R"("down":true)", "failed");
  add("vm <vm> returns", R"("down":false)", "live");
  add("vm <vm> leaves", "", "leaving");
  this->vocabulary.Add("rack <rack> fails", [this](const Arguments& a) {
    return this->SwitchRack(a[0], R"("down":true)", "failed");
  });
  this->vocabulary.Add("rack <rack> returns", [this](const Arguments& a) {
    return this->SwitchRack(a[0], R"("down":false)", "live");
  });
}

Status Scenario::SwitchVm(const std::string& vm, const std::string& switches,
                          const std::string& state) {
  if (!this->fleet->Plan().inventory.vms.contains(VmId{vm})) {
    return Reason{ErrorCode::kNotFound, "", "there is no VM '" + vm + "'"};
  }
  const std::string name = R"({"vm":")" + vm + R"(")";
  if (!switches.empty()) {
    Status status = this->fleet->Control(vm, name + "," + switches + "}");
    if (!status) {
      return status;
    }
  }
  if (!state.empty()) {
    return this->fleet->Control("vmlist", name + R"(,"state":")" + state + R"("})");
  }
  return Done{};
}

Status Scenario::SwitchRack(const std::string& rack, const std::string& switches,
                            const std::string& state) {
  bool is_found = false;
  for (const auto& [id, vm] : this->fleet->Plan().inventory.vms) {
    if (vm.rack.text != rack) {
      continue;
    }
    is_found = true;
    Status status = this->SwitchVm(id.text, switches, state);
    if (!status) {
      return status;
    }
  }
  return is_found ? Status(Done{})
                  : Status(Reason{ErrorCode::kNotFound, "", "there is no rack '" + rack + "'"});
}

}  // namespace chervilspar::scenario
