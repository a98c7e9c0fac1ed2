#pragma once

/// Stand-ins for the users' platform, in the test's own process and on its
/// event loop: a store, endpoints whose behaviour the test defines, and
/// callers.

#include "platform/Platform.h"

#include <deque>
#include <set>

namespace primrose::test {

/// An HTTP server that passes each request to a handler of the test, which
/// writes the answer.
class standin_server
{
public:
  struct connection final : channel_owner
  {
    connection(standin_server& aServer, event_loop& aLoop, int aSocket);
    void OnInput(tcp_channel& aChannel) override;
    void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;
    /// Starts reading the next request on the connection.
    void Next();

    standin_server& mServer;
    std::shared_ptr<tcp_channel> mChannel;
    http_reader mReader;
    bool mEnded = false;
  };
  using handler = std::function<
    void(connection&, const http_head&, const std::string& aBody)>;

  standin_server(event_loop& aLoop, handler aHandler);
  ip_address Address() const;
  const std::vector<std::shared_ptr<connection>>& Connections() const
  {
    return mConnections;
  }
  /// Returns the number of connections that have ended, closed by the other
  /// side or by End().
  std::size_t Ended() const;
  /// Closes all connections and refuses new ones, as a process that exits.
  void End();

  event_loop& mLoop;
  handler mHandler;

private:
  std::unique_ptr<tcp_listener> mListener;
  std::vector<std::shared_ptr<connection>> mConnections;
};

/// The platform's store: rows with revisions, and a feed of changes that
/// contains each version of a row.
class standin_store
{
public:
  enum class response_mode : std::uint8_t
  {
    Good,
    Refusing,
    Silent,
  };
  explicit standin_store(event_loop& aLoop);
  ip_address Address() const { return mServer.Address(); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /// Drops the history of changes and closes open long polls. The next request
  /// for changes after an earlier revision gets status 410.
  void LoseHistory();
  void SetResponseMode(response_mode aMood) { mResponseMode = aMood; }
  /// Leaves all requests unanswered, open long polls included, and closes no
  /// connection, as when the network path is cut. Lasts until the response mode
  /// is set again; the open long polls stay unanswered.
  void StopAnswering();
  /// Limits the rows in one answer of a full read.
  void SetPageSize(std::size_t aRows) { mPageSize = aRows; }
  /// Sends later answers in slices of aSliceBytes each aEvery, as over a narrow
  /// link.
  void ThrottleAnswers(std::size_t aSliceBytes, duration aEvery);
  enum class answer_end : std::uint8_t
  {
    Length,
    Connection,   ///< Answers have no length and end with their connection.
    CutConnection ///< The same, but the second half of the body is missing.
  };
  void SetAnswerEnd(answer_end aEnd) { mAnswerEnd = aEnd; }
  std::size_t Calls() const { return mCalls; }
  /// Returns the number of requests for a table, answered or not.
  std::size_t RequestsForTable(const std::string& aTable) const;
  /// Returns the number of rows of a table that were sent in answers.
  std::size_t RowsSentFromTable(const std::string& aTable) const;
  /// Returns the number of answers during which the other side closed the
  /// connection. Only throttled answers are counted.
  std::size_t AbortedAnswers() const { return mAbortedAnswers; }
  bool Has(const std::string& aTable, const std::string& aKey) const;

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mDeleted = false;
  };
  struct long_poll
  {
    std::shared_ptr<standin_server::connection> mConnection;
    std::string mTable;
    std::uint64_t mAfter = 0;
    time_point mUntil{}; ///< Answered without changes then.
  };
  void Handle(standin_server::connection& aConnection,
              const http_head& aHead,
              const std::string& aBody);
  struct change
  {
    std::string mTable;
    std::string mKey;
    row mRow;
  };
  struct throttled_answer
  {
    std::shared_ptr<standin_server::connection> mConnection;
    std::string mUnsent;
  };
  void StoreRow(const std::string& aTable, const std::string& aKey, row aRow);
  /// Applies a transaction if all rows have the revisions that it expects.
  /// Returns whether it was applied.
  bool Transact(const std::string& aBody);
  std::string ReadTable(const std::string& aTable, const std::string& aFrom);
  /// Returns the changes of a table after a revision, or "" if there are none.
  std::string ReadChanges(const std::string& aTable, std::uint64_t aAfter);
  void Answer(standin_server::connection& aConnection,
              unsigned aStatus,
              const std::string& aBody);
  void AnswerLongPolls();
  void SendSlices();
  std::shared_ptr<standin_server::connection> FindConnection(
    const standin_server::connection& aConnection) const;

  event_loop& mLoop;
  std::map<std::pair<std::string, std::string>, row> mRows;
  std::deque<change> mHistory;
  std::map<std::string, std::size_t> mRequestsByTable;
  std::map<std::string, std::size_t> mRowsSentByTable;
  std::vector<throttled_answer> mThrottledAnswers;
  std::size_t mPageSize = 500;
  std::size_t mSliceBytes = 0;
  duration mSliceEvery{};
  std::size_t mAbortedAnswers = 0;
  bool mSlicesScheduled = false;
  std::uint64_t mRevision = 10;
  std::uint64_t mOldestKnownRevision = 0;
  std::vector<long_poll> mLongPolls;
  response_mode mResponseMode = response_mode::Good;
  answer_end mAnswerEnd = answer_end::Length;
  std::size_t mCalls = 0;
  standin_server mServer;
};

/// A caller's connection to a gateway. Keeps what it received and whether the
/// connection has ended.
class standin_caller final : public channel_owner
{
public:
  standin_caller(event_loop& aLoop, std::uint16_t aPort);
  standin_caller(event_loop& aLoop, const ip_address& aGateway);
  void Send(const std::string& aBytes) { mChannel->Write(aBytes); }
  void CloseConnection() { mChannel->Close(); }
  void StopReading(bool aStopped) { mChannel->PauseReading(aStopped); }
  const std::string& ReceivedBytes() const { return mChannel->Input(); }
  bool Ended() const { return mEnded; }
  /// Returns true once a complete answer has been received.
  bool Answered() const;
  unsigned Status() const;
  std::string Body() const;
  std::optional<std::string> Field(std::string_view aName) const;

  void OnInput(tcp_channel&) override {}
  void OnEnd(tcp_channel&, channel_end) override { mEnded = true; }

private:
  std::shared_ptr<tcp_channel> mChannel;
  bool mEnded = false;
};

/// Range of ports that the system never assigns to outgoing connections, so
/// that a process that restarts finds its port free.
inline constexpr std::uint16_t kFirstPort = 10000;
inline constexpr std::uint16_t kLastPort = 32000;

/// Returns a port that is free on 127.0.0.1 for both TCP and UDP.
std::uint16_t
FreePort(event_loop& aLoop);

/// Fields of an endpoint's row besides its service, address and state.
struct listing_details
{
  std::string mDataCentre = "a";
  std::int64_t mColdMs = 0;
  std::optional<std::int64_t> mBorn;
};

/// Adds or updates an endpoint in the store's list of endpoints.
void
ListEndpoint(standin_store& aStore,
             const std::string& aId,
             const std::string& aService,
             const ip_address& aAddress,
             const std::string& aState,
             const listing_details& aDetails = {});

/// What a manifest declares of each engine.
inline constexpr double kDeclaredPrefillTokensPerSecond = 177000;
inline constexpr double kDeclaredPrefillMsPerMillionPairs = 0.184;
inline constexpr std::uint64_t kDeclaredMemoryTokens = 315000;

/// Restrictions that a manifest sets.
struct manifest_restrictions
{
  std::vector<std::string> mRouteRegions; ///< Of all routes; empty: none.
  std::vector<std::string> mOrganisationRegions;
  double mColdRequestsPerSecond = 0; ///< Of all services.
  double mColdSeconds = 0;
};

/// Writes a manifest with routes of each kind. If `aExtra` isn't empty, adds a
/// safe route of this name. Adds `aMoreRoutes` further safe routes, of some 220
/// bytes each.
void
WriteManifest(standin_store& aStore,
              std::uint64_t aVersion,
              const std::string& aExtra,
              std::size_t aMoreRoutes = 0,
              const manifest_restrictions& aRestrictions = {});

/// Returns the bytes of a request; `aKind` is the first segment of its path.
std::string
RequestText(const std::string& aId,
            const std::string& aKind,
            const std::string& aFields,
            const std::string& aBody);

/// One gateway in the test's process, with the stand-in of its platform.
struct gateway_fixture
{
  gateway_fixture();
  /// Runs the event loop until the condition holds. Fails the test if it
  /// doesn't within a minute.
  void Until(const std::function<bool()>& aCondition, const std::string& aWhat);
  /// Runs the event loop for aTime, for tests that check that something does
  /// not happen.
  void For(duration aTime);
  /// Adds or updates an endpoint in the store's list of endpoints.
  void List(const std::string& aId,
            const std::string& aService,
            const ip_address& aAddress,
            const std::string& aState = "ready");
  void PutManifest(std::uint64_t aVersion,
                   const std::string& aExtra = "",
                   std::size_t aMoreRoutes = 0);
  /// Starts the gateway and waits until it has read the manifest, the list of
  /// endpoints and the quarantine table.
  void Start();
  /// Returns a port that is free on 127.0.0.1 for both TCP and UDP.
  std::uint16_t FreePort();
  /// Returns the bytes of a request; `aKind` is the first segment of its path.
  std::string Request(const std::string& aId,
                      const std::string& aKind,
                      const std::string& aFields = "",
                      const std::string& aBody = "hello") const;

  event_loop mLoop;
  standin_store mStore;
  gateway_settings mSettings;
  std::unique_ptr<gateway> mGateway;
};

/// Returns the head of an endpoint's successful answer to a request. aFraming
/// holds the header fields that frame the body.
std::string
SuccessHead(const http_head& aRequest, const std::string& aFraming);

} // namespace primrose::test
