/*
 * Reports of the load that entry instances put on servers, exchanged between instances in batches, one per datagram.
 *
 * Generate with: thrift --gen java:generated_annotations=suppress -out mangoridge-gateway/src/generated/java \
 *     mangoridge-gateway/src/main/thrift/load.thrift
 */
namespace java org.mangoridge.gateway.thrift

/** The load that the sender puts on one server. */
struct ServerShare {
  1: required string server
  2: required i32 requests
  3: required i64 prefillTokens
  4: required i64 kvTokens
  /** Tokens that the requests are expected to add to their KV cache. */
  5: optional i64 growthTokens = 0
}

/** The demand of the sender for one service. */
struct ServiceDemand {
  1: required string serviceName
  /** In proportion to the rate of its requests; 1 for an idle service. */
  2: required i32 weight
}

/** What the requests of one workspace have used at the sender; counts are cumulative. */
struct WorkspaceUsage {
  1: required string workspace
  /** Units that were asked for since the sender opened its account of the workspace. */
  2: required i64 asked
  /** Units of these that were granted. */
  3: required i64 granted
  /** How long ago the account was opened. */
  4: required i64 ageMillis
}

/** The load that one instance puts on all servers; a greater sequence number replaces a smaller one. */
struct LoadMessage {
  1: required string sender
  /** When the sender started, as Unix milliseconds; tells its runs apart. */
  2: required i64 startedMillis
  3: required i64 sequence
  4: required list<ServerShare> shares
  /** Addresses, HOST:PORT, of instances that the sender heard of lately. */
  5: required list<string> peers
  /** The version of the configuration that the sender has, -1 if none. */
  6: required i64 configVersion
  /** Whether the sender ends and will not report again. */
  7: required bool leaving
  /** Where the sender takes reports, HOST:PORT; a relay passes its message on from another address. */
  8: required string address
  /** The availability zone of the sender. */
  9: required string zone
  /** The processor time that the sender may use, in thousandths of a core. */
  10: required i32 milliCores
  /** Whether the sender passes the reports of others on. */
  11: required bool relaying
  /** The store's revision at the newest change of a server that the sender knows, -1 if it knows none. */
  12: required i64 serversRevision
  /** The era of the store that the revision belongs to; rises when the store is restored from a copy. */
  13: optional i64 storeEra = 0
  /** The services that the sender is not idle for. */
  14: optional list<ServiceDemand> demands = []
  /** The use of workspaces that has changed lately. */
  15: optional list<WorkspaceUsage> usages = []
}

/** The shared parts of a prompt, in order, and the fingerprint of the request. */
struct ImplicatedRequest {
  1: required list<string> parts
}

/** The crash of one run of a server. */
struct ServerCrash {
  1: required string server
  /** When the run started, as Unix milliseconds. */
  2: required i64 startedMillis
  /** How long ago it ended. */
  3: required i64 ageMillis
  /** The requests that it was about to answer or had just begun to answer. */
  4: required list<ImplicatedRequest> requests
}

/** The decayed number of sound answers to requests with a part. */
struct SoundPart {
  1: required string part
  2: required double answers
}

/** What the sender knows of the rate that one run of a server takes from all instances together. */
struct ServerLimit {
  1: required string server
  /** When the run started, as Unix milliseconds. */
  2: required i64 startedMillis
  /** Increases with each change of the limit; a greater one is newer. */
  3: required i64 version
  /** Requests per second; absent if the limit has ended. */
  4: optional double requestsPerSecond
  /** How long ago an answer of the run announced a limit. */
  5: required i64 silenceMillis
}

/** One run of a server that has said in an answer that it leaves. */
struct ServerDeparture {
  1: required string server
  /** When the run started, as Unix milliseconds. */
  2: required i64 startedMillis
  /** How long ago it was first heard to say so. */
  3: required i64 ageMillis
}

/** Several reports in one datagram; each is an encoded LoadMessage, so that a relay need not encode it again. */
struct LoadBatch {
  1: required list<binary> reports
  /** Whether the receiver is to pass the reports on, and to send the sender those of others. */
  2: required bool passOn
  /** Crashes of servers that the sender knows of, by its own observation or from others; some of them at a time. */
  3: optional list<ServerCrash> crashes = []
  /** Sound answers for parts that these crashes implicate. */
  4: optional list<SoundPart> soundParts = []
  /** Limits of servers that the sender knows, by their answers or from others; some of them at a time. */
  5: optional list<ServerLimit> limits = []
  /** Runs of servers that leave, by their own word to the sender or to others; some of them at a time. */
  6: optional list<ServerDeparture> departures = []
}
