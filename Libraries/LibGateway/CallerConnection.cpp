#include "LibGateway/CallerConnection.h"

namespace primrose {

namespace {

/// Before a manifest is known: what a caller may send, and how long it may
/// take. A manifest's own limits replace them.
constexpr http_limits kUsualLimits{ std::size_t{ 16 } * 1024,
                                    std::size_t{ 4 } * 1024 * 1024 };
constexpr duration kUsualIdle = std::chrono::seconds(15);
constexpr duration kUsualHeadTime = std::chrono::seconds(3);
/// Bytes of a next request that are taken while one is being answered.
constexpr std::size_t kMostAhead = std::size_t{ 64 } * 1024;
/// A caller's machine that is gone shows only through probes.
constexpr channel_limits kLimits{ std::chrono::seconds(5),
                                  std::chrono::seconds(5) };

http_limits
LimitsOf(const manifest_pointer& aManifest)
{
  if (aManifest == nullptr || aManifest->Manifest().mLimits.mHeadBytes == 0) {
    return kUsualLimits;
  }
  const caller_limits& limits = aManifest->Manifest().mLimits;
  return { limits.mHeadBytes, limits.mBodyBytes };
}

} // namespace

caller_connection::caller_connection(const gateway_context& aContext,
                                     int aSocket,
                                     closed aClosed)
  : mContext(aContext)
  , mClosed(std::move(aClosed))
  , mChannel(std::make_shared<tcp_channel>(aContext.mLoop, aSocket, kLimits))
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
  const manifest_pointer& held = mContext.mBoard.mManifest;
  const duration idle =
    held == nullptr || held->Manifest().mLimits.mIdleTimeout == duration{}
      ? kUsualIdle
      : held->Manifest().mLimits.mIdleTimeout;
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
    if (mChannel->Input().size() > kMostAhead) {
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
        // A caller that begins a request and does not go on would hold its
        // connection and its memory for ever.
        mContext.mLoop.Cancel(mTimer);
        mTimer = mContext.mLoop.After(kUsualHeadTime, [this]() {
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
  const std::shared_ptr<exchange> begun = mExchange;
  begun->Start();
}

void
caller_connection::Write(std::string_view aBytes)
{
  mChannel->Write(aBytes);
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
    // The next request came ahead; it begins in a turn of its own, so that
    // requests that come ahead do not nest.
    mContext.mLoop.Cancel(mTimer);
    mTimer = mContext.mLoop.After(duration::zero(), [this]() {
      mTimer = 0;
      StartIdleTimer();
      Read();
    });
  }
}

void
caller_connection::Cut()
{
  mContext.mLoop.DeleteLater(std::move(mExchange));
  mExchange = nullptr;
  Close(false);
}

void
caller_connection::OnDrained(tcp_channel&)
{
  if (mExchange != nullptr) {
    mExchange->OnResponseDrained();
  }
}

void
caller_connection::OnEnd(tcp_channel&, channel_end)
{
  if (mExchange != nullptr) {
    const std::shared_ptr<exchange> left = std::move(mExchange);
    mExchange = nullptr;
    left->OnCallerDisconnected();
    mContext.mLoop.DeleteLater(left);
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
      // Kept until the system has taken the answer, but not for ever.
      constexpr duration kDrainTime = std::chrono::seconds(5);
      std::shared_ptr<tcp_channel> draining = mChannel;
      event_loop& loop = mContext.mLoop;
      (void)loop.After(kDrainTime, [draining]() { draining->Close(); });
    }
  } else {
    mChannel->Close();
  }
  mClosed(*this);
}

} // namespace primrose
