/*
 * What entry instances tell each other of the load that they put on servers, one message a datagram.
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
}
