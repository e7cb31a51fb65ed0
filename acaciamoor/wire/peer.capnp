@0xb7c1e5d2904f3a68;

# One message between two balancers.
struct PeerMessage {
  sender @0 :Text;
  union {
    forward @1 :Forward;
    document @2 :Document;
  }
}

# A caller's datagram, with its PROXY header, on its way through balancers.
struct Forward {
  purpose @0 :Purpose;
  position @1 :UInt8;
  hops @2 :UInt8;
  upstreamId @3 :Text;
  datagram @4 :Data;
  heldMs @5 :UInt32;
  visited @6 :List(Text);

  enum Purpose {
    record @0;
    resolve @1;
    work @2;
    coverage @3;
    handOver @4;
  }
}

# A message of a decision package in its serialized form.
struct Document {
  name @0 :Text;
  content @1 :Data;
}
