#include "Control.h"

#include <iostream>
#include <spdlog/fmt/fmt.h>

namespace primrose::control {

namespace {

result<tree_path>
ParseTreePath(const std::string& aText)
{
  tree_path path;
  if (aText == "fleet") {
    return path;
  }
  std::string* const parts[] = { &path.mOrganisation,
                                 &path.mService,
                                 &path.mWorkload };
  std::size_t begin = 0;
  for (std::string* const part : parts) {
    const std::size_t end = aText.find('/', begin);
    *part = aText.substr(begin, end - begin);
    if (end == std::string::npos) {
      return path;
    }
    begin = end + 1;
  }
  return Fail(error_kind::SettingsInvalid,
              "expected fleet or ORGANISATION[/SERVICE[/WORKLOAD]], found \"" +
                aText + "\"");
}

result<json>
LoadDocument(const std::string& aFile)
{
  BOOST_LEAF_CHECK(LoadTree(aFile));
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  return ParseSettings(text, aFile);
}

} // namespace

result<int>
CheckTree(control_context& aContext)
{
  const std::string& file = aContext.mArguments[0];
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(file));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, file));
  settings_problems problems;
  const settings_tree tree = settings_tree::Read(document, problems);
  for (const settings_problem& problem : problems) {
    std::cerr << problem.Line(file) << "\n";
  }
  if (!problems.empty()) {
    return kExitUsage;
  }
  std::cout << fmt::format("{}: good, {} organisations, {} models\n",
                           file,
                           tree.Organisations().size(),
                           tree.Models().size());
  return kExitSuccess;
}

result<int>
ShowEffective(control_context& aContext)
{
  BOOST_LEAF_ASSIGN(settings_tree const tree, LoadTree(aContext.mArguments[0]));
  BOOST_LEAF_ASSIGN(tree_path const path,
                    ParseTreePath(aContext.mArguments[1]));
  const policy resolved = tree.Resolve(path);
  json document = json::object();
  for (const policy_value& value : PolicyValues()) {
    document[std::string(value.mName)] = {
      { "value", resolved.*(value.mMember) },
      { "unit", value.mRange.mUnit },
      { "from", tree.OriginOf(path, value.mName) }
    };
  }
  if (aContext.mJson) {
    std::cout << document.dump(2) << "\n";
    return kExitSuccess;
  }
  for (const auto& [name, row] : document.items()) {
    std::cout << fmt::format("{:<24}{:>14g}  {:<20} from {}\n",
                             name,
                             row["value"].get<double>(),
                             row["unit"].get<std::string>(),
                             row["from"].get<std::string>());
  }
  return kExitSuccess;
}

result<int>
DiffTrees(control_context& aContext)
{
  BOOST_LEAF_ASSIGN(json const before, LoadDocument(aContext.mArguments[0]));
  BOOST_LEAF_ASSIGN(json const after, LoadDocument(aContext.mArguments[1]));
  const json difference = json::diff(before, after);
  if (aContext.mJson) {
    std::cout << difference.dump(2) << "\n";
    return kExitSuccess;
  }
  for (const json& change : difference) {
    std::cout << fmt::format("{:<8}{} {}\n",
                             change["op"].get<std::string>(),
                             change["path"].get<std::string>(),
                             change.contains("value")
                               ? DescribeValue(change["value"])
                               : std::string());
  }
  return kExitSuccess;
}

result<int>
MakeKey(control_context& aContext)
{
  std::random_device device;
  std::string key;
  constexpr int kWords = 8;
  for (int i = 0; i < kWords; ++i) {
    key += fmt::format("{:08x}", device());
  }
  if (aContext.mJson) {
    std::cout << json{ { "key", key }, { "sha256", KeyHash(key) } }.dump()
              << "\n";
    return kExitSuccess;
  }
  std::cout << fmt::format("key (for the caller)     {}\n"
                           "sha256 (for the settings) {}\n",
                           key,
                           KeyHash(key));
  return kExitSuccess;
}

} // namespace primrose::control
