#include "LibGossip/GatewayRegistry.h"

#include "LibGossip/GatewayMetrics.h"
#include "LibGossip/TableFollower.h"

namespace primrose {

namespace {

constexpr unsigned kStatusOk = 200;
/// A store call takes 4 ms, and up to 250 ms if the store is slow.
constexpr duration kTimeout = std::chrono::milliseconds(900);
/// Delay before a retry. With it, 350 gateways make 500 of the store's 2,000
/// calls a second while the store refuses all of them.
constexpr duration kRetryDelay = std::chrono::milliseconds(700);

} // namespace

gateway_registry::gateway_registry(event_loop& aLoop,
                                   const gateway_settings& aSettings,
                                   const store_adapter& aAdapter,
                                   gateway_state& aBoard,
                                   loaded_callback aOnLoaded)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mOnLoaded(std::move(aOnLoaded))
  , mCaller(aLoop, aSettings.mStore)
{
}

void
gateway_registry::Register()
{
  mCaller.Call(mAdapter.mWriteRow(mAdapter.mGatewayTable,
                                  mSettings.mPeers.mHost,
                                  mSettings.mName),
               kTimeout,
               [this](const http_answer& aAnswer) {
                 if (aAnswer.mStatus == kStatusOk) {
                   LoadRows("");
                   return;
                 }
                 (void)mLoop.After(kRetryDelay, [this]() { Register(); });
               });
}

void
gateway_registry::LoadRows(const std::string& aFromKey)
{
  mCaller.Call(mAdapter.mReadTable(mAdapter.mGatewayTable, aFromKey),
               kTimeout,
               [this, aFromKey](const http_answer& aAnswer) {
                 const table_read_result reading =
                   mAdapter.mDecodeTable(aAnswer);
                 CountStoreCall(mBoard.mMetrics, reading.mOutcome);
                 if (reading.mOutcome != table_read_result::outcome::Good) {
                   (void)mLoop.After(
                     kRetryDelay, [this, aFromKey]() { LoadRows(aFromKey); });
                   return;
                 }
                 for (const row_change<std::string>& row : reading.mRows) {
                   mHosts.push_back(row.mKey);
                 }
                 if (HasMoreRows(reading)) {
                   LoadRows(NextPageKey(reading));
                   return;
                 }
                 mBoard.mListedGatewayCount = mHosts.size();
                 mBoard.mGatewaysLoaded = true;
                 mOnLoaded(mHosts);
               });
}

} // namespace primrose
