# The protocol between the system's own processes. Times are remaining
# milliseconds, so that no two clocks need to agree; memory is in tokens of KV
# cache.
@0xb7d2a0f4c1e89d35;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("primrose::wire");

enum Refusal {
  none @0;
  leaving @1;        # The agent drains; ask another.
  noRoom @2;         # The queue or the memory is full.
  tooLate @3;        # It could not make the deadline.
  engineDown @4;     # The endpoint does not answer.
  wrongModel @5;     # This endpoint does not serve that.
  cancelled @6;
  duplicate @7;      # This attempt was recorded as not run; it stays so.
}

enum Ran { no @0; yes @1; unknown @2; }

enum HoldRole { whole @0; lead @1; member @2; }

struct Query {
  model @0 :Text;
  organisation @1 :Text;
  promptTokens @2 :UInt64;
  maxTokens @3 :UInt64;
  marks @4 :List(UInt64);   # Hashes of the prompt's prefixes, shortest first.
  priority @5 :UInt8;
  isLong @6 :Bool;
}

struct ProbeAnswer {
  refusal @0 :Refusal;
  firstTokenMs @1 :UInt64;     # Estimate for this query, were it sent now.
  freeTokens @2 :UInt64;
  capacityTokens @3 :UInt64;
  cachedTokens @4 :UInt64;
  queuedTokens @5 :UInt64;     # Prompt tokens granted or waiting, not yet read.
  longTokens @6 :UInt64;       # Of those, tokens of long prompts.
  running @7 :UInt32;
  slowdown @8 :Float32;        # Step time now against an idle engine's.
}

struct Reservation {
  request @0 :Text;
  attempt @1 :Text;
  query @2 :Query;
  remainingMs @3 :UInt64;      # Until the request's deadline.
  leaseMs @4 :UInt64;          # The agent frees it if not renewed in this time.
  role @5 :HoldRole;
  waitMs @6 :UInt64;           # The longest to wait in the agent's queue.
  weight @7 :Float64;          # The organisation's share.
}

struct Work {
  prompt @0 :Data;
  members @1 :List(Text);      # Engines that hold the other parts.
  remainingMs @2 :UInt64;
  resumeFrom @3 :UInt64;
}

struct Ending {
  complete @0 :Bool;           # The whole answer was delivered.
  chunks @1 :UInt64;           # How many chunks were sent in all.
  finish @2 :Text;             # "stop", "length" or empty.
  ran @3 :Ran;
  errorKind @4 :Text;
  errorMessage @5 :Text;
}

interface ChunkSink {
  # Flow control is the stream's: the sender may not run ahead of the window.
  chunk @0 (attempt :Text, sequence :UInt64, text :Text) -> stream;
}

interface Ticket {
  # A granted reservation; dropping the capability releases it.
  start @0 (work :Work, sink :ChunkSink) -> (ending :Ending);
  renew @1 (remainingMs :UInt64) -> (held :Bool);
  cancel @2 () -> (ran :Ran);
  engine @3 () -> (address :Text);
}

struct Call {
  request @0 :Text;
  attempt @1 :Text;
  organisation @2 :Text;
  service @3 :Text;
  method @4 :Text;
  path @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  guarded @8 :Bool;
  key @9 :Text;
  remainingMs @10 :UInt64;
}

struct CallAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
  ran @3 :Ran;
  refusal @4 :Refusal;
  errorKind @5 :Text;
  errorMessage @6 :Text;
  replayed @7 :Bool;           # The first call's answer, not a new run.
}

interface Agent {
  probe @0 (query :Query) -> (answer :ProbeAnswer);
  reserve @1 (reservation :Reservation)
    -> (refusal :Refusal, ticket :Ticket, retryMs :UInt64);
  call @2 (call :Call) -> (answer :CallAnswer);
  drain @3 () -> (inFlight :UInt32);
  status @4 () -> (json :Text);
}

interface Gate {
  # The bootstrap capability: nothing but this is reachable without the key.
  open @0 (key :Text, caller :Text) -> (agent :Agent);
}
