@0xd1b6a3c8e0f47a25;
# What entries tell each other by datagram. A lost one costs accuracy of
# placement for some seconds and nothing else: no promise depends on it. Not to
# be laid out by the formatter of the C++ sources, which does not know comments
# of this kind.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("primrose::wire");

# Whole numbers of a size to suit, since datagrams are packed: what is 0 or
# small takes no bytes.
struct PlacedWork {
  sequence @0 :UInt32;           # Names the placement among those of its entry.
  engines @1 :List(UInt32);      # The first one writes; all read.
  partMicros @2 :UInt32;         # Reading of each, in microseconds.
  pauseMs @3 :UInt32;            # The longest pause that its events may have.
  tokens @4 :UInt32;             # Memory that it takes where it writes.
  lifeMs @5 :UInt32;             # It is forgotten after this.
  worthCents @6 :UInt32;         # Against other requests, in hundredths.
  holders @7 :List(UInt32);      # Engines that hold memory for it.
  holderTokens @8 :UInt32;       # Memory that each of those holds.
  objectiveMs @9 :UInt32;        # Its first event is late after this.
  elapsedMs @10 :UInt32;         # Of that, when this was told.
  organisation @11 :UInt32;      # A hash of its name; 0: none.
  rank @12 :UInt8;               # 0 is the most urgent.
}

# An endpoint ended under a request (LibFleet/Quarantine).
struct CrashReport {
  digest @0 :UInt64;             # Of the request.
  endpoint @1 :UInt32;
  answering @2 :Bool;            # A part of the answer had come from there.
}

# A request that is not sent to any endpoint.
struct HeldRequest {
  digest @0 :UInt64;
  trials @1 :UInt32;             # That have been made since.
  ageSeconds @2 :UInt32;         # Since an endpoint ended under it.
}

# The request rate that an endpoint accepts from all entries together.
struct EndpointLimit {
  endpoint @0 :UInt32;
  perSecondMillis @1 :UInt32;    # Millirequests per second; 0: no limit.
  ageMs @2 :UInt32;              # Time since the answer was received.
}

# How much longer an engine takes than its declared timing implies.
struct EnginePace {
  engine @0 :UInt32;
  hundredths @1 :UInt16;         # 100: as declared, 300: three times slower.
  ageMs @2 :UInt32;              # Time since it was measured.
}

# What an entry was offered and admitted of one kind of prompt, by size
# (LibFleet/SizeShares), decayed until now.
struct SizeReport {
  kind @0 :UInt64;               # A hash.
  offeredTenths @1 :List(UInt32); # Three classes, the smallest sizes first.
  admittedTenths @2 :List(UInt32);
  refusedTenths @3 :UInt32;
  tokens @4 :List(UInt32);       # Sizes of the last prompts offered.
}

# What an entry believes, as the platform's rows had it: asked for by an entry
# that cannot reach the platform.
struct BelievedRow {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  gone @3 :Bool;
}

struct PeerBeliefs {
  manifest @0 :BelievedRow;
  endpoints @1 :List(BelievedRow);
  evacuations @2 :List(BelievedRow); # Keys are data centres.
  operatorRevision @3 :UInt64;   # As of which each table is complete.
  listRevision @4 :UInt64;
  listIsFull @5 :Bool;           # Else only rows after the revision asked for.
}

struct PeerNews {
  boot @0 :UInt64;               # Of the entry that tells; new at each start.
  placed @1 :List(PlacedWork);
  ended @2 :List(UInt32);        # Sequences of its own placements.
  peers @3 :List(Text);          # Hosts of entries heard of lately.
  leaving @4 :Bool;              # The entry is about to end.
  manifest @6 :UInt64;           # The version in force there.
  list @7 :UInt64;               # Newest revision of its list of endpoints.
  unread @5 :List(UInt32);       # Ended before their prompts were read.
  troubled @9 :List(UInt32);     # Endpoints that broke, or were not reached.
  unwilling @8 :List(UInt32);    # Engines that refused to read for others.
  crashes @10 :List(CrashReport);
  held @11 :List(HeldRequest);
  cleared @12 :List(UInt64);     # Digests of requests that were answered.
  limits @14 :List(EndpointLimit);
  speeds @21 :List(EnginePace);  # Measured by the entry that tells.
  sizes @22 :List(SizeReport);   # All of the entry that tells; beats have them.
  operatorRow @15 :UInt64;       # Newest revision of the operators' rows there.
  eventLoopLatenessMs @16 :UInt32; # Of the entry that tells (LibFleet/GatewayLoad).
  ownDataCentreId @17 :UInt32;   # A hash; 0: lateness is not stated. Earlier builds
                                 # stated ages here, which match no data centre.
  operatorStoreTimeMs @19 :UInt64; # The store's clock as of which these rows were
                                 # current, plus one; 0: not stated.
  listStoreTimeMs @20 :UInt64;   # The same for the list of endpoints.
  connectionsPerSecond @18 :UInt32; # New ones from callers, at the entry that tells.
  heldState @13 :UInt64;         # Equal where the same requests are held; beats
                                 # say it, else 0.
}
