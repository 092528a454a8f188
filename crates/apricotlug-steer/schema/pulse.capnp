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
