#pragma once

/// A buffered TCP connection, and a listening socket.

#include "LibNet/EventLoop.h"

#include <string>
#include <string_view>

namespace primrose {

enum class channel_end : std::uint8_t
{
  Finished, ///< The peer closed its side normally.
  Reset,    ///< The connection failed: reset, unreachable or timed out.
};

class tcp_channel;

/// The callbacks of the object that uses a channel. Each of them may close the
/// channel.
class channel_owner
{
public:
  virtual ~channel_owner() = default;
  virtual void OnConnected(tcp_channel&) {}
  /// New bytes were appended to `Input()`; the owner removes what it consumes.
  virtual void OnInput(tcp_channel& aChannel) = 0;
  virtual void OnEnd(tcp_channel& aChannel, channel_end aEnd) = 0;
  /// All written bytes have been passed to the kernel.
  virtual void OnDrained(tcp_channel&) {}
};

/// How a dead connection is detected; zero disables a check. After
/// `mAckTimeout`, unacknowledged bytes end the connection. After
/// `mKeepaliveIdle` without traffic, keepalive probes begin, and the connection
/// ends if they get no answer.
struct channel_limits
{
  duration mAckTimeout{};
  duration mKeepaliveIdle{};

  bool operator==(const channel_limits&) const = default;
};

class tcp_channel final : public io_handler
{
public:
  /// Takes ownership of an accepted, non-blocking socket.
  tcp_channel(event_loop& aLoop, int aSocket, const channel_limits& aLimits);
  /// Starts to connect; `OnConnected` or `OnEnd` is called later.
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
  /// Written bytes that the kernel has not accepted yet.
  std::size_t Pending() const { return mOutput.size() - mSentBytes; }
  /// Bytes that the channel keeps for that; at most twice as many, besides one
  /// write.
  std::size_t BufferedOutput() const { return mOutput.size(); }
  /// Pauses or resumes reading, so that a slow consumer applies back-pressure
  /// to the sender.
  void PauseReading(bool aPaused);
  /// Closes at once, without further callbacks. If input is unread, the peer
  /// sees a reset.
  void Close();
  /// Closes with a reset of the connection.
  void Abort();
  /// Closes once all written bytes have been passed to the kernel.
  void CloseWhenDrained();
  void OnEvents(std::uint32_t aEvents) override;

private:
  void SetSocketOptions(const channel_limits& aLimits);
  void UpdateWatchedEvents();
  void Read();
  void Flush();
  /// Removes sent bytes once they are more than the others.
  void RemoveSentBytes();
  void NotifyEnd(channel_end aEnd);

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
  std::size_t mSentBytes = 0;
};

/// Closes an accepted connection from which nothing was read.
void
CloseUnread(int aSocket);

/// Descriptors that this process may have open.
std::size_t
DescriptorLimit();

/// A listening socket that passes each accepted connection to a callback.
class tcp_listener final : public io_handler
{
public:
  using accept_callback = std::function<void(int aSocket)>;

  static result<std::unique_ptr<tcp_listener>> Open(event_loop& aLoop,
                                                    const ip_address& aAddress,
                                                    accept_callback aOnAccept);
  ~tcp_listener() override;
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  /// The bound port, also if the kernel chose it.
  std::uint16_t Port() const;
  void OnEvents(std::uint32_t aEvents) override;

private:
  tcp_listener(event_loop& aLoop, int aSocket, accept_callback aOnAccept);

  event_loop& mLoop;
  int mSocket;
  accept_callback mOnAccept;
};

} // namespace primrose
