#include "LibSettings/Tree.h"

#include <glib.h>
#include <spdlog/fmt/fmt.h>
#include <tuple>

namespace primrose {

namespace {

constexpr std::size_t kHashDigits = 64;
constexpr double kMaxRevision = 9e15;

struct model_number
{
  const char* mName;
  double model_settings::*mMember;
  number_range mRange;
};

constexpr model_number kModelNumbers[] = {
  { "engine_tokens", &model_settings::mEngineTokens, { 1000, 1e9, "tokens" } },
  { "prefill_tokens_per_s",
    &model_settings::mPrefillTokensPerSecond,
    { 1, 1e9, "tokens/s" } },
  { "base_step_s", &model_settings::mBaseStepSeconds, { 1e-6, 10, "seconds" } },
  { "seconds_per_sequence",
    &model_settings::mSecondsPerSequence,
    { 0, 1, "seconds" } },
  { "largest_batch",
    &model_settings::mLargestBatch,
    { 1, 100000, "sequences" } },
  { "chunk_tokens", &model_settings::mChunkTokens, { 1, 1e6, "tokens" } },
};

bool
IsKeyHash(const std::string& aText)
{
  return aText.size() == kHashDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

bool
tree_path::operator<(const tree_path& aOther) const
{
  return std::tie(mOrganisation, mService, mWorkload) <
         std::tie(aOther.mOrganisation, aOther.mService, aOther.mWorkload);
}

std::string
tree_path::Text() const
{
  if (mOrganisation.empty()) {
    return "fleet";
  }
  std::string text = mOrganisation;
  if (!mService.empty()) {
    text += "/" + mService;
  }
  if (!mWorkload.empty()) {
    text += "/" + mWorkload;
  }
  return text;
}

settings_tree
settings_tree::Read(const json& aDocument, settings_problems& aProblems)
{
  settings_tree tree;
  tree.mHash = Hash(aDocument.dump());
  object_reader reader(&aDocument, "", aProblems);
  tree.mRevision = static_cast<std::uint64_t>(
    reader.Number("revision", { 0, kMaxRevision, "revision" }).value_or(0));
  tree.ReadValues(reader, {});
  tree.ReadModels(reader, aProblems);
  tree.ReadServices(reader, aProblems);
  const json* const organisations = reader.Object("organisations");
  reader.Finish();
  if (organisations != nullptr) {
    for (const auto& [name, node] : organisations->items()) {
      tree.ReadOrganisation(node, name, aProblems);
    }
  }
  tree.CheckServiceNames(aProblems);
  return tree;
}

void
settings_tree::ReadValues(object_reader& aReader, const tree_path& aPath)
{
  overrides found;
  const json* const values = aReader.Object("values");
  if (values != nullptr) {
    settings_problems problems;
    object_reader reader(values, aReader.PathOf("values"), problems);
    for (const policy_value& value : PolicyValues()) {
      const std::optional<double> number =
        reader.Number(std::string(value.mName), value.mRange);
      if (number) {
        found.emplace(value.mName, *number);
      }
    }
    reader.Finish();
    for (settings_problem& problem : problems) {
      aReader.AddProblem(std::move(problem));
    }
  }
  mNodes.insert_or_assign(aPath, std::move(found));
}

void
settings_tree::ReadModels(object_reader& aFleet, settings_problems& aProblems)
{
  const json* const models = aFleet.Object("models");
  if (models == nullptr) {
    return;
  }
  for (const auto& [name, node] : models->items()) {
    const std::string path = aFleet.PathOf("models/" + name);
    if (!node.is_object()) {
      aProblems.push_back(
        { path, "expected an object, found " + DescribeValue(node) });
      continue;
    }
    object_reader reader(&node, path, aProblems);
    model_settings model;
    model.mName = name;
    for (const model_number& number : kModelNumbers) {
      model.*number.mMember = reader.Number(number.mName, number.mRange)
                                .value_or(model.*number.mMember);
    }
    reader.Finish();
    mModels.insert_or_assign(name, std::move(model));
  }
}

void
settings_tree::ReadServices(object_reader& aFleet, settings_problems& aProblems)
{
  const json* const services = aFleet.Object("services");
  if (services == nullptr) {
    return;
  }
  for (const auto& [name, node] : services->items()) {
    const std::string path = aFleet.PathOf("services/" + name);
    if (!node.is_object()) {
      aProblems.push_back(
        { path, "expected an object, found " + DescribeValue(node) });
      continue;
    }
    object_reader reader(&node, path, aProblems);
    service_settings service{ name, reader.Texts("guarded_paths") };
    reader.Finish();
    mServices.insert_or_assign(name, std::move(service));
  }
}

void
settings_tree::ReadKeys(object_reader& aReader,
                        const std::string& aOrganisation)
{
  for (const std::string& hash : aReader.Texts("key_sha256")) {
    if (!IsKeyHash(hash)) {
      // The message omits the value: it may be a key that was entered instead
      // of its hash.
      aReader.Report("key_sha256", "expected 64 lower-case hex digits");
      continue;
    }
    const auto [key, added] = mKeys.emplace(hash, aOrganisation);
    if (!added && key->second != aOrganisation) {
      aReader.Report(
        "key_sha256",
        fmt::format("the key belongs to \"{}\" already", key->second));
    }
  }
}

void
settings_tree::ReadOrganisation(const json& aNode,
                                const std::string& aName,
                                settings_problems& aProblems)
{
  const std::string path = "/organisations/" + aName;
  if (!aNode.is_object()) {
    aProblems.push_back(
      { path, "expected an object, found " + DescribeValue(aNode) });
    return;
  }
  object_reader reader(&aNode, path, aProblems);
  ReadValues(reader, { aName, "", "" });
  ReadKeys(reader, aName);
  const json* const services = reader.Object("services");
  reader.Finish();
  if (services == nullptr) {
    return;
  }
  for (const auto& [service, node] : services->items()) {
    ReadService(node,
                { aName, service, "" },
                fmt::format("{}/services/{}", path, service),
                aProblems);
  }
}

void
settings_tree::ReadService(const json& aNode,
                           const tree_path& aPath,
                           const std::string& aNodePath,
                           settings_problems& aProblems)
{
  if (!aNode.is_object()) {
    aProblems.push_back(
      { aNodePath, "expected an object, found " + DescribeValue(aNode) });
    return;
  }
  object_reader reader(&aNode, aNodePath, aProblems);
  ReadValues(reader, aPath);
  const json* const workloads = reader.Object("workloads");
  reader.Finish();
  if (workloads == nullptr) {
    return;
  }
  for (const auto& [name, node] : workloads->items()) {
    const std::string workloadPath =
      fmt::format("{}/workloads/{}", aNodePath, name);
    if (!node.is_object()) {
      aProblems.push_back(
        { workloadPath, "expected an object, found " + DescribeValue(node) });
      continue;
    }
    object_reader workload(&node, workloadPath, aProblems);
    ReadValues(workload, { aPath.mOrganisation, aPath.mService, name });
    workload.Finish();
  }
}

void
settings_tree::CheckServiceNames(settings_problems& aProblems) const
{
  std::vector<std::string> known;
  for (const auto& [name, model] : mModels) {
    known.push_back(name);
  }
  for (const auto& [name, service] : mServices) {
    known.push_back(name);
  }
  for (const auto& [path, values] : mNodes) {
    const bool isKnown = path.mService.empty() ||
                         mModels.contains(path.mService) ||
                         mServices.contains(path.mService);
    if (isKnown || !path.mWorkload.empty()) {
      continue;
    }
    const std::optional<std::string> similarName =
      NearestWord(path.mService, known);
    aProblems.push_back(
      { fmt::format(
          "/organisations/{}/services/{}", path.mOrganisation, path.mService),
        fmt::format("expected a model or service of the fleet, found \"{}\"{}",
                    path.mService,
                    similarName
                      ? fmt::format("; did you mean \"{}\"?", *similarName)
                      : "") });
  }
}

std::vector<tree_path>
settings_tree::Ancestry(const tree_path& aPath) const
{
  std::vector<tree_path> paths = { {} };
  if (!aPath.mOrganisation.empty()) {
    paths.push_back({ aPath.mOrganisation, "", "" });
  }
  if (!aPath.mService.empty()) {
    paths.push_back({ aPath.mOrganisation, aPath.mService, "" });
  }
  if (!aPath.mWorkload.empty()) {
    paths.push_back(aPath);
  }
  return paths;
}

policy
settings_tree::Resolve(const tree_path& aPath) const
{
  policy resolved;
  for (const tree_path& ancestor : Ancestry(aPath)) {
    const auto node = mNodes.find(ancestor);
    if (node == mNodes.end()) {
      continue;
    }
    for (const auto& [name, number] : node->second) {
      resolved.*(FindPolicyValue(name)->mMember) = number;
    }
  }
  return resolved;
}

std::string
settings_tree::OriginOf(const tree_path& aPath, std::string_view aName) const
{
  std::string origin = "default";
  for (const tree_path& ancestor : Ancestry(aPath)) {
    const auto node = mNodes.find(ancestor);
    if (node != mNodes.end() && node->second.contains(aName)) {
      origin = ancestor.Text();
    }
  }
  return origin;
}

const model_settings*
settings_tree::Model(const std::string& aName) const
{
  const auto model = mModels.find(aName);
  return model == mModels.end() ? nullptr : &model->second;
}

const service_settings*
settings_tree::Service(const std::string& aName) const
{
  const auto service = mServices.find(aName);
  return service == mServices.end() ? nullptr : &service->second;
}

bool
settings_tree::HasOrganisation(const std::string& aName) const
{
  return !aName.empty() && mNodes.contains({ aName, "", "" });
}

std::vector<std::string>
settings_tree::Organisations() const
{
  std::vector<std::string> names;
  for (const auto& [path, values] : mNodes) {
    if (!path.mOrganisation.empty() && path.mService.empty()) {
      names.push_back(path.mOrganisation);
    }
  }
  return names;
}

std::string
settings_tree::OrganisationOfKey(const std::string& aKeyHash) const
{
  const auto key = mKeys.find(aKeyHash);
  return key == mKeys.end() ? std::string() : key->second;
}

result<settings_tree>
LoadTree(const std::string& aFile)
{
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, aFile));
  settings_problems problems;
  settings_tree tree = settings_tree::Read(document, problems);
  BOOST_LEAF_CHECK(RequireNoProblems(problems, aFile));
  return tree;
}

std::string
KeyHash(const std::string& aKey)
{
  gchar* const digest = g_compute_checksum_for_string(
    G_CHECKSUM_SHA256, aKey.data(), static_cast<gssize>(aKey.size()));
  std::string text = digest;
  g_free(digest);
  return text;
}

} // namespace primrose
