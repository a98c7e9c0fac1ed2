#pragma once

/// The other entries, as their datagrams show them: who is there, what each has
/// placed where, and who knows more of the store's tables.

#include "LibGateway/CrashDetector.h"
#include "LibGateway/StalenessDetector.h"

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
            news_outbox& aOutbox,
            crash_watch& aCrashes,
            const behind& aBehind);
  ~peer_news();
  peer_news(const peer_news&) = delete;
  peer_news& operator=(const peer_news&) = delete;

  result<void> Open();
  /// Hosts of entries that were learnt from elsewhere.
  void AddHosts(const std::vector<std::string>& aHosts);

private:
  void Beat();
  void OnNews(std::string_view aBytes, const ip_address& aFrom);
  void ForgetSilent();
  /// Compares what this entry holds with what a peer says it holds.
  void CompareBeliefs(std::uint64_t aManifest, std::uint64_t aList);
  /// The same with all peers that are there.
  void CompareWithPresent();
  /// Takes note of what a peer told of an endpoint; logs if it is avoided for
  /// that.
  void ApplyEndpointNews(
    engine_key aEndpoint,
    const std::string& aHost,
    const std::function<void(endpoint_health&, time_point)>& aNote);
  /// Notes that the peer is there; greets it if it has just started.
  void NotePeer(const peer_message& aMessage, const std::string& aHost);
  void TakeNews(const told_news& aNews, const std::string& aHost);
  void TakeCrashNews(const peer_message& aMessage, const std::string& aHost);

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_board& mBoard;
  news_outbox& mOutbox;
  crash_watch& mCrashes;
  std::unique_ptr<datagram_socket> mSocket;
  std::set<std::string> mCandidates; ///< Hosts not heard from yet.
  std::uint64_t mNewestManifest = 0; ///< That a peer has told of.
  std::uint64_t mNewestList = 0;
  belief_watch mManifestWatch;
  belief_watch mListWatch;
  unsigned mBeats = 0;
  timer_id mBeatTimer = 0;
};

} // namespace primrose
