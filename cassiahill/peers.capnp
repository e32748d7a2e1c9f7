@0xd2f7a1c95e8b4630;

struct Envelope {
  sender @0 :Text;      # Name of the proxy that sent the message.
  sequence @1 :UInt64;  # Higher than in every earlier message of the sender.
  call @2 :UInt64;      # Sequence of the request that this answers, or 0.
  kind @3 :Text;
  payload @4 :Data;
  hash @5 :Data;        # Keyed BLAKE2b over all fields above.
}
