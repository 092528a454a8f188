@0xd9c1a6f4720b3e58;
# Datagrams between entry instances.

struct Spent {
  # What the sender's run admitted of a client account since its start.
  account @0 :UInt64;
  admitted @1 :UInt64;
  demand @2 :Float32;
}

struct Busy {
  # Requests that the sender has at a backend server.
  backend @0 :UInt64;
  requests @1 :UInt16;
}

struct Proof {
  # Answers of the versions of a service since the order to move it.
  order @0 :UInt64;
  newGood @1 :UInt64;
  newBad @2 :UInt64;
  oldGood @3 :UInt64;
  oldBad @4 :UInt64;
}

struct Pulse {
  name @0 :Text;
  run @1 :UInt64;
  sequence @2 :UInt64;
  isLeaving @3 :Bool;
  spent @4 :List(Spent);
  busy @5 :List(Busy);
  proofs @6 :List(Proof);
}

struct Change {
  # Change of an item of the store. A removed one has no value.
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
}

struct Ask {
  # Asks another instance for what the store holds.
  run @0 :UInt64;
  after @1 :UInt64;
  # 0: everything.
  waitMs @2 :UInt32;
  spent @3 :List(Spent);
  proofs @4 :List(Proof);
  busy @5 :List(Busy);
}

struct Told {
  run @0 :UInt64;
  revision @1 :UInt64;
  isFull @2 :Bool;
  ageMs @3 :UInt32;
  changes @4 :List(Change);
  spent @5 :List(Spent);
  # What all instances but the asking one admitted.
  proofs @6 :List(Proof);
  busy @7 :List(Busy);
}
