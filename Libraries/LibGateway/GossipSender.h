#pragma once

/// What this entry tells the others by datagram: gathered for some milliseconds
/// and sent to those whom it concerns.

#include "LibGateway/GatewayBoard.h"
#include "LibGateway/PeerMessage.h"

namespace primrose {

class news_outbox
{
public:
  news_outbox(event_loop& aLoop,
              const gateway_settings& aSettings,
              gateway_board& aBoard);
  ~news_outbox();
  news_outbox(const news_outbox&) = delete;
  news_outbox& operator=(const news_outbox&) = delete;

  /// Until then nothing is sent.
  void Open(datagram_socket& aSocket);
  void TellPlaced(const placement& aPlaced);
  /// `aEngines` are those that were told when it was placed.
  void TellEnded(placement_key aKey,
                 placement_end aEnd,
                 const std::vector<engine_key>& aEngines);
  /// An engine refused to read for others: those who are told leave it out too,
  /// instead of being refused in their turn.
  void TellUnwilling(engine_key aEngine);
  /// An endpoint broke off, was silent or was not reached.
  void TellTroubled(engine_key aEndpoint);
  /// An endpoint's limit started, changed, was confirmed or ended.
  void TellLimit(const told_limit& aLimit);
  /// An endpoint ended under a request. All entries have to know, since the
  /// request may come again at any of them.
  void TellCrash(const crash_report& aReport);
  /// A request that others may hold or suspect was answered here.
  void TellCleared(request_digest aRequest);
  void TellHeldToAll(const std::vector<quarantined_request>& aHeld);
  /// Tells one peer all that this entry holds.
  void TellHeld(const std::vector<quarantined_request>& aHeld,
                const std::string& aHost);
  void TellLeaving();
  /// Shows one host that this entry is there.
  void Beat(const std::string& aHost);
  /// Shows it to all peers, or to some in turn where they are many.
  void Beat();
  /// Tells a new peer what this entry has placed.
  void Greet(const std::string& aHost);

private:
  void Flush();
  /// Sends what is gathered after this span, or earlier if that was asked.
  void FlushWithin(duration aSpan);
  void FlushToAll();
  void FlushToAllSoon();
  /// What is gathered concerns those who prefer these engines.
  void Concern(const std::vector<engine_key>& aEngines);
  /// As many of these as the budget allows.
  std::vector<std::string> PeersToTell(const std::vector<std::string>& aHosts,
                                       std::size_t aBytes);
  peer_message Message() const;
  std::string EncodeBeat(bool aNamesHosts);
  void Send(const std::string& aBytes, const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_board& mBoard;
  datagram_socket* mSocket = nullptr;
  told_news mGathered;                ///< Not yet told.
  std::vector<engine_key> mConcerned; ///< Engines of what is gathered.
  std::string mLastBeatTold;          ///< The host.
  unsigned mBeats = 0;
  peer_send_budget mBudget;
  bool mLeaving = false;
  told_news mForAll; ///< Not yet told.
  timer_id mForAllTimer = 0;
  timer_id mFlushTimer = 0;
  time_point mFlushAt{};
};

} // namespace primrose
