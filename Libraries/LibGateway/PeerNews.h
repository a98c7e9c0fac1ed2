#pragma once

/// Datagrams between entries: what each has placed where, and who is there.

#include "LibGateway/BeliefWatch.h"
#include "LibGateway/PeerWire.h"

namespace primrose {

/// What the store's tables make an entry believe.
enum class belief : std::uint8_t
{
  Manifest,
  Endpoints,
};

class peer_news
{
public:
  /// Called when a peer has had something newer for so long.
  using behind = std::function<void(belief aBelief, duration aPatience)>;

  peer_news(event_loop& aLoop,
            const gateway_settings& aSettings,
            gateway_board& aBoard,
            const behind& aBehind);
  ~peer_news();
  peer_news(const peer_news&) = delete;
  peer_news& operator=(const peer_news&) = delete;

  result<void> Open();
  /// Hosts of entries that were learnt from elsewhere.
  void AddHosts(const std::vector<std::string>& aHosts);
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
  void TellLeaving();

private:
  void Flush();
  /// Sends what is gathered after this span, or earlier if that was asked.
  void FlushWithin(duration aSpan);
  void Beat();
  void OnNews(std::string_view aBytes, const ip_address& aFrom);
  void ForgetSilent();
  void Greet(const std::string& aHost);
  /// What is gathered concerns those who prefer these engines.
  void Concern(const std::vector<engine_key>& aEngines);
  std::vector<std::string> Concerned();
  void TellBeat();
  /// As many of these as the budget allows.
  std::vector<std::string> PeersToTell(const std::vector<std::string>& aHosts,
                                       std::size_t aBytes);
  void CountNews(std::size_t aTold, std::size_t aPeers, std::size_t aBytes);
  /// Compares what this entry holds with what a peer says it holds.
  void CompareBeliefs(std::uint64_t aManifest, std::uint64_t aList);
  /// The same with all peers that are there.
  void CompareWithPresent();
  /// Takes note of what a peer told of an endpoint; logs if it is avoided for
  /// that.
  void Heed(engine_key aEndpoint,
            const std::string& aHost,
            const std::function<void(endpoint_health&, time_point)>& aNote);
  /// Notes that the peer is there; greets it if it has just started.
  void HeedPeer(const peer_message& aMessage, const std::string& aHost);
  void TakeNews(const told_news& aNews, const std::string& aHost);
  std::string Encode(const told_news& aNews);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_board& mBoard;
  std::unique_ptr<datagram_socket> mSocket;
  std::set<std::string> mCandidates; ///< Hosts not heard from yet.
  told_news mGathered;               ///< Not yet told.
  std::set<engine_key> mConcerned;   ///< Engines of what is gathered.
  std::string mLastBeatTold;
  std::uint64_t mNewestManifest = 0; ///< That a peer has told of.
  std::uint64_t mNewestList = 0;
  belief_watch mManifestWatch;
  belief_watch mListWatch;
  news_budget mBudget;
  bool mLeaving = false;
  unsigned mBeats = 0;
  timer_id mFlushTimer = 0;
  time_point mFlushAt{};
  timer_id mBeatTimer = 0;
};

} // namespace primrose
