#pragma once

/// The settings of one process: who and where it is. They do not change while
/// it runs; what operators change is in the tree.

#include "LibSettings/ObjectReader.h"

#include <string>

namespace primrose {

enum class node_role
{
  Entry,
  Agent,
  StandIn,
};

struct node_settings
{
  std::string mName;
  std::string mRegion;
  std::string mDataCentre;
  std::string mHttp;     ///< Address of the HTTP listener, port 0 for any.
  std::string mRpc;      ///< Agent: address of the RPC listener.
  std::string mPlatform; ///< Address of the platform's service.
  std::string mTree;     ///< File with the tree of settings.
  std::string mRpcKey;   ///< What our processes prove themselves with.
  std::string mOperatorKeyHash; ///< SHA-256 of the operators' key.
  std::string mEndpoint;        ///< Agent: address of its endpoint.
  std::string mServes;      ///< Agent: the model or plain service it serves.
  std::string mAddressFile; ///< Where the bound addresses are written.
  bool mIsEngine = true;    ///< Agent: a model engine, not a plain service.

  bool operator==(const node_settings&) const = default;
};

/// Reads and checks a file; the tree's path is relative to the file's folder.
result<node_settings>
LoadNodeSettings(const std::string& aFile, node_role aRole);

} // namespace primrose
