@0xd2a4c7f1b6e05933;

# A datagram between a caller and an upstream. Durations are in milliseconds.
struct Envelope {
  flow @0 :UInt64;
  request @1 :UInt64;
  service @2 :UInt32;
  ageMs @3 :UInt32;
  timeoutMs @4 :UInt32;
  attempt @5 :UInt16;
  part @6 :UInt16;
  parts @7 :UInt16;
  kind @8 :Kind;
  sizeClass @9 :SizeClass;
  outcome @10 :Outcome;
  idempotent @11 :Bool;
  reason @12 :Text;
  payload @13 :Data;
  retryAfterMs @14 :UInt32;

  enum Kind {
    open @0;
    data @1;
    keepalive @2;
    close @3;
    request @4;
    cancel @5;
    answer @6;
    refusal @7;
  }

  enum SizeClass {
    unknown @0;
    short @1;
    long @2;
  }

  enum Outcome {
    complete @0;
    notRun @1;
    outcomeUnknown @2;
  }
}
