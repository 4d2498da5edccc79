@0xc1b6f0a93d5e7284;

# Messages between instances. The body of each frame on a peer link is one Envelope. A later
# version of the protocol adds message kinds at the end of the union of Envelope and fields at
# the end of a struct; it never renumbers or removes a kind or a field.

struct Identity {
  name @0 :Text;
  incarnation @1 :UInt64;
  seat @2 :UInt32;
  domain @3 :Text;
  region @4 :Text;
  peerAddress @5 :Text;
}

struct Hello {
  protocol @0 :UInt32;
  identity @1 :Identity;
}

struct Heartbeat {
  seat @0 :UInt32;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct HeartbeatAnswer {
  witnessSeat @0 :UInt32;
  witnessIncarnation @1 :UInt64;
  seat @2 :UInt32;
  incarnation @3 :UInt64;
  number @4 :UInt64;
  acknowledged @5 :Bool;
  lapsed @6 :List(UInt32);
}

struct TreeVersion {
  team @0 :Text;
  version @1 :UInt64;
  digest @2 :UInt64;
}

struct SuspectNote {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
  refusedForUs @2 :UInt64;
}

struct Gossip {
  identity @0 :Identity;
  leaving @1 :Bool;
  versions @2 :List(TreeVersion);
  suspects @3 :List(SuspectNote);
  replyWanted @4 :Bool;
  warmups @5 :List(WarmupNote);
  members @6 :List(MemberReport);
}

struct MemberReport {
  identity @0 :Identity;
  leaving @1 :Bool;
  silentUs @2 :UInt64;
}

struct WarmupNote {
  server @0 :Text;
  bootId @1 :Text;
  falls @2 :UInt32;
  limit @3 :UInt32;
}

struct SubtreeRequest {
  teams @0 :List(Text);
}

struct SubtreeReply {
  team @0 :Text;
  version @1 :UInt64;
  text @2 :Data;
}

struct Forward {
  forwardId @0 :UInt64;
  targetIncarnation @1 :UInt64;
  query @2 :Data;
  remainingUs @3 :UInt64;
}

struct ForwardAnswer {
  forwardId @0 :UInt64;
  answer @1 :Data;
}

# A set of shards is a bitmap: bit n % 8 of byte n / 8 stands for shard n of the route.

struct Gather {
  gatherId @0 :UInt64;
  version @1 :UInt64;
  route @2 :Text;
  requestId @3 :Text;
  head @4 :Data;
  body @5 :Data;
  fingerprint @6 :UInt64;
  remainingUs @7 :UInt64;
  shards @8 :Data;
  hedge @9 :Bool;
  workspace @10 :Text;
}

# The signatures follow the order of the shards and are separated by commas.
struct GatherAnswer {
  gatherId @0 :UInt64;
  shards @1 :Data;
  signatures @2 :Text;
  records @3 :Data;
  failed @4 :Data;
  notRun @5 :Data;
  last @6 :Bool;
  refusal @7 :Text;
  overdue @8 :Bool;
}

struct GatherCancel {
  gatherId @0 :UInt64;
}

struct FeedRequest {
  revision @0 :UInt64;
  sentUs @1 :UInt64;
}

# The entries are a list of [key, revision, value, removed] in MessagePack, compressed (zlib).
struct FeedUpdate {
  after @0 :UInt64;
  asOf @1 :UInt64;
  entries @2 :Data;
  ageUs @3 :UInt64;
  regained @4 :Bool;
  requestSentUs @5 :UInt64;
  confirmedAfterUs @6 :Int64;
}

struct ServerNote {
  serverId @0 :Text;
  processStartedMs @1 :UInt64;
  latencyPercent @2 :UInt32;
  failurePercent @3 :UInt8;
  hungMs @4 :UInt32;
  ageMs @5 :UInt32;
  sharePercent @6 :UInt8;
  shareAgeMs @7 :UInt32;
}

struct ServerNotes {
  stage @0 :UInt8;
  notes @1 :List(ServerNote);
  suspects @2 :List(SuspectNote);
}

# The step is the value of TrialStep in mimosapost/model/peer_messages.py.
struct TrialMessage {
  step @0 :UInt8;
  fingerprint @1 :UInt64;
  trialId @2 :UInt64;
  retryAfterUs @3 :UInt64;
  suspects @4 :List(SuspectNote);
}

struct WorkspaceReport {
  reportId @0 :UInt64;
  workspace @1 :Text;
  used @2 :UInt32;
  asked @3 :UInt32;
}

struct WorkspaceGrant {
  reportId @0 :UInt64;
  granted @1 :UInt32;
  open @2 :Bool;
  waitUs @3 :UInt64;
  roomUs @4 :UInt64;
}

struct Envelope {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    heartbeatAnswer @2 :HeartbeatAnswer;
    gossip @3 :Gossip;
    subtreeRequest @4 :SubtreeRequest;
    subtreeReply @5 :SubtreeReply;
    forward @6 :Forward;
    forwardAnswer @7 :ForwardAnswer;
    gather @8 :Gather;
    gatherAnswer @9 :GatherAnswer;
    gatherCancel @10 :GatherCancel;
    feedRequest @11 :FeedRequest;
    feedUpdate @12 :FeedUpdate;
    serverNotes @13 :ServerNotes;
    trialMessage @14 :TrialMessage;
    workspaceReport @15 :WorkspaceReport;
    workspaceGrant @16 :WorkspaceGrant;
  }
}

# Reads an Envelope as a struct that holds only the ordinal (discriminant) of its union. This
# also works for ordinals that this version of the schema does not define.
struct EnvelopeOrdinal {
  ordinal @0 :UInt16;
}
