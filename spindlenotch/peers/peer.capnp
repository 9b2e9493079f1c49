@0xc1f4a1d27b5ae9d3;
# Messages between members. Every frame and datagram carries one of these behind
# an authentication code (see peer_seal.py). Only the numbers of the fields are on
# the wire; field names that differ from those in messages.py say so.

struct Work {
  requestsPerS @0 :Float64;
  bytesPerS @1 :Float64;
}

struct MemberRecord {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :Text;
  address @3 :Text;
  peerAddress @4 :Text;
  epoch @5 :UInt64;
  heartbeat @6 :UInt64;
  status @7 :UInt8;
  bundleVersion @8 :UInt64;  # configuration_version
  capacity @9 :Work;
  demand @10 :Work;
}

struct DocumentVersion {
  kind @0 :UInt8;
  version @1 :UInt64;
  digest @2 :Text;
}

struct DrainNotice {
  service @0 :Text;
  upstream @1 :Text;
  generation @2 :UInt64;
}

struct Suspicion {
  host @0 :Text;
  epoch @1 :UInt64;
  heartbeat @2 :UInt64;
}

# What an upstream reported of its load, ageMs before this was sent.
struct Load {
  upstream @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  pacePercent @3 :UInt32;  # slowdown
  ageMs @4 :UInt32;
}

struct Gossip {
  sender @0 :MemberRecord;
  sequence @1 :UInt64;
  documents @2 :List(DocumentVersion);
  members @3 :List(MemberRecord);
  marks @4 :List(DrainNotice);  # drain_notices
  wantsReply @5 :Bool;
  hungry @6 :Bool;  # wants_members
  suspicions @7 :List(Suspicion);
  readsSource @8 :Bool;
  loads @9 :List(Load);
}

# Over TCP: request a document (wanted), or offer one. The answer is a document
# too; its version is zero where the peer has none.
struct DocumentFrame {
  correlation @0 :UInt64;
  wanted @1 :Bool;
  kind @2 :UInt8;
  version @3 :UInt64;
  digest @4 :Text;
  body @5 :Data;
}
