#pragma once

/// The settings tree with the levels fleet, organisation, service and workload.
/// A node contains only the values it overrides and inherits all others from
/// its parent.

#include "LibSettings/Policy.h"

#include <map>
#include <string>
#include <vector>

namespace primrose {

/// Assumptions about the engines of one model. Engines publish their memory and
/// load. Their prefill speed is only an initial estimate, which the agent
/// corrects by measurement.
struct model_settings
{
  std::string mName;
  double mEngineTokens = 400000; ///< KV memory of one engine.
  double mPrefillTokensPerSecond = 40000;
  double mBaseStepSeconds = 0.012; ///< Duration of a step with an empty batch.
  double mSecondsPerSequence =
    0.00015;                  ///< Step time added by each running sequence.
  double mLargestBatch = 128; ///< Maximum number of sequences running at once.
  double mChunkTokens = 1024; ///< Prompt tokens prefilled in one step.

  bool operator==(const model_settings&) const = default;
};

/// A plain service (not a model) that calls are routed to.
struct service_settings
{
  std::string mName;
  /// Path prefixes of the calls that must not run twice.
  std::vector<std::string> mGuardedPaths;

  bool operator==(const service_settings&) const = default;
};

/// The path of a node in the tree. An empty name ends the path at the level
/// above.
struct tree_path
{
  std::string mOrganisation;
  std::string mService;
  std::string mWorkload;

  bool operator==(const tree_path&) const = default;
  bool operator<(const tree_path& aOther) const;
  /// The path as text: `fleet`, `padani`, `padani/rapporti-llm`,
  /// `padani/rapporti-llm/review`.
  std::string Text() const;
};

class settings_tree
{
public:
  /// Reads and checks the whole document. All problems are appended to
  /// `aProblems`.
  static settings_tree Read(const json& aDocument,
                            settings_problems& aProblems);

  /// The effective values at a node. A path with unknown names inherits from
  /// its nearest known ancestor.
  policy Resolve(const tree_path& aPath) const;
  /// The path of the node that sets the effective value of a setting, or
  /// `default`.
  std::string OriginOf(const tree_path& aPath, std::string_view aName) const;

  const model_settings* Model(const std::string& aName) const;
  const service_settings* Service(const std::string& aName) const;
  const std::map<std::string, model_settings>& Models() const
  {
    return mModels;
  }
  bool HasOrganisation(const std::string& aName) const;
  std::vector<std::string> Organisations() const;
  /// The organisation of the key with this SHA-256 (in hex), or empty.
  std::string OrganisationOfKey(const std::string& aKeyHash) const;

  std::uint64_t Revision() const { return mRevision; }
  std::uint64_t DocumentHash() const { return mHash; }
  bool operator==(const settings_tree&) const = default;

private:
  using overrides = std::map<std::string_view, double>;

  /// The node's path and those of its ancestors, from the fleet down.
  std::vector<tree_path> Ancestry(const tree_path& aPath) const;
  void ReadValues(object_reader& aReader, const tree_path& aPath);
  void ReadOrganisation(const json& aNode,
                        const std::string& aName,
                        settings_problems& aProblems);
  void ReadService(const json& aNode,
                   const tree_path& aPath,
                   const std::string& aNodePath,
                   settings_problems& aProblems);
  void ReadModels(object_reader& aFleet, settings_problems& aProblems);
  void ReadServices(object_reader& aFleet, settings_problems& aProblems);
  void ReadKeys(object_reader& aReader, const std::string& aOrganisation);
  void CheckServiceNames(settings_problems& aProblems) const;

  std::map<tree_path, overrides> mNodes;
  std::map<std::string, model_settings> mModels;
  std::map<std::string, service_settings> mServices;
  std::map<std::string, std::string> mKeys; ///< Key hash to organisation.
  std::uint64_t mRevision = 0;
  std::uint64_t mHash = 0;
};

/// Reads, parses and checks a tree file.
result<settings_tree>
LoadTree(const std::string& aFile);

/// The SHA-256 of a caller's key, in hex. Settings contain only these hashes,
/// never the keys.
std::string
KeyHash(const std::string& aKey);

} // namespace primrose
