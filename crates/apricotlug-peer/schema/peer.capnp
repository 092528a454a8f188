@0xb3f1d7a0c25e9846;
# Calls between entry instances.

struct Addr {
  # Socket address: IPv4 addresses stand in their IPv6-mapped form.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

enum State {
  ready @0;
  leaving @1;
  suspect @2;
  dead @3;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
  version @3 :UInt32;
  state @4 :State;
  dataCentre @5 :Text;
  caller @6 :Addr;
  lookup @7 :Addr;
  peer @8 :Addr;
}

struct Progress {
  bundle @0 :UInt64;
  withdrawn @1 :UInt64;
}

struct Summary {
  dataCentre @0 :UInt64;
  hash @1 :UInt64;
  beat @2 :UInt32;
  bundle @3 :UInt64;
  withdrawn @4 :UInt64;
}

struct Beats {
  # Parallel lists of equal length.
  dataCentres @0 :List(UInt32);
  beats @1 :List(UInt32);
}

struct Pulses {
  # Parallel lists of equal length; `progress` holds indices into `table`.
  ids @0 :List(UInt64);
  runs @1 :List(UInt32);
  revisions @2 :List(UInt32);
  heartbeats @3 :List(UInt32);
  loads @4 :List(UInt16);
  progress @5 :List(UInt8);
  table @6 :List(Progress);
}

struct Digest {
  # Parallel lists of equal length.
  dataCentre @0 :UInt64;
  isComplete @1 :Bool;
  ids @2 :List(UInt64);
  runs @3 :List(UInt32);
  revisions @4 :List(UInt32);
}

struct Head {
  version @0 :UInt64;
  bytes @1 :Data;
  chunks @2 :List(Data);
}

struct RecordStamp {
  name @0 :UInt64;
  version @1 :UInt64;
  hash @2 :UInt64;
}

struct Record {
  name @0 :Text;
  version @1 :UInt64;
  bytes @2 :Data;
}

struct Exchange {
  sender @0 :UInt64;
  dataCentre @1 :UInt64;
  round @2 :UInt8;
  summaries @3 :List(Summary);
  pulses @4 :Pulses;
  digests @5 :List(Digest);
  wants @6 :List(UInt64);
  members @7 :List(Member);
  bundle @8 :UInt64;
  withdrawn @9 :UInt64;
  records @10 :UInt64;
  head @11 :Head;
  withdrawnKeys @12 :List(Text);
  withdrawnDigest @13 :List(UInt64);
  recordDigest @14 :List(RecordStamp);
  namedRecords @15 :List(Record);
  beats @16 :Beats;
}

struct Target {
  # Run of an instance that a call is bound to.
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Transfer {
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  expiresUnixMicros @2 :UInt64;
  payload @3 :Data;
}

enum TransferOutcome {
  applied @0;
  duplicate @1;
  expired @2;
  gone @3;
  full @4;
}

interface Peer {
  exchange @0 (message :Exchange) -> (reply :Exchange);
  fetchChunks @1 (hashes :List(Data)) -> (chunks :List(Data));
  transfer @2 (to :Target, transfer :Transfer) -> (outcome :TransferOutcome);
  forwardOrder @3 (to :Target, order :Data) -> (isGone :Bool, answer :Data);
}
