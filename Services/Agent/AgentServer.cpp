#include "AgentServer.h"

namespace primrose::agent {

namespace {

/// A granted reservation. It is released when the entry drops the ticket or
/// when the entry's connection ends.
class ticket final : public wire::Ticket::Server
{
public:
  ticket(agent_service& aService, const reservation& aReservation)
    : mService(aService)
    , mAttempt(aReservation.mAttempt)
    , mRole(aReservation.mRole)
  {
  }
  ~ticket() noexcept(false) { mService.ReleaseReservation(mAttempt); }
  ticket(const ticket&) = delete;
  ticket& operator=(const ticket&) = delete;

  kj::Promise<void> start(StartContext aContext) override
  {
    aContext.allowCancellation();
    if (mStarted) {
      return KJ_EXCEPTION(FAILED, "a ticket starts once");
    }
    mStarted = true;
    return StartWork(aContext).then([aContext](stream_end aEnd) mutable {
      wire::Ending::Builder ending = aContext.getResults().initEnding();
      ending.setComplete(aEnd.mComplete);
      ending.setChunks(aEnd.mChunks);
      ending.setFinish(aEnd.mComplete ? "length" : "");
      ending.setRan(ToWire(aEnd.mRan));
      if (!aEnd.mComplete) {
        const error_kind kind = aEnd.mChunks > 0 ? error_kind::StreamBroken
                                                 : error_kind::EndpointFailed;
        ending.setErrorKind(std::string(AnswerFor(kind).mName));
        ending.setErrorMessage(aEnd.mProblem);
      }
    });
  }

  kj::Promise<void> renew(RenewContext aContext) override
  {
    aContext.getResults().setHeld(mService.RenewReservation(mAttempt));
    return kj::READY_NOW;
  }

  kj::Promise<void> cancel(CancelContext aContext) override
  {
    // Marks the ticket as used, so that work that was never started cannot
    // be started afterwards.
    const ran_state ran = mStarted ? ran_state::Unknown : ran_state::No;
    mStarted = true;
    mService.ReleaseReservation(mAttempt);
    aContext.getResults().setRan(ToWire(ran));
    return kj::READY_NOW;
  }

  kj::Promise<void> engine(EngineContext aContext) override
  {
    aContext.getResults().setAddress(mService.EngineAddress());
    return kj::READY_NOW;
  }

private:
  kj::Promise<stream_end> StartWork(StartContext& aContext)
  {
    if (mRole == hold_role::Member) {
      return mService.HoldMemberMemory(mAttempt);
    }
    const wire::Work::Reader work = aContext.getParams().getWork();
    engine_request request;
    request.mPrompt = BytesFrom(work.getPrompt());
    for (const capnp::Text::Reader member : work.getMembers()) {
      request.mMembers.push_back(TextFrom(member));
    }
    // Held by a shared pointer: the handler below captures it by const copy,
    // and KJ clients cannot be copied from a const object.
    const std::shared_ptr<wire::ChunkSink::Client> sink =
      std::make_shared<wire::ChunkSink::Client>(aContext.getParams().getSink());
    aContext.releaseParams();
    return mService.RunOnEngine(
      mAttempt,
      std::move(request),
      [sink, attempt = mAttempt](std::uint64_t aIndex, std::string aText) {
        auto chunk = sink->chunkRequest();
        chunk.setAttempt(attempt);
        chunk.setSequence(aIndex);
        chunk.setText(aText);
        return chunk.send();
      });
  }

  agent_service& mService;
  std::string mAttempt;
  hold_role mRole;
  bool mStarted = false;
};

reservation
DecodeReservation(wire::Reservation::Reader aWire, time_point aNow)
{
  constexpr double kMinReservationWeight = 0.01;
  reservation decoded;
  decoded.mRequest = TextFrom(aWire.getRequest());
  decoded.mAttempt = TextFrom(aWire.getAttempt());
  decoded.mShape = FromWire(aWire.getQuery());
  decoded.mRole = FromWire(aWire.getRole());
  decoded.mDeadline = aNow + RemainingFromWire(aWire.getRemainingMs());
  decoded.mWaitUntil = aNow + RemainingFromWire(aWire.getWaitMs());
  decoded.mLease = RemainingFromWire(aWire.getLeaseMs());
  const double weight = aWire.getWeight();
  decoded.mWeight =
    weight >= kMinReservationWeight ? weight : kMinReservationWeight;
  return decoded;
}

service_call
DecodeServiceCall(wire::Call::Reader aWire, time_point aNow)
{
  service_call call;
  call.mRequest = TextFrom(aWire.getRequest());
  call.mAttempt = TextFrom(aWire.getAttempt());
  call.mOrganisation = TextFrom(aWire.getOrganisation());
  call.mService = TextFrom(aWire.getService());
  call.mMethod = TextFrom(aWire.getMethod());
  call.mPath = TextFrom(aWire.getPath());
  call.mContentType = TextFrom(aWire.getContentType());
  call.mBody = BytesFrom(aWire.getBody());
  call.mGuarded = aWire.getGuarded();
  call.mKey = TextFrom(aWire.getKey());
  call.mDeadline = aNow + RemainingFromWire(aWire.getRemainingMs());
  return call;
}

void
EncodeCallAnswer(const service_answer& aAnswer, wire::CallAnswer::Builder aWire)
{
  aWire.setStatus(static_cast<std::uint16_t>(aAnswer.mStatus));
  aWire.setContentType(aAnswer.mContentType);
  aWire.setBody(DataOf(aAnswer.mBody));
  aWire.setRan(ToWire(aAnswer.mRan));
  aWire.setReplayed(aAnswer.mReplayed);
  if (aAnswer.mError) {
    aWire.setErrorKind(std::string(AnswerFor(*aAnswer.mError).mName));
    aWire.setErrorMessage(aAnswer.mMessage);
  }
}

class agent_server final : public wire::Agent::Server
{
public:
  explicit agent_server(agent_service& aService)
    : mService(aService)
  {
  }

  kj::Promise<void> probe(ProbeContext aContext) override
  {
    const probe_answer answer =
      mService.Probe(FromWire(aContext.getParams().getQuery()));
    ToWire(answer, aContext.getResults().initAnswer());
    return kj::READY_NOW;
  }

  kj::Promise<void> reserve(ReserveContext aContext) override
  {
    // Cancellable, so that a reservation leaves the queue as soon as its entry
    // cancels the call or crashes.
    aContext.allowCancellation();
    const reservation requested =
      DecodeReservation(aContext.getParams().getReservation(), mService.Now());
    return mService.Reserve(requested).then([this, aContext, requested](
                                              refusal aRefusal) mutable {
      aContext.getResults().setRefusal(ToWire(aRefusal));
      if (aRefusal == refusal::None) {
        aContext.getResults().setTicket(kj::heap<ticket>(mService, requested));
      }
    });
  }

  kj::Promise<void> call(CallContext aContext) override
  {
    aContext.allowCancellation();
    if (mService.IsDraining()) {
      aContext.getResults().initAnswer().setRefusal(wire::Refusal::LEAVING);
      return kj::READY_NOW;
    }
    service_call call =
      DecodeServiceCall(aContext.getParams().getCall(), mService.Now());
    return mService.Call(std::move(call))
      .then([aContext](service_answer aAnswer) mutable {
        EncodeCallAnswer(aAnswer, aContext.getResults().initAnswer());
      });
  }

  kj::Promise<void> drain(DrainContext aContext) override
  {
    mService.Drain();
    aContext.getResults().setInFlight(
      static_cast<std::uint32_t>(mService.InFlight()));
    return kj::READY_NOW;
  }

  kj::Promise<void> status(StatusContext aContext) override
  {
    aContext.getResults().setJson(mService.Status().dump());
    return kj::READY_NOW;
  }

private:
  agent_service& mService;
};

class gate final : public wire::Gate::Server
{
public:
  explicit gate(agent_service& aService)
    : mService(aService)
  {
  }

  kj::Promise<void> open(OpenContext aContext) override
  {
    const std::string caller = TextFrom(aContext.getParams().getCaller());
    if (!mService.IsRpcKeyValid(TextFrom(aContext.getParams().getKey()))) {
      Log(log_level::Warning, "rpc_key_refused", { { "caller", caller } });
      return KJ_EXCEPTION(FAILED, "the RPC key is wrong");
    }
    aContext.getResults().setAgent(kj::heap<agent_server>(mService));
    return kj::READY_NOW;
  }

private:
  agent_service& mService;
};

} // namespace

wire::Gate::Client
MakeGate(agent_service& aService)
{
  return kj::heap<gate>(aService);
}

} // namespace primrose::agent
