#include "LibSettings/NodeSettings.h"

#include <filesystem>

namespace primrose {

namespace {

std::string
ResolveRelativePath(const std::string& aFile, const std::string& aPath)
{
  if (aPath.empty()) {
    return aPath;
  }
  return (std::filesystem::path(aFile).parent_path() / aPath).string();
}

void
ReadAgentSettings(object_reader& aReader, node_settings& aSettings)
{
  aSettings.mRpc = aReader.RequiredAddress("rpc");
  aSettings.mEndpoint = aReader.RequiredAddress("endpoint");
  aSettings.mServes = aReader.RequiredText("serves");
  const std::string kind = aReader.RequiredText("endpoint_kind");
  aSettings.mIsEngine = kind == "engine";
  if (!kind.empty() && kind != "engine" && kind != "service") {
    aReader.Report("endpoint_kind",
                   "expected \"engine\" or \"service\", found \"" + kind +
                     "\"");
  }
}

} // namespace

result<node_settings>
LoadNodeSettings(const std::string& aFile, node_role aRole)
{
  BOOST_LEAF_ASSIGN(std::string const text, ReadFile(aFile));
  BOOST_LEAF_ASSIGN(json const document, ParseSettings(text, aFile));
  settings_problems problems;
  object_reader reader(&document, "", problems);
  node_settings settings;
  settings.mName = reader.RequiredText("name");
  settings.mHttp = reader.RequiredAddress("http");
  settings.mTree = ResolveRelativePath(aFile, reader.RequiredText("tree"));
  settings.mAddressFile =
    ResolveRelativePath(aFile, reader.Text("address_file").value_or(""));
  if (aRole != node_role::StandIn) {
    settings.mRegion = reader.RequiredText("region");
    settings.mDataCentre = reader.RequiredText("data_centre");
    settings.mPlatform = reader.RequiredAddress("platform");
    settings.mRpcKey = reader.RequiredText("rpc_key");
    settings.mOperatorKeyHash = reader.RequiredText("operator_key_sha256");
  }
  if (aRole == node_role::Agent) {
    ReadAgentSettings(reader, settings);
  }
  if (aRole == node_role::StandIn) {
    settings.mServes = reader.Text("serves").value_or("");
  }
  reader.Finish();
  BOOST_LEAF_CHECK(RequireNoProblems(problems, aFile));
  return settings;
}

} // namespace primrose
