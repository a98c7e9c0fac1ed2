#pragma once

/// Datagrams between entries: what each has placed where, and who is there.

#include "LibGateway/GatewayBoard.h"

namespace primrose {

class peer_news
{
public:
  peer_news(event_loop& aLoop,
            const gateway_settings& aSettings,
            gateway_board& aBoard);
  ~peer_news();
  peer_news(const peer_news&) = delete;
  peer_news& operator=(const peer_news&) = delete;

  result<void> Open();
  /// Hosts of entries that were learnt from elsewhere.
  void AddHosts(const std::vector<std::string>& aHosts);
  void TellPlaced(const placement& aPlaced);
  void TellEnded(placement_key aKey, placement_end aEnd);
  void TellLeaving();

private:
  void Flush();
  void FlushSoon();
  void Beat();
  void OnNews(std::string_view aBytes, const ip_address& aFrom);
  void ForgetSilent();

  event_loop& mLoop;
  const gateway_settings& mSettings;
  gateway_board& mBoard;
  std::unique_ptr<datagram_socket> mSocket;
  std::set<std::string> mCandidates; ///< Hosts not heard from yet.
  std::vector<placement> mPlaced;
  std::vector<placement_key> mEnded;
  std::vector<placement_key> mUnread;
  bool mLeaving = false;
  unsigned mBeats = 0;
  timer_id mFlushTimer = 0;
  timer_id mBeatTimer = 0;
};

} // namespace primrose
