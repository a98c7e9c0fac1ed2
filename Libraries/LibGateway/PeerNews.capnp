@0xd1b6a3c8e0f47a25;
# What entries tell each other by datagram. A lost one costs accuracy of
# placement for some seconds and nothing else: no promise depends on it.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("primrose::wire");

struct PlacedWork {
  key @0 :UInt64;            # Names the placement.
  engines @1 :List(UInt64);  # The first one writes; all read.
  partMs @2 :Float32;        # Reading of each, in milliseconds.
  pauseMs @3 :UInt32;        # The longest pause that its events may have.
  tokens @4 :Float32;        # Memory that it takes where it writes.
  lifeMs @5 :UInt32;         # It is forgotten after this.
  worth @6 :Float32;         # Against other requests.
  holders @7 :List(UInt64);  # Engines that hold memory for it.
  holderTokens @8 :Float32;  # Memory that each of those holds.
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
}

struct PeerNews {
  boot @0 :UInt64;              # Of the entry that tells; new at each start.
  placed @1 :List(PlacedWork);
  ended @2 :List(UInt64);
  peers @3 :List(Text);         # Hosts of entries heard of lately.
  leaving @4 :Bool;             # The entry is about to end.
  manifest @6 :UInt64;          # The version in force there.
  list @7 :UInt64;              # Newest revision of its list of endpoints.
  unread @5 :List(UInt64);      # Ended before their prompts were read.
  unwilling @8 :List(UInt64);   # Engines that refused to read for others.
}
