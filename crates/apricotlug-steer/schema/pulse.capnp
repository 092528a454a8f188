@0xd9c1a6f4720b3e58;
# Messages between entry instances: datagrams (Pulse), relay requests (Ask) and responses (Told).

struct Spent {
  # Requests of a client account that the sender's run admitted since its start, and its demand.
  # account: hash of the account's id. demand: requests per tick interval.
  account @0 :UInt64;
  admitted @1 :UInt64;
  demand @2 :Float32;
}

struct Busy {
  # Requests that the sender has in flight at a backend server.
  backend @0 :UInt64;
  requests @1 :UInt16;
  workMs @2 :Float32;
  # Work that is left of them, in milliseconds of one slot.
}

struct Counted {
  # Requests of a client account that backend servers began to run.
  account @0 :Text;
  requests @1 :UInt64;
}

struct Window {
  # Requests that began to run in one window of the wall clock, by account.
  number @0 :UInt64;
  counts @1 :List(Counted);
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
  covered @7 :List(UInt64);
  # Hashes of the names of the instances whose figures the sums include.
}

struct Change {
  # Change of an item of the store. A removed item has no value.
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
}

struct Ask {
  # Requests changes of the store from another instance, and reports the sender's own figures.
  run @0 :UInt64;
  after @1 :UInt64;
  # Revision up to which the sender knows the store; 0 requests all items.
  waitMs @2 :UInt32;
  spent @3 :List(Spent);
  proofs @4 :List(Proof);
  busy @5 :List(Busy);
  era @6 :UInt64;
  # Era of the store to which the revision belongs.
  windows @7 :List(Window);
  # Closed windows that the holder of the usage duty has not confirmed yet.
}

struct Told {
  run @0 :UInt64;
  revision @1 :UInt64;
  isFull @2 :Bool;
  ageMs @3 :UInt32;
  changes @4 :List(Change);
  spent @5 :List(Spent);
  # Requests admitted by all instances except the receiver.
  proofs @6 :List(Proof);
  busy @7 :List(Busy);
  heldMs @8 :UInt32;
  isBehind @9 :Bool;
  missing @10 :List(UInt64);
  # Hashes of the names of the instances whose figures the sums lack.
  era @11 :UInt64;
  confirmed @12 :List(UInt64);
  # Numbers of the windows whose counts the sender holds now.
}
