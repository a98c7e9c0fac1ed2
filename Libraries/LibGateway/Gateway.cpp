#include "LibGateway/Gateway.h"

#include "LibGossip/LibGossip.h"
#include "LibNet/LibNet.h"

#include <algorithm>

namespace primrose {

namespace {

/// Interval of periodic work: closing expired connections, removing expired
/// placements, and checking whether a drain is complete.
constexpr duration kTickInterval = std::chrono::milliseconds(100);
/// Interval of the status log line. A line has a few hundred bytes and has to
/// be recent enough to diagnose a fleet while it is slow.
constexpr duration kStatusLogInterval = std::chrono::seconds(30);
/// Shortest time between two lines about connections that were closed unread.
constexpr duration kClosedLogInterval = std::chrono::seconds(1);

/// A gateway that starts reads the tables of the platform's store. If the store
/// has not answered after this time, it asks the peers as well, so that a
/// restart during a store outage still serves.
constexpr duration kPeerFallbackDelay = std::chrono::milliseconds(250);

/// Changes of a table within this time after an answer are batched into the
/// next one. Manifests must be in force within two seconds of their acceptance,
/// so the batching time of the operators' table is short. Endpoints announce
/// that they leave at least two seconds ahead. While hundreds of endpoints
/// start, each change without batching would cause one answer to every gateway
/// (18 of the 46 calls that each of 103 gateways made in a run of 34 s with 172
/// engines).
constexpr duration kOperatorBatchTime = std::chrono::milliseconds(200);
constexpr duration kEndpointBatchTime = std::chrono::milliseconds(800);

/// Peers to ask one after another while none answers. After that, the next
/// datagram that reports newer state starts over.
constexpr unsigned kMaxPeerFetches = 3;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

/// Services whose ranks are logged when a manifest is applied.
constexpr std::size_t kMaxLoggedServices = 8;

void
LogPriorityFaults(const manifest& aManifest)
{
  for (const priority_fault& one : PriorityFaults(aManifest)) {
    Log(log_level::Warning,
        "priority_not_applied",
        { { "version", aManifest.mVersion },
          { "owner", one.mOwner },
          { "why", one.mReason } });
  }
}

/// Logs the services in which ranks take effect, and their ranks.
void
LogRanks(const manifest_index& aManifest)
{
  std::size_t logged = 0;
  for (const service& one : aManifest.Manifest().mServices) {
    const std::vector<unsigned>& ranks = aManifest.RanksOf(one.mName);
    if (ranks.empty() || logged == kMaxLoggedServices) {
      continue;
    }
    ++logged;
    std::string list;
    for (const unsigned rank : ranks) {
      list += (list.empty() ? "" : ",") + std::to_string(rank);
    }
    Log(log_level::Info,
        "ranks_in_force",
        { { "version", aManifest.Manifest().mVersion },
          { "service", one.mName },
          { "ranks", list } });
  }
}

std::string_view
ListingName(membership_change aListing)
{
  switch (aListing) {
    case membership_change::Unchanged:
      return "unchanged";
    case membership_change::Joined:
      return "joined";
    case membership_change::Leaving:
      return "leaving";
    case membership_change::Left:
      return "left";
    case membership_change::Restarted:
      return "restarted";
    case membership_change::Changed:
      return "changed";
  }
  return "";
}

} // namespace

gateway::gateway(event_loop& aLoop,
                 const gateway_settings& aSettings,
                 const gateway_adapter& aAdapter)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mAdapter(aAdapter)
  , mConnections(aLoop, mBoard)
  , mGossipSender(aLoop, mSettings, mBoard)
  , mCrashDetector(aLoop,
                   mSettings,
                   mAdapter,
                   mBoard,
                   mConnections,
                   mGossipSender)
  , mPeerGossip(
      aLoop,
      mSettings,
      mBoard,
      mGossipSender,
      mCrashDetector,
      [this](belief aTable, duration aWaitTime) {
        OnPeerAhead(aTable, aWaitTime);
      },
      [this](const std::string& aHost) { OnDatagramFromPeerAhead(aHost); })
  , mSnapshotExchange(aLoop, mSettings)
  , mStartupGate(aLoop)
  , mAnswerLimiter(std::make_shared<answer_limiter>(aLoop, mBoard))
  , mContext{ mLoop,          mSettings,    mAdapter,
              mBoard,         mConnections, mGossipSender,
              mCrashDetector, mStartupGate, mAnswerLimiter }
{
  mBoard.mGatewayIncarnation = FreshSeed();
  mBoard.mAnswerMemory.mLimit = mSettings.mAnswerMemoryBytes;
  SetOrganisationWeights(mBoard.mUsage, mSettings.mOrganisationShares);
  mBoard.mRandom.seed(mBoard.mGatewayIncarnation);
}

gateway::~gateway()
{
  mLoop.Cancel(mTimer);
}

result<void>
gateway::Start()
{
  mOperatorFollower = std::make_unique<table_follower>(
    mLoop,
    mAdapter,
    mBoard,
    mSettings,
    belief::Operator,
    mAdapter.mOperatorTable,
    kOperatorBatchTime,
    table_follower::listener{ [this](const table_read_result& aResult) {
                               OnOperatorRows(aResult, true);
                             },
                              [this](const table_read_result& aResult) {
                                OnOperatorRows(aResult, false);
                                mGossipSender.SpreadVersions();
                              },
                              [this]() { mGossipSender.SpreadVersions(); },
                              [this]() { mStartupGate.Open(); } });
  mEndpointFollower = std::make_unique<table_follower>(
    mLoop,
    mAdapter,
    mBoard,
    mSettings,
    belief::Endpoints,
    mAdapter.mEndpointTable,
    kEndpointBatchTime,
    table_follower::listener{ [this](const table_read_result& aResult) {
                               OnEndpointRows(aResult, true);
                             },
                              [this](const table_read_result& aResult) {
                                OnEndpointRows(aResult, false);
                                mGossipSender.SpreadVersions();
                              },
                              [this]() { mGossipSender.SpreadVersions(); },
                              [this]() { mStartupGate.Open(); } });
  mBoard.mStarted = mLoop.Now();
  mLoadUpdatedAt = mBoard.mStarted;
  mTickDue = mBoard.mStarted;
  mBoard.mRotation.mSince = mBoard.mStarted;
  mBusyAtUpdate = mLoop.BusyTime();
  mStartupGate.Close();
  mStatusLoggedAt = mBoard.mStarted;
  mOperatorFollower->Start();
  mEndpointFollower->Start();
  mCrashDetector.Start();
  BOOST_LEAF_CHECK(mPeerGossip.Open());
  BOOST_LEAF_CHECK(mSnapshotExchange.Open(
    [this](const held_revisions& aHeld) { return CollectRowsForPeers(aHeld); },
    [this]() {
      return held_revisions{ CurrentOperatorRevision(mBoard),
                             CurrentListRevision(mBoard) };
    }));
  mGatewayRegistry = std::make_unique<gateway_registry>(
    mLoop,
    mSettings,
    mAdapter,
    mBoard,
    [this](const std::vector<std::string>& aHosts) {
      mPeerGossip.AddHosts(aHosts);
    });
  mGatewayRegistry->Register();
  BOOST_LEAF_ASSIGN(
    mCallers,
    tcp_listener::Open(mLoop, mSettings.mCallers, [this](int aSocket) {
      OnCallerConnection(aSocket);
    }));
  BOOST_LEAF_ASSIGN(
    mReadiness,
    tcp_listener::Open(mLoop, mSettings.mReadiness, [this](int aSocket) {
      ServeProbe(aSocket, false);
    }));
  BOOST_LEAF_ASSIGN(
    mMetrics,
    tcp_listener::Open(mLoop, mSettings.mMetrics, [this](int aSocket) {
      ServeProbe(aSocket, true);
    }));
  Tick();
  return {};
}

void
gateway::OnCallerConnection(int aSocket)
{
  ++mBoard.mConnectionLoad.mNewSinceUpdate;
  const connection_verdict verdict =
    ConnectionVerdict(mBoard.mConnectionLoad,
                      mCallerConnections.size(),
                      mSettings.mMaxCallerConnections,
                      PeersConnectionsPerSecond(mBoard));
  if (verdict != connection_verdict::Accept) {
    CloseUnread(aSocket);
    mBoard.mMetrics.Count(
      Labelled("gateway_connections_closed_unread_total",
               "why",
               verdict == connection_verdict::TooMany ? "limit" : "surge"));
    ++mClosedUnread;
    return;
  }
  const std::shared_ptr<caller_connection> opened =
    std::make_shared<caller_connection>(
      mContext, aSocket, [this](caller_connection& aClosed) {
        const auto found = mCallerConnections.find(&aClosed);
        if (found != mCallerConnections.end()) {
          mLoop.DeleteLater(std::move(found->second));
          mCallerConnections.erase(found);
        }
      });
  mCallerConnections.emplace(opened.get(), opened);
}

void
gateway::UpdateConnectionLoad()
{
  const time_point now = mLoop.Now();
  const duration busy = mLoop.BusyTime();
  mBoard.mConnectionLoad = UpdatedLoad(
    mBoard.mConnectionLoad, now - mLoadUpdatedAt, busy - mBusyAtUpdate);
  mLoadUpdatedAt = now;
  mBusyAtUpdate = busy;
  if (mClosedUnread > 0 && now - mClosedUnreadLoggedAt >= kClosedLogInterval) {
    mClosedUnreadLoggedAt = now;
    Log(log_level::Warning,
        "connections_closed_unread",
        { { "closed", std::exchange(mClosedUnread, 0) },
          { "open", mCallerConnections.size() },
          { "busy_share", mBoard.mConnectionLoad.mBusyShare },
          { "per_second", mBoard.mConnectionLoad.mPerSecond },
          { "peers_per_second",
            PeersConnectionsPerSecond(mBoard).value_or(0) } });
  }
}

void
gateway::UpdateRotation()
{
  const time_point now = mLoop.Now();
  mBoard.mLateness =
    UpdatedLateness(mBoard.mLateness, now - mTickDue, kTickInterval);
  if (!mSettings.mOverload.mLate ||
      !MayChangeRotation(mBoard.mRotation, mBoard.mLateness)) {
    return;
  }
  const std::string& dataCentre = mSettings.mDataCentre;
  const rotation_inputs inputs{ mSettings.mPeers.mHost,
                                mBoard.mLateness,
                                PeersLateness(mBoard, dataCentre),
                                IsSurge(mBoard.mConnectionLoad,
                                        PeersConnectionsPerSecond(
                                          mBoard, dataCentre)) };
  const gateway_rotation next = NextRotation(mBoard.mRotation, inputs, now);
  if (next.mResting == mBoard.mRotation.mResting) {
    return;
  }
  Log(log_level::Warning,
      next.mResting ? "left_rotation" : "joined_rotation",
      { { "late_ms", Milliseconds(inputs.mLateness) },
        { "peers_late_ms", Milliseconds(MedianLateness(inputs.mPeers)) },
        { "peers", inputs.mPeers.size() },
        { "after_ms", Milliseconds(now - mBoard.mRotation.mSince) },
        { "core_share", mSettings.mCoreShare },
        { "open", mCallerConnections.size() } });
  if (next.mResting) {
    mBoard.mMetrics.Count("gateway_rests_total");
  }
  mBoard.mRotation = next;
}

std::uint16_t
gateway::CallersPort() const
{
  return mCallers == nullptr ? 0 : mCallers->Port();
}

std::uint16_t
gateway::ReadinessPort() const
{
  return mReadiness->Port();
}

std::uint16_t
gateway::MetricsPort() const
{
  return mMetrics->Port();
}

bool
gateway::Ready() const
{
  return !mBoard.mDraining && !mBoard.mRotation.mResting &&
         mBoard.mManifest != nullptr && mBoard.mEndpointsKnown;
}

void
gateway::ServeProbe(int aSocket, bool aMetrics)
{
  http_responder::Serve(mLoop, aSocket, [this, aMetrics](const http_head&) {
    if (aMetrics) {
      SetGauges(mBoard, mLoop.Now());
      return http_responder::answer{ kStatusOk, mBoard.mMetrics.Exposition() };
    }
    return Ready()
             ? http_responder::answer{ kStatusOk, "ready\n" }
             : http_responder::answer{ kStatusUnavailable, "not ready\n" };
  });
}

void
gateway::OnPeerAhead(belief aTable, duration aWaitTime)
{
  table_follower& follower =
    aTable == belief::Operator ? *mOperatorFollower : *mEndpointFollower;
  if (follower.Reached()) {
    follower.Refresh(aWaitTime);
  }
  // An answer of the store that keeps arriving may take many seconds.
  if (!follower.Reached() || follower.Resting() || follower.AwaitsAnswer()) {
    mPeerFetchesLeft = kMaxPeerFetches;
    FetchRowsFromPeer();
  }
}

void
gateway::OnOperatorRows(const table_read_result& aResult, bool aIsFullTable)
{
  ApplyNewestManifest(aResult.mRows);
  evacuation_orders orders = mBoard.mEvacuations;
  std::set<std::string> listed;
  for (const row_change<std::string>& row : aResult.mRows) {
    mBoard.mOperatorRowRevision =
      std::max(mBoard.mOperatorRowRevision, row.mRevision);
    if (row.mKey.starts_with(mAdapter.mEvacuationKeyPrefix)) {
      const std::string dataCentre =
        row.mKey.substr(mAdapter.mEvacuationKeyPrefix.size());
      orders =
        WithOrder(orders, dataCentre, row.mRevision, row.mValue.has_value());
      listed.insert(dataCentre);
    }
  }
  if (aIsFullTable) {
    orders = WithoutMissing(orders, listed, aResult.mRevision);
  }
  mBoard.mOperatorTableRevision =
    std::max(mBoard.mOperatorTableRevision, aResult.mRevision);
  ApplyEvacuationOrders(orders);
}

void
gateway::ApplyEvacuationOrders(const evacuation_orders& aOrders)
{
  const std::vector<std::string> before =
    EvacuatedDataCentres(mBoard.mEvacuations);
  const std::vector<std::string> now = EvacuatedDataCentres(aOrders);
  mBoard.mEvacuations = aOrders;
  if (before == now) {
    return;
  }
  for (const std::string& dataCentre : now) {
    if (std::find(before.begin(), before.end(), dataCentre) == before.end()) {
      Log(log_level::Warning,
          "data_centre_evacuated",
          { { "data_centre", dataCentre },
            { "known",
              static_cast<int>(mSettings.mRegions.contains(dataCentre)) },
            { "revision", aOrders.mOrders.at(dataCentre).mRevision } });
    }
  }
  for (const std::string& dataCentre : before) {
    if (!IsEvacuated(aOrders, dataCentre)) {
      Log(log_level::Warning,
          "evacuation_ended",
          { { "data_centre", dataCentre },
            { "revision", aOrders.mOrders.at(dataCentre).mRevision } });
    }
  }
  // Endpoints may have become cold while their data centre was evacuated, and
  // their rows may say so late.
  for (const std::string& id : ApplyEvacuations(mBoard.mEndpoints, aOrders)) {
    known_endpoint& known = mBoard.mEndpoints.mEndpoints.at(id);
    const service* const served =
      mBoard.mManifest == nullptr
        ? nullptr
        : mBoard.mManifest->FindService(known.mListed.mService);
    if (served != nullptr) {
      BeginWarmUp(
        mBoard, mSettings.mPeers.mHost, known, served->mColdTime, mLoop.Now());
    }
  }
}

void
gateway::ApplyNewestManifest(const std::vector<row_change<std::string>>& aRows)
{
  // Decoding a manifest takes a slow gateway tens of milliseconds, during which
  // its streams stall, so only the newest valid version is decoded.
  for (auto row = aRows.rbegin(); row != aRows.rend(); ++row) {
    if (row->mKey != mAdapter.mManifestKey || !row->mValue.has_value()) {
      continue;
    }
    if (ApplyManifestRow(*row)) {
      return;
    }
  }
}

bool
gateway::ApplyManifestRow(const row_change<std::string>& aRow)
{
  const outcome<manifest> decoded = Capture<manifest>(
    [this, &aRow]() { return mAdapter.mDecodeManifest(*aRow.mValue); });
  if (!decoded) {
    Log(
      log_level::Error,
      "manifest_malformed",
      { { "revision", aRow.mRevision }, { "why", decoded.mFailure.mMessage } });
    return false;
  }
  if (!IsNewer(mBoard.mManifest, *decoded.mValue)) {
    return true;
  }
  Log(log_level::Info,
      "manifest_in_force",
      { { "version", decoded.mValue->mVersion },
        { "before", CurrentManifestVersion(mBoard) },
        { "routes", decoded.mValue->mRoutes.size() },
        { "organisations", decoded.mValue->mOrganisations.size() } });
  mBoard.mMetrics.Set("gateway_manifest_version",
                      static_cast<double>(decoded.mValue->mVersion));
  if (mBoard.mManifest == nullptr) {
    mCrashDetector.OnStoreReached();
  }
  mManifestRow = aRow;
  mBoard.mManifest = std::make_shared<const manifest_index>(*decoded.mValue);
  LogPriorityFaults(mBoard.mManifest->Manifest());
  if (mSettings.mOverload.mRanks) {
    LogRanks(*mBoard.mManifest);
  }
  mBoard.mManifestAppliedAt = mLoop.Now();
  UpdateWarmUpShares(mBoard, mSettings.mPeers.mHost, mLoop.Now());
  OpenStartupGateIfReady();
  return true;
}

void
gateway::OnListingChange(const std::string& aId, membership_change aListing)
{
  if (aListing == membership_change::Unchanged ||
      aListing == membership_change::Changed) {
    return;
  }
  LogListingChange(aId, aListing);
  if (aListing != membership_change::Joined) {
    mConnections.CloseIdle(aId);
  }
  if (aListing != membership_change::Leaving) {
    ForgetSpeed(mBoard, aId, mLoop.Now());
  }
  if (aListing == membership_change::Restarted) {
    mCrashDetector.OnEndpointRestarted(aId);
  }
  if (aListing == membership_change::Leaving) {
    mCrashDetector.OnEndpointDraining(aId);
  }
  if (aListing == membership_change::Left) {
    mCrashDetector.OnEndpointUnlisted(aId);
  }
}

void
gateway::LogListingChange(const std::string& aId, membership_change aListing)
{
  // A gateway that starts logs the length of the list instead.
  if (!mBoard.mEndpointsKnown) {
    return;
  }
  Log(log_level::Info,
      "endpoint_listed",
      { { "endpoint", aId },
        { "change", ListingName(aListing) },
        { "revision", AppliedRevision(mBoard.mEndpoints, aId) },
        { "known", mBoard.mEndpoints.mEndpoints.size() } });
}

void
gateway::StoreEndpointRows(const std::vector<row_change<std::string>>& aRows)
{
  for (const row_change<std::string>& row : aRows) {
    const auto known = mBoard.mEndpoints.mEndpoints.find(row.mKey);
    if (known == mBoard.mEndpoints.mEndpoints.end()) {
      mEndpointRows.erase(row.mKey);
    } else if (known->second.mRevision == row.mRevision) {
      mEndpointRows[row.mKey] = row;
    }
  }
}

std::vector<row_change<endpoint>>
gateway::DecodeEndpointRows(const std::vector<row_change<std::string>>& aRows)
{
  std::vector<row_change<endpoint>> rows;
  for (const row_change<std::string>& row : aRows) {
    row_change<endpoint> change{ row.mKey, row.mRevision, std::nullopt };
    if (row.mValue.has_value()) {
      const outcome<endpoint> decoded = Capture<endpoint>([this, &row]() {
        return mAdapter.mDecodeEndpoint(row.mKey, *row.mValue);
      });
      if (decoded) {
        change.mValue = *decoded.mValue;
        const auto region = mSettings.mRegions.find(change.mValue->mDataCentre);
        change.mValue->mRegion =
          region == mSettings.mRegions.end() ? "" : region->second;
      } else {
        Log(log_level::Error,
            "endpoint_malformed",
            { { "endpoint", row.mKey }, { "why", decoded.mFailure.mMessage } });
      }
    }
    rows.push_back(std::move(change));
  }
  return rows;
}

void
gateway::OnEndpointRows(const table_read_result& aResult, bool aIsFullList)
{
  const std::vector<row_change<endpoint>> rows =
    DecodeEndpointRows(aResult.mRows);
  for (const row_change<endpoint>& row : rows) {
    const membership_change change = ApplyRow(mBoard.mEndpoints, row);
    OnListingChange(row.mKey, change);
    const auto known = mBoard.mEndpoints.mEndpoints.find(row.mKey);
    // The cold time counts from the first reading of a row.
    if (known != mBoard.mEndpoints.mEndpoints.end() &&
        change != membership_change::Unchanged) {
      BeginWarmUp(mBoard,
                  mSettings.mPeers.mHost,
                  known->second,
                  known->second.mListed.mColdTime,
                  mLoop.Now());
    }
  }
  (void)ApplyEvacuations(mBoard.mEndpoints, mBoard.mEvacuations);
  StoreEndpointRows(aResult.mRows);
  mBoard.mEndpointListRevision =
    std::max(mBoard.mEndpointListRevision, aResult.mRevision);
  if (aIsFullList) {
    for (const std::string& id :
         ApplySnapshot(mBoard.mEndpoints, rows, aResult.mRevision)) {
      OnListingChange(id, membership_change::Left);
      mEndpointRows.erase(id);
    }
    SetEndpointsKnown();
  }
  mBoard.mSubsetRingStale = true;
}

void
gateway::SetEndpointsKnown()
{
  if (!mBoard.mEndpointsKnown) {
    mBoard.mEndpointsKnown = true;
    Log(log_level::Info,
        "endpoint_list_known",
        { { "endpoints", mBoard.mEndpoints.mEndpoints.size() },
          { "after_ms", Milliseconds(mLoop.Now() - mBoard.mStarted) } });
  }
  OpenStartupGateIfReady();
}

void
gateway::OpenStartupGateIfReady()
{
  if (mBoard.mManifest != nullptr && mBoard.mEndpointsKnown) {
    mStartupGate.Open();
  }
}

table_snapshot
gateway::CollectRowsForPeers(const held_revisions& aHeld) const
{
  table_snapshot rows;
  if (mManifestRow.has_value() && mManifestRow->mRevision > aHeld.mOperators) {
    rows.mManifest = mManifestRow;
  }
  for (const auto& [dataCentre, order] : mBoard.mEvacuations.mOrders) {
    rows.mEvacuations.push_back(
      { dataCentre,
        order.mRevision,
        order.mInForce ? std::optional<std::string>("") : std::nullopt });
  }
  rows.mOperatorRevision = CurrentOperatorRevision(mBoard);
  rows.mListRevision = CurrentListRevision(mBoard);
  const std::optional<std::uint64_t>& removalsSince =
    mBoard.mEndpoints.mRemovalsSince;
  rows.mIsFullList =
    removalsSince.has_value() && aHeld.mEndpoints < *removalsSince;
  const std::uint64_t after = rows.mIsFullList ? 0 : aHeld.mEndpoints;
  for (const auto& [id, row] : mEndpointRows) {
    if (row.mRevision > after) {
      rows.mEndpoints.push_back(row);
    }
  }
  for (const auto& [id, revision] : mBoard.mEndpoints.mGone) {
    if (revision > after) {
      rows.mEndpoints.push_back({ id, revision, std::nullopt });
    }
  }
  return rows;
}

void
gateway::OnDatagramFromPeerAhead(const std::string& aHost)
{
  // A gateway that reads a table gets the change from the store.
  const bool rests =
    mOperatorFollower->Resting() || mEndpointFollower->Resting();
  if (rests && !mSnapshotExchange.Fetching()) {
    mPeerFetchesLeft = kMaxPeerFetches;
    FetchRowsFrom(aHost);
  }
}

void
gateway::FetchRowsFromPeer()
{
  const std::vector<std::string> ahead = PeersAhead(mBoard);
  if (!ahead.empty() && mPeerFetchesLeft > 0) {
    FetchRowsFrom(ahead[Below(mBoard.mRandom, ahead.size())]);
  }
}

void
gateway::FetchRowsFrom(const std::string& aHost)
{
  --mPeerFetchesLeft;
  mSnapshotExchange.Ask(
    aHost,
    { CurrentOperatorRevision(mBoard),
      mBoard.mEndpointsKnown ? CurrentListRevision(mBoard) : 0 },
    [this](const std::optional<table_snapshot>& aRows) {
      if (aRows.has_value()) {
        ApplyPeerRows(*aRows);
      } else {
        FetchRowsFromPeer();
      }
    });
}

void
gateway::ApplyPeerRows(const table_snapshot& aRows)
{
  table_read_result operatorRows;
  operatorRows.mRevision = aRows.mOperatorRevision;
  if (aRows.mManifest.has_value()) {
    operatorRows.mRows.push_back(*aRows.mManifest);
  }
  for (const row_change<std::string>& order : aRows.mEvacuations) {
    operatorRows.mRows.push_back({ mAdapter.mEvacuationKeyPrefix + order.mKey,
                                   order.mRevision,
                                   order.mValue });
  }
  OnOperatorRows(operatorRows, false);
  mOperatorFollower->OnCopiedFromPeer(aRows.mOperatorRevision);
  table_read_result endpointRows;
  endpointRows.mRows = aRows.mEndpoints;
  endpointRows.mRevision = aRows.mListRevision;
  if (!endpointRows.mRows.empty() || aRows.mIsFullList) {
    OnEndpointRows(endpointRows, aRows.mIsFullList);
    SetEndpointsKnown();
  }
  // Also without rows, or else this gateway would take itself for outdated and
  // fetch again.
  mBoard.mEndpointListRevision =
    std::max(mBoard.mEndpointListRevision, aRows.mListRevision);
  mEndpointFollower->OnCopiedFromPeer(aRows.mListRevision);
  mGossipSender.SpreadVersions();
}

void
gateway::Reload(const gateway_settings& aSettings)
{
  gateway_settings restart = aSettings;
  restart.mGrace = mSettings.mGrace;
  restart.mRepeats = mSettings.mRepeats;
  restart.mSeeds = mSettings.mSeeds;
  restart.mOrganisationShares = mSettings.mOrganisationShares;
  Log(log_level::Info,
      "reload",
      { { "changed", static_cast<int>(aSettings != mSettings) },
        { "needs_restart", static_cast<int>(restart != mSettings) } });
  mSettings.mGrace = aSettings.mGrace;
  mSettings.mRepeats = aSettings.mRepeats;
  mSettings.mSeeds = aSettings.mSeeds;
  mSettings.mOrganisationShares = aSettings.mOrganisationShares;
  SetOrganisationWeights(mBoard.mUsage, mSettings.mOrganisationShares);
  mPeerGossip.AddHosts(mSettings.mSeeds);
}

void
gateway::Tick()
{
  FlushLog();
  UpdateConnectionLoad();
  UpdateRotation();
  mConnections.CloseExpired();
  RemoveExpiredPlacements(mBoard.mLedger, mLoop.Now());
  mBoard.mUsage.mInFlight =
    static_cast<double>(mBoard.mLedger.mPlacements.size());
  UpdatePaces(mBoard, mLoop.Now());
  mCrashDetector.Tick();
  if (mBoard.mDraining) {
    CheckDrained();
  }
  // Update once for all changes since the last tick, because a starting gateway
  // discovers hundreds of peers within a second. Until then, new endpoints
  // count as preferred.
  const bool knowsPeers = KnowsPeers(mBoard, mLoop.Now());
  if (mBoard.mSubsetRingStale || knowsPeers != mKnewPeers) {
    mKnewPeers = knowsPeers;
    UpdateSubsetRing(mBoard, mSettings.mPeers.mHost);
    UpdateLimitShares(mBoard, mSettings.mPeers.mHost, mLoop.Now());
    UpdateWarmUpShares(mBoard, mSettings.mPeers.mHost, mLoop.Now());
    mCapacityManifest = nullptr;
  }
  if (mCapacityManifest != mBoard.mManifest) {
    mCapacityManifest = mBoard.mManifest;
    UpdateEngineCapacities(mBoard);
  }
  mOperatorFollower->Tick();
  mEndpointFollower->Tick();
  if (mLoop.Now() - mStatusLoggedAt >= kStatusLogInterval) {
    mStatusLoggedAt = mLoop.Now();
    LogFleetStatus(mBoard, mStatusLoggedAt);
    LogOrganisationUse(mBoard, mStatusLoggedAt);
  }
  if ((mBoard.mManifest == nullptr || !mBoard.mEndpointsKnown) &&
      mLoop.Now() - mBoard.mStarted > kPeerFallbackDelay) {
    mPeerFetchesLeft = 1;
    FetchRowsFromPeer();
  }
  mTickDue = mLoop.Now() + kTickInterval;
  mTimer = mLoop.After(kTickInterval, [this]() {
    mTimer = 0;
    Tick();
  });
}

void
gateway::Drain()
{
  if (mBoard.mDraining) {
    return;
  }
  mBoard.mDraining = true;
  mBoard.mDrainStarted = mLoop.Now();
  Log(log_level::Info,
      "draining",
      { { "open_requests", mBoard.mOpenRequests },
        { "grace_ms", Milliseconds(mSettings.mGrace) } });
}

void
gateway::CheckDrained()
{
  const duration drained = mLoop.Now() - mBoard.mDrainStarted;
  const bool overdue = drained >= mSettings.mGrace - kShutdownReserve;
  if (drained >= kBalancerRemovalTime && !mIdleConnectionsClosed) {
    mIdleConnectionsClosed = true;
    std::vector<std::shared_ptr<caller_connection>> open;
    for (const auto& [key, connection] : mCallerConnections) {
      open.push_back(connection);
    }
    for (const std::shared_ptr<caller_connection>& connection : open) {
      connection->CloseIfIdle();
    }
  }
  if (!overdue &&
      (drained < kBalancerRemovalTime || mBoard.mOpenRequests > 0)) {
    return;
  }
  Log(log_level::Info,
      "stopped",
      { { "open_requests", mBoard.mOpenRequests },
        { "drained_ms", Milliseconds(drained) } });
  mGossipSender.BroadcastLeaving();
  mLoop.Quit();
}

} // namespace primrose
