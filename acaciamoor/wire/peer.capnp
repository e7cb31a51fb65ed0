@0xb7c1e5d2904f3a68;

# A message between two balancers.
struct PeerMessage {
  sender @0 :Text;
  union {
    forward @1 :Forward;
    document @2 :Document;
  }
}

# A caller's datagram, with its PROXY header, forwarded between balancers.
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

# A serialized control message, for example of the membership protocol.
struct Document {
  name @0 :Text;
  content @1 :Data;
}
