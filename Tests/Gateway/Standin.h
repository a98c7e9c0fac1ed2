#pragma once

/// Stand-ins for the users' platform, in the test's own process and on its
/// loop: a store, endpoints that behave as a test says, and callers.

#include "platform/Platform.h"

#include <deque>
#include <set>

namespace primrose::test {

/// A server of HTTP whose every answer is written by the test.
class standin_server
{
public:
  struct connection final : channel_owner
  {
    connection(standin_server& aServer, event_loop& aLoop, int aSocket);
    void OnInput(tcp_channel& aChannel) override;
    void OnEnd(tcp_channel& aChannel, channel_end aEnd) override;
    /// Makes ready for the next request on the connection.
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
  /// Connections that the other side has closed.
  std::size_t Ended() const;
  /// The process ends: its connections close, and new ones are refused.
  void End();

  event_loop& mLoop;
  handler mHandler;

private:
  std::unique_ptr<tcp_listener> mListener;
  std::vector<std::shared_ptr<connection>> mConnections;
};

/// The platform's store: rows with revisions and a feed of changes, in which
/// each version of a row comes that there was.
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
  /// Forgets which rows changed: the next question about changes fails.
  void LoseHistory();
  void SetResponseMode(response_mode aMood) { mResponseMode = aMood; }
  /// Nothing is answered any more, the questions that are open included, and
  /// no connection ends: what a path looks like that was cut.
  void StopAnswering();
  /// At most so many rows in one answer of a whole reading.
  void SetPageSize(std::size_t aRows) { mPageSize = aRows; }
  /// From now on answers go out in slices, as over a narrow link.
  void ThrottleAnswers(std::size_t aSliceBytes, duration aEvery);
  std::size_t Calls() const { return mCalls; }
  /// RequestsForTable about a table, answered or not.
  std::size_t RequestsForTable(const std::string& aTable) const;
  /// Rows of a table that were handed out in answers.
  std::size_t RowsSentFromTable(const std::string& aTable) const;
  /// Answers of which a part had gone out when the other side left.
  std::size_t AbortedAnswers() const { return mAbortedAnswers; }
  bool Has(const std::string& aTable, const std::string& aKey) const;

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mGone = false;
  };
  struct poll
  {
    std::shared_ptr<standin_server::connection> mConnection;
    std::string mTable;
    std::uint64_t mAfter = 0;
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
    std::string mRest;
  };
  void Keep(const std::string& aTable, const std::string& aKey, row aRow);
  /// Changes rows if all are as the change expects them.
  bool Transact(const std::string& aBody);
  std::string Whole(const std::string& aTable, const std::string& aFrom);
  /// Changes of a table after a revision; empty if there are none.
  std::string Changes(const std::string& aTable, std::uint64_t aAfter);
  void Answer(standin_server::connection& aConnection,
              unsigned aStatus,
              const std::string& aBody);
  void AnswerPolls();
  void SendSlices();
  std::shared_ptr<standin_server::connection> Shared(
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
  bool mSending = false;
  std::uint64_t mRevision = 10;
  std::uint64_t mOldestKnownRevision = 0;
  std::vector<poll> mPolls;
  response_mode mResponseMode = response_mode::Good;
  std::size_t mCalls = 0;
  standin_server mServer;
};

/// A caller's connection: what it was sent, and how it ended.
class standin_caller final : public channel_owner
{
public:
  standin_caller(event_loop& aLoop, std::uint16_t aPort);
  standin_caller(event_loop& aLoop, const ip_address& aEntry);
  void Send(const std::string& aBytes) { mChannel->Write(aBytes); }
  void CloseConnection() { mChannel->Close(); }
  void StopReading(bool aStopped) { mChannel->PauseReading(aStopped); }
  const std::string& ReceivedBytes() const { return mChannel->Input(); }
  bool Ended() const { return mEnded; }
  /// True once a whole answer stands in what was seen.
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

/// Ports that the system never gives to outgoing connections: a process that
/// starts again has to find its port free.
inline constexpr std::uint16_t kFirstPort = 10000;
inline constexpr std::uint16_t kLastPort = 32000;

/// A port that is free on the loopback addresses.
std::uint16_t
FreePort(event_loop& aLoop);

/// Registers an endpoint of a service under an id.
void
ListEndpoint(standin_store& aStore,
             const std::string& aId,
             const std::string& aService,
             const ip_address& aAddress,
             const std::string& aState);

/// Writes a manifest with routes of each kind, one of them named by `aExtra`,
/// and so many besides, of some 220 bytes each.
void
WriteManifest(standin_store& aStore,
              std::uint64_t aVersion,
              const std::string& aExtra,
              std::size_t aMoreRoutes = 0);

/// A request's bytes; `aKind` is the path's first part.
std::string
RequestText(const std::string& aId,
            const std::string& aKind,
            const std::string& aFields,
            const std::string& aBody);

/// One gateway with its platform.
struct gateway_fixture
{
  gateway_fixture();
  /// Turns the loop until the condition holds; fails the test if it does not
  /// within a generous time.
  void Until(const std::function<bool()>& aCondition, const std::string& aWhat);
  /// Turns the loop for a while in which something must not happen.
  void For(duration aTime);
  /// Registers an endpoint of a service under an id.
  void List(const std::string& aId,
            const std::string& aService,
            const ip_address& aAddress,
            const std::string& aState = "ready");
  void PutManifest(std::uint64_t aVersion,
                   const std::string& aExtra = "",
                   std::size_t aMoreRoutes = 0);
  void Start();
  /// A port that is free on the loopback addresses.
  std::uint16_t FreePort();
  /// A request's bytes; `aKind` is the path's first part.
  std::string Request(const std::string& aId,
                      const std::string& aKind,
                      const std::string& aFields = "",
                      const std::string& aBody = "hello") const;

  event_loop mLoop;
  standin_store mStore;
  gateway_settings mSettings;
  std::unique_ptr<gateway> mGateway;
};

/// The head of an endpoint's good answer to a request.
std::string
SuccessHead(const http_head& aRequest, const std::string& aFraming);

} // namespace primrose::test
