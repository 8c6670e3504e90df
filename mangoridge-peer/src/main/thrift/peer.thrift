/*
 * The protocol between entry instances.
 *
 * Generate with: thrift --gen java:generated_annotations=suppress -out mangoridge-peer/src/generated/java \
 *     mangoridge-peer/src/main/thrift/peer.thrift
 */
namespace java org.mangoridge.peer.thrift

/** How an instance describes its own state. */
enum InstanceState {
  SERVING = 1,
  DRAINING = 2,
  STOPPED = 3
}

/** What the sender believes of an instance; SUSPECT and DEAD are withdrawn by a greater heartbeat. */
enum Liveness {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3
}

/** What is known of one instance; a greater incarnation, then a greater heartbeat, then a later liveness, is newer. */
struct InstanceRecord {
  1: required string id
  2: required i64 incarnation
  3: required string zone
  4: required string peerAddress
  5: required InstanceState state
  6: required i64 heartbeat
  7: required i64 generation
  8: required Liveness liveness
}

/** The decode slots that one instance holds or has been granted at one server. */
struct SlotCount {
  1: required string server
  2: required i32 inFlight
}

/** A round of gossip: the sender itself, what it learned of others lately, and its own requests at each server. */
struct Gossip {
  1: required InstanceRecord sender
  2: required list<InstanceRecord> known
  3: required list<SlotCount> slots
  /** Equal at two instances that know the same members. */
  4: required i64 viewHash
  /** Whether {@code known} holds every member; the answer to such a message does too. */
  5: required bool full
}

/** Asks for decode slots at a server from the instance that grants them. */
struct CreditRequest {
  1: required string instance
  2: required i64 incarnation
  3: required string server
  4: required i32 wanted
  5: required i32 returned
}

/** Grants decode slots for a short time; none if the receiver is not the one that grants them. */
struct CreditGrant {
  1: required bool isGranter
  2: required i32 granted
  3: required i64 validMillis
}

/** A configuration, or only its generation if the receiver has nothing newer. */
struct ConfigReply {
  1: required i64 generation
  2: optional string hash
  3: optional string text
}

service Peer {
  /** Exchanges views. */
  Gossip exchange(1: Gossip gossip)

  /** Grants decode slots. */
  CreditGrant credits(1: CreditRequest request)

  /** Returns the configuration if it is newer than the generation that the sender has. */
  ConfigReply config(1: i64 knownGeneration)
}
