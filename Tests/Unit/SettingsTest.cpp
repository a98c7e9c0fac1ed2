#include "LibSettings/LibSettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace primrose;

namespace {

std::string
FirstProblem(const std::string& aText)
{
  settings_problems problems;
  const json document = json::parse(aText, nullptr, true, true);
  settings_tree::Read(document, problems);
  return problems.empty() ? "" : problems.front().Line("f");
}

constexpr const char* kTree = R"({
  "values": { "probes": 3, "priority": 2 },
  "models": { "m": {} }, "services": { "desk": {} },
  "organisations": {
    "o": { "values": { "probes": 5 },
      "services": { "m": { "values": { "priority": 1 },
        "workloads": { "w": { "values": { "priority": 0 } } } } } } } })";

} // namespace

class settings_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(ChildValuesOverrideAndReportOrigin);
  CPPUNIT_TEST(ProblemsNamePathExpectedAndFoundValue);
  CPPUNIT_TEST(WrongKeyIsNotShown);
  CPPUNIT_TEST(SyntaxErrorNamesTheLine);
  CPPUNIT_TEST(SampleTreesAreValid);
  CPPUNIT_TEST(AnyDocumentIsReadOrReportsProblems);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChildValuesOverrideAndReportOrigin()
  {
    settings_problems problems;
    const settings_tree tree =
      settings_tree::Read(json::parse(kTree), problems);
    CPPUNIT_ASSERT(problems.empty());
    const tree_path deep{ "o", "m", "w" };
    CPPUNIT_ASSERT_EQUAL(0.0, tree.Resolve(deep).mPriority);
    CPPUNIT_ASSERT_EQUAL(5.0, tree.Resolve(deep).mProbes);
    CPPUNIT_ASSERT_EQUAL(std::string("o/m/w"), tree.OriginOf(deep, "priority"));
    CPPUNIT_ASSERT_EQUAL(std::string("o"), tree.OriginOf(deep, "probes"));
    CPPUNIT_ASSERT_EQUAL(std::string("default"),
                         tree.OriginOf(deep, "lease_s"));
    const tree_path unknown{ "p", "m", "w" };
    CPPUNIT_ASSERT_EQUAL(3.0, tree.Resolve(unknown).mProbes);
  }

  void ProblemsNamePathExpectedAndFoundValue()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string("f: /values/porbes: unknown key; did you mean \"probes\"?"),
      FirstProblem(R"({"values":{"porbes":1}})"));
    CPPUNIT_ASSERT_EQUAL(std::string("f: /values/probes: expected a number "
                                     "of 1 to 64 (agents), found \"x\""),
                         FirstProblem(R"({"values":{"probes":"x"}})"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("f: /organisations/o/services/dsek: expected a model or "
                  "service of the fleet, found \"dsek\"; did you mean "
                  "\"desk\"?"),
      FirstProblem(R"({"services":{"desk":{}},
        "organisations":{"o":{"services":{"dsek":{}}}}})"));
  }

  void WrongKeyIsNotShown()
  {
    const std::string line = FirstProblem(
      R"({"organisations":{"o":{"key_sha256":["a-secret-key"]}}})");
    CPPUNIT_ASSERT(!line.empty());
    CPPUNIT_ASSERT(line.find("a-secret-key") == std::string::npos);
  }

  void SyntaxErrorNamesTheLine()
  {
    const outcome<json> read = Capture<json>(
      []() { return ParseSettings("{\n\"a\": 1,\n\"b\" 2 }", "f"); });
    CPPUNIT_ASSERT(!read);
    CPPUNIT_ASSERT(read.mFailure.mMessage.starts_with("f: line 3:"));
  }

  void SampleTreesAreValid()
  {
    for (const char* const name : { "hanbit", "agenzia" }) {
      const std::string file =
        std::string(PRIMROSE_SOURCE) + "/Settings/" + name + ".json";
      const outcome<settings_tree> tree =
        Capture<settings_tree>([&]() { return LoadTree(file); });
      CPPUNIT_ASSERT_MESSAGE(tree.mFailure.mMessage, bool(tree));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), tree.mValue->Models().size());
    }
  }

  /// Replaces parts of a valid document by wrong values: reading must either
  /// give a usable tree or report problems.
  void AnyDocumentIsReadOrReportsProblems()
  {
    const bool held = rc::check("settings", []() {
      json document = json::parse(kTree);
      const std::vector<std::string> places = {
        "/values",          "/values/probes",
        "/models/m",        "/organisations",
        "/organisations/o", "/organisations/o/services/m/workloads/w"
      };
      const std::string place = *rc::gen::elementOf(places);
      const std::vector<json> replacements = {
        json(nullptr), json(-1),           json("text"),
        json::array(), json{ { "x", 1 } }, json(1e300)
      };
      document[json::json_pointer(place)] =
        replacements[*rc::gen::inRange<std::size_t>(0, 6)];
      settings_problems problems;
      const settings_tree tree = settings_tree::Read(document, problems);
      RC_ASSERT(!problems.empty() || tree.Resolve({}).mProbes >= 1);
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_test, "settings");
