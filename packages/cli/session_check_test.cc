#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command.h"

namespace bulrushlift {
namespace {

using nlohmann::json;

json document(std::uint64_t version) {
  return {{"version", version},
          {"routes",
           {{{"name", "orders"},
             {"host", "orders"},
             {"service", "ledger"},
             {"kind", "primary"},
             {"timeoutMs", 1000U},
             {"targetLatencyMs", 300U}}}},
          {"services", {{{"name", "ledger"}, {"connectionLimit", 40U}}}},
          {"tenants", {{{"name", "shop"}, {"ratePerS", 10}, {"burst", 20}, {"accessKeys", {"secret-1"}}}}}};
}

/// Files in a folder of their own, and runs of the command.
class check_fixture {
 public:
  check_fixture()
      : folder_(std::filesystem::temp_directory_path() / ("session_check_" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
  }
  check_fixture(const check_fixture&) = delete;
  check_fixture& operator=(const check_fixture&) = delete;
  ~check_fixture() { std::filesystem::remove_all(folder_); }

  std::string write(const std::string& name, const std::string& text) {
    std::ofstream{folder_ / name} << text;
    return folder_ / name;
  }
  int run(const std::vector<std::string>& arguments) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    const int code = run_cli(loop_, arguments, out_stream, error_stream);
    out = out_stream.str();
    errors = error_stream.str();
    return code;
  }

  std::string out;
  std::string errors;

 private:
  event_loop loop_;
  std::filesystem::path folder_;
};

// Guards against scripts that send a configuration although the check has found errors.
TEST_CASE_METHOD(check_fixture, "check --sessions tells by its exit code what it found") {
  CHECK(run({"check", "--sessions", write("valid", document(2).dump())}) == 0);
  auto content = document(2);
  content["routes"][0]["targetLatencyMs"] = 2000U;
  CHECK(run({"check", "--sessions", write("warning", content.dump())}) == 8);
  CHECK(out.find("warning (contradiction): routes[0].targetLatencyMs") != std::string::npos);
  content["routes"][0].erase("host");
  const auto wrong = write("error", content.dump());
  CHECK(run({"check", "--sessions", wrong, "--json"}) == 3);
  CHECK(json::parse(out)["valid"] == false);
  CHECK(json::parse(out)["findings"][0]["path"] == "routes[0].host");
}

// Guards against a check of the first half of a file.
TEST_CASE_METHOD(check_fixture, "check --sessions checks nothing of a file that is cut off") {
  const auto text = document(2).dump(1);
  const auto cut = write("cut", text.substr(0, text.size() / 2));
  CHECK(run({"check", "--sessions", cut}) == 9);
  CHECK(out.find("byte " + std::to_string(text.size() / 2)) != std::string::npos);
  CHECK(run({"check", "--sessions", cut, "--json"}) == 9);
  CHECK(json::parse(out)["byte"] == text.size() / 2);
  const auto valid = write("valid", text);
  CHECK(run({"check", "--sessions", valid, "--against", cut}) == 9);
  CHECK(out.find("valid configuration") == std::string::npos);
  CHECK(run({"check", "--sessions", valid + ".missing"}) == 5);
}

TEST_CASE_METHOD(check_fixture, "check --against shows what differs from the version in force") {
  auto content = document(3);
  content["routes"][0]["timeoutMs"] = 900U;
  content["tenants"][0]["accessKeys"].push_back("secret-2");
  const auto next = write("next", content.dump());
  const auto in_force = write("in_force", json{{"meta", {{"name", "main"}}}, {"spec", document(2)}}.dump());
  CHECK(run({"check", "--sessions", next, "--against", in_force}) == 0);
  CHECK(out.find("changed routes/orders\n  timeoutMs: 1000 -> 900\n") != std::string::npos);
  CHECK(out.find("changed tenants/shop\n  accessKeys: 1 keys -> 2 keys, 1 of them new\n") !=
        std::string::npos);
  CHECK(out.find("secret") == std::string::npos);
  CHECK(run({"check", "--sessions", in_force, "--against", next, "--json"}) == 3);
  CHECK(json::parse(out)["findings"][0]["kind"] == "version");
  CHECK(json::parse(out)["differences"].size() == 3);
  CHECK(run({"check", next, "--against", in_force}) == 2);
}

}  // namespace
}  // namespace bulrushlift
