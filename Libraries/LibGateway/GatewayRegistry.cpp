#include "LibGateway/GatewayRegistry.h"

#include "LibGateway/GatewayMetrics.h"
#include "LibGateway/TableFollower.h"

namespace primrose {

namespace {

constexpr unsigned kGood = 200;
/// A call takes the store 4 ms, and up to 250 when it is slow.
constexpr duration kTimeout = std::chrono::milliseconds(900);
/// Between two tries: 350 entries together make 500 of the store's 2,000 calls
/// a second while it turns all of them away.
constexpr duration kPause = std::chrono::milliseconds(700);

} // namespace

gateway_registry::gateway_registry(event_loop& aLoop,
                                   const gateway_settings& aSettings,
                                   const gateway_adapter& aAdapter,
                                   gateway_state& aBoard,
                                   learnt aLearnt)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mAdapter(aAdapter)
  , mBoard(aBoard)
  , mOnLoaded(std::move(aLearnt))
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
                 if (aAnswer.mStatus == kGood) {
                   Learn("");
                   return;
                 }
                 (void)mLoop.After(kPause, [this]() { Register(); });
               });
}

void
gateway_registry::Learn(const std::string& aFromKey)
{
  mCaller.Call(
    mAdapter.mReadTable(mAdapter.mGatewayTable, aFromKey),
    kTimeout,
    [this, aFromKey](const http_answer& aAnswer) {
      const table_read_result reading = mAdapter.mDecodeTable(aAnswer);
      CountStoreCall(mBoard.mMetrics, reading.mOutcome);
      if (reading.mOutcome != table_read_result::outcome::Good) {
        (void)mLoop.After(kPause, [this, aFromKey]() { Learn(aFromKey); });
        return;
      }
      for (const row_change<std::string>& row : reading.mRows) {
        mHosts.push_back(row.mKey);
      }
      if (HasMoreRows(reading)) {
        Learn(NextPageKey(reading));
        return;
      }
      mBoard.mListedGatewayCount = mHosts.size();
      mBoard.mGatewaysLoaded = true;
      mOnLoaded(mHosts);
    });
}

} // namespace primrose
