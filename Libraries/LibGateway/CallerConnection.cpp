#include "LibGateway/CallerConnection.h"

namespace primrose {

namespace {

/// Defaults until a manifest is known: the size limits of a request and the
/// idle timeout. A manifest's own limits replace them.
constexpr http_limits kDefaultLimits{ std::size_t{ 16 } * 1024,
                                      std::size_t{ 4 } * 1024 * 1024 };
constexpr duration kDefaultIdleTimeout = std::chrono::seconds(15);
/// Time in which a caller has to send a request that it has started.
constexpr duration kRequestReadTimeout = std::chrono::seconds(3);
/// Bytes of pipelined requests to buffer while a request is in progress.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } * 1024;
/// A caller's machine that has disappeared is detected only by TCP keep-alive
/// probes.
constexpr channel_limits kCallerChannelLimits{ std::chrono::seconds(5),
                                               std::chrono::seconds(5) };

http_limits
LimitsOf(const manifest_pointer& aManifest)
{
  if (aManifest == nullptr || aManifest->Manifest().mLimits.mHeadBytes == 0) {
    return kDefaultLimits;
  }
  const caller_limits& limits = aManifest->Manifest().mLimits;
  return { limits.mHeadBytes, limits.mBodyBytes };
}

} // namespace

caller_connection::caller_connection(const gateway_context& aContext,
                                     int aSocket,
                                     closed_callback aOnClosed)
  : mContext(aContext)
  , mOnClosed(std::move(aOnClosed))
  , mChannel(std::make_shared<tcp_channel>(aContext.mLoop,
                                           aSocket,
                                           kCallerChannelLimits))
  , mHeldAnswer(
      std::make_shared<held_answer>(aContext.mAnswerLimiter,
                                    mChannel,
                                    [this]() { OnAnswerMemoryExhausted(); }))
  , mReader(http_role::Request, LimitsOf(aContext.mBoard.mManifest))
{
  mChannel->SetOwner(this);
  StartIdleTimer();
}

caller_connection::~caller_connection()
{
  mContext.mLoop.Cancel(mTimer);
}

void
caller_connection::StartIdleTimer()
{
  mContext.mLoop.Cancel(mTimer);
  const manifest_pointer& manifest = mContext.mBoard.mManifest;
  const duration idle =
    manifest == nullptr ||
        manifest->Manifest().mLimits.mIdleTimeout == duration{}
      ? kDefaultIdleTimeout
      : manifest->Manifest().mLimits.mIdleTimeout;
  mTimer = mContext.mLoop.After(idle, [this]() {
    mTimer = 0;
    Close(false);
  });
}

void
caller_connection::CloseIfIdle()
{
  if (!Busy() && !mReader.Started()) {
    Close(false);
  }
}

void
caller_connection::OnInput(tcp_channel&)
{
  if (Busy()) {
    if (mChannel->Input().size() > kMaxPipelinedBytes) {
      mChannel->PauseReading(true);
    }
    return;
  }
  Read();
}

void
caller_connection::Read()
{
  const bool started = mReader.Started();
  const read_state state = mReader.Read(mChannel->Input());
  switch (state) {
    case read_state::Head:
    case read_state::Body:
      if (!started && mReader.Started()) {
        // Without this timer, a caller that sends a part of a request and stops
        // would hold its connection and memory forever.
        mContext.mLoop.Cancel(mTimer);
        mTimer = mContext.mLoop.After(kRequestReadTimeout, [this]() {
          mTimer = 0;
          Reject(error_kind::BadTimeLimit, "request not whole in time");
        });
      }
      return;
    case read_state::Complete:
      Begin();
      return;
    case read_state::Malformed:
      Reject(error_kind::BadValue, "not a request");
      return;
    case read_state::HeadTooBig:
    case read_state::BodyTooBig:
      Reject(error_kind::BodyTooLarge, "over the limit");
      return;
  }
}

void
caller_connection::Reject(error_kind aKind, const std::string& aWhy)
{
  Log(log_level::Info,
      "request_rejected",
      { { "why", aWhy }, { "kind", AnswerFor(aKind).mName } });
  mChannel->Write(mContext.mAdapter.mWriteFailure(
    { aKind, aWhy, ran_state::No, std::nullopt }, "", false));
  Close(true);
}

void
caller_connection::Begin()
{
  mContext.mLoop.Cancel(mTimer);
  mExchange = std::make_shared<exchange>(
    mContext, *this, mReader.Head(), std::move(mReader.Body()));
  const std::shared_ptr<exchange> started = mExchange;
  started->Start();
}

void
caller_connection::Write(std::string_view aBytes)
{
  mChannel->Write(aBytes);
  mHeldAnswer->Update();
}

void
caller_connection::SetUnwritten(std::size_t aBytes)
{
  mHeldAnswer->SetUnwritten(aBytes);
}

void
caller_connection::OnAnswerMemoryExhausted()
{
  if (mExchange == nullptr) {
    Close(false);
    return;
  }
  const std::shared_ptr<exchange> ended = mExchange;
  ended->OnAnswerMemoryExhausted();
}

std::size_t
caller_connection::Pending() const
{
  return mChannel->Pending();
}

void
caller_connection::Finish(bool aKeepAlive)
{
  mContext.mLoop.DeleteLater(std::move(mExchange));
  mExchange = nullptr;
  if (!aKeepAlive) {
    Close(true);
    return;
  }
  mReader.Restart();
  mChannel->PauseReading(false);
  StartIdleTimer();
  if (!mChannel->Input().empty()) {
    // The next request was pipelined. It starts in an event loop turn of its
    // own, so that pipelined requests do not recurse.
    mContext.mLoop.Cancel(mTimer);
    mTimer = mContext.mLoop.After(duration::zero(), [this]() {
      mTimer = 0;
      StartIdleTimer();
      Read();
    });
  }
}

void
caller_connection::Abort()
{
  mContext.mLoop.DeleteLater(std::move(mExchange));
  mExchange = nullptr;
  Close(false);
}

void
caller_connection::OnDrained(tcp_channel&)
{
  mHeldAnswer->Update();
  if (mExchange != nullptr) {
    mExchange->OnResponseDrained();
  }
}

void
caller_connection::OnEnd(tcp_channel&, channel_end)
{
  if (mExchange != nullptr) {
    const std::shared_ptr<exchange> abandoned = std::move(mExchange);
    mExchange = nullptr;
    abandoned->OnCallerDisconnected();
    mContext.mLoop.DeleteLater(abandoned);
  }
  Close(false);
}

void
caller_connection::Close(bool aDrain)
{
  mContext.mLoop.Cancel(mTimer);
  if (aDrain && mChannel->Open()) {
    mChannel->SetOwner(nullptr);
    mChannel->CloseWhenDrained();
    if (mChannel->Open()) {
      // Keep the channel until the system has taken the answer, up to a limit.
      constexpr duration kDrainTime = std::chrono::seconds(5);
      std::shared_ptr<tcp_channel> draining = mChannel;
      event_loop& loop = mContext.mLoop;
      mHeldAnswer->SetOnEnd([draining]() { draining->Close(); });
      (void)loop.After(kDrainTime, [draining, held = mHeldAnswer]() {
        draining->Close();
        held->Update();
      });
    }
  } else {
    mChannel->Close();
  }
  mOnClosed(*this);
}

} // namespace primrose
