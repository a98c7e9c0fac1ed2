#pragma once

/// The settings of one process, such as its name and addresses. They are fixed
/// while it runs; what operators change is in the settings tree.

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
  std::string mHttp;     ///< Address of the HTTP listener; port 0 lets the
                         ///< system choose one.
  std::string mRpc;      ///< Agent: address of the RPC listener.
  std::string mPlatform; ///< Address of the platform's service.
  std::string mTree;     ///< Path of the settings tree's file.
  std::string mRpcKey;   ///< Key with which processes authenticate RPC.
  std::string mOperatorKeyHash; ///< SHA-256 of the operators' key.
  std::string mEndpoint;        ///< Agent: address of its endpoint.
  std::string mServes;      ///< Agent: the model or plain service it serves.
  std::string mAddressFile; ///< File to which the bound addresses are written.
  bool mIsEngine = true; ///< Agent: serves a model engine, not a plain service.

  bool operator==(const node_settings&) const = default;
};

/// Reads and checks a settings file. The paths of the tree and of the address
/// file are resolved relative to the folder of `aFile`.
result<node_settings>
LoadNodeSettings(const std::string& aFile, node_role aRole);

} // namespace primrose
