#pragma once

/// One TCP connection with buffers, and a listening socket.

#include "LibNet/EventLoop.h"

#include <string>
#include <string_view>

namespace primrose {

enum class channel_end : std::uint8_t
{
  Finished, ///< The peer closed its side in good order.
  Reset,    ///< The connection broke: reset, unreachable, timed out.
};

class tcp_channel;

/// Who uses a channel. Every function may close the channel.
class channel_owner
{
public:
  virtual ~channel_owner() = default;
  virtual void OnConnected(tcp_channel&) {}
  /// New bytes stand in `Input()`; the owner takes what it has used.
  virtual void OnInput(tcp_channel& aChannel) = 0;
  virtual void OnEnd(tcp_channel& aChannel, channel_end aEnd) = 0;
  /// All that was written has been handed to the system.
  virtual void OnDrained(tcp_channel&) {}
};

/// How long written bytes may stay without an acknowledgement, and a silent
/// idle connection without an answer to a probe, before it counts as broken.
struct channel_limits
{
  duration mAckTimeout{};
  duration mProbeAfter{};

  bool operator==(const channel_limits&) const = default;
};

class tcp_channel final : public io_handler
{
public:
  /// Takes over an accepted, non-blocking socket.
  tcp_channel(event_loop& aLoop, int aSocket, const channel_limits& aLimits);
  /// Begins to connect; `OnConnected` or `OnEnd` follows.
  tcp_channel(event_loop& aLoop,
              const ip_address& aPeer,
              const channel_limits& aLimits);
  ~tcp_channel() override;
  tcp_channel(const tcp_channel&) = delete;
  tcp_channel& operator=(const tcp_channel&) = delete;

  void SetOwner(channel_owner* aOwner) { mOwner = aOwner; }
  bool Open() const { return mSocket >= 0; }
  bool Connected() const { return mConnected; }
  std::string& Input() { return mInput; }
  void Write(std::string_view aBytes);
  /// Bytes written that the system has not taken yet.
  std::size_t Pending() const { return mOutput.size() - mSent; }
  /// Stops and goes on with reading, so that a slow reader slows its sender.
  void PauseReading(bool aPaused);
  /// Closes at once; the owner hears nothing more. Unread input makes the
  /// peer see a reset.
  void Close();
  /// Closes so that the peer sees a reset.
  void Abort();
  /// Closes once all that was written has been handed over.
  void CloseWhenDrained();
  void OnEvents(std::uint32_t aEvents) override;

private:
  void Prepare(const channel_limits& aLimits);
  void UpdateWatchedEvents();
  void Read();
  void Flush();
  void End(channel_end aEnd);

  event_loop& mLoop;
  channel_owner* mOwner = nullptr;
  int mSocket = -1;
  bool mConnected = false;
  bool mPaused = false;
  bool mWantWrite = false;
  bool mCloseWhenDrained = false;
  std::uint32_t mWatchedEvents = 0;
  std::string mInput;
  std::string mOutput;
  std::size_t mSent = 0;
};

/// Accepts connections.
class tcp_listener final : public io_handler
{
public:
  using accepted = std::function<void(int aSocket)>;

  static result<std::unique_ptr<tcp_listener>> Open(event_loop& aLoop,
                                                    const ip_address& aAddress,
                                                    accepted aAccepted);
  ~tcp_listener() override;
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  /// The port, also where the system chose it.
  std::uint16_t Port() const;
  void OnEvents(std::uint32_t aEvents) override;

private:
  tcp_listener(event_loop& aLoop, int aSocket, accepted aAccepted);

  event_loop& mLoop;
  int mSocket;
  accepted mAccepted;
};

} // namespace primrose
