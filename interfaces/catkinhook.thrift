// Messages between gateways and controllers. All times are durations, because the clocks of
// different hosts are not compared.

namespace py catkinhook.thrift_gen

struct Member {
  1: string node,
  2: i64 incarnation,        // higher after each restart of the controller
  3: i64 heartbeat,          // counter that the member itself increments
  4: string address,         // IP:port of its thrift listener
  5: string zone,
  6: string region,
  7: double weight,
  8: i64 configuration,      // number of the configuration in force there
  9: bool leaving,
}

// Event about a request that may crash endpoints. Between hosts also one about parts of prompts, whose
// kind begins with "part-": fingerprint then names the parts, and sequence counts their quarantines.
struct Suspect {
  1: string fingerprint,     // of model, adapter and body
  2: string model,
  3: string kind,            // crash, probe (a retry alone on its endpoint) or clear (it completed)
  4: string endpoint,        // endpoint that crashed or runs the probe
  5: i32 age_ms,             // time since the event
  6: string origin,          // node that observed the event; origin and sequence identify it
  7: i64 sequence,
  8: string boot_id,         // of the endpoint; a crash that several instances report counts once
}

struct Digest {
  1: Member sender,
  2: list<Member> members,   // bounded; members with recent changes or requested by the receiver
  3: list<Suspect> suspects, // bounded, newest first
  4: i64 configuration,      // number of the configuration in force at the sender
  5: binary beats,           // heartbeats, 12 bytes each: i64 hash of node and incarnation, i32
                             // heartbeat, in network byte order; a bounded random sample
  6: i32 known,              // number of members that the sender counts as live
  7: list<i64> wanted,       // bounded; hashes known from beats only, whose members are requested
  8: list<i64> stale,        // bounded; hashes with the oldest heartbeats at the sender
}

struct Change {
  1: i64 number,             // configuration number
  2: string service_name,
  3: i64 version,            // version of this service's document
  4: string body,            // YAML text, empty if the service was withdrawn
  5: string author,
  6: string nonce,
}

struct ChangeBatch {
  1: i64 number,             // configuration number after all documents below are applied
  2: list<Change> documents, // latest document of each service changed after the given number
}

struct LoadReport {
  1: i32 running,
  2: i32 waiting,
  3: i32 age_ms,
  4: double tokens_per_second,
}

struct EndpointView {
  1: string endpoint,        // "service/host"
  2: string address,         // IP:port
  3: string service_name,
  4: string zone,
  5: string kind,            // engine or plain
  6: bool leaving,
  7: string role,            // mixed, prefill or decode
  8: string boot_id,
  9: list<string> models,    // routable models
  10: list<string> adapters, // routable adapters as "model/adapter"
  11: LoadReport report,
  12: list<string> prefixes, // hashes of cached prompt prefixes; may be outdated
}

struct Demand {
  1: string model,           // "model" or "model/adapter"
  2: double requests_per_second,
  3: i32 in_progress,
  4: i32 unmet,              // requests refused or queued for lack of capacity since last report
}

struct BurnCounter {
  1: string service_name,
  2: string caller_class,
  3: i64 minutes_ago,        // age of the end of the counted interval
  4: i64 total,
  5: i64 met,                // requests that met the latency target of their class
}

struct GatewayReport {
  1: string gateway,
  2: i64 incarnation,
  3: i32 in_progress,
  4: list<Demand> demands,
  5: list<Suspect> suspects,
  6: list<BurnCounter> burn,   // all counters of the retained day, empty if omitted
  7: bool ready,
}

struct SnapshotRequest {
  1: i64 known_revision,     // 0 requests a full snapshot
  2: i64 known_configuration,
  3: i32 wait_ms,            // maximum time for which the controller holds the call until a change
  4: GatewayReport report,
  5: i64 known_incarnation,  // incarnation of the controller that sent known_revision
}

struct SnapshotReply {
  1: i64 revision,
  2: i64 incarnation,        // of the controller
  3: ChangeBatch configuration,
  4: list<EndpointView> endpoints, // endpoints changed after known_revision
  5: list<string> removed,   // endpoints removed after known_revision
  6: list<Suspect> suspects,
  7: double share,           // this host's share of service limits, between 0 and 1
  8: bool current,           // false if neither store nor peers were reachable for too long
  9: i32 members,            // number of live controllers
  10: bool full,             // endpoints is a full snapshot, not a delta
}

struct ModelStatus {
  1: string model,
  2: i32 copies,
  3: list<string> zones,
  4: i32 wanted,
}

struct OrderStatus {
  1: string endpoint,
  2: string order_id,
  3: string kind,
  4: string item,
  5: i32 age_ms,
}

struct InstanceStatus {
  1: Member member,
  2: bool current,
  3: list<ModelStatus> models,
  4: list<OrderStatus> orders,
  5: list<BurnCounter> burn,
  6: list<GatewayReport> gateways,
  7: i32 endpoints,
  8: i32 moves,
}

exception Refused {
  1: string step,
  2: string peer,
  3: string reason,
}

service Controller {
  Digest exchange(1: Digest digest) throws (1: Refused refused),
  ChangeBatch changes_after(1: i64 number) throws (1: Refused refused),
  SnapshotReply snapshot(1: SnapshotRequest request) throws (1: Refused refused),
  // Returns true if the adapter is routable on an endpoint or an order for it is open.
  bool request_adapter(1: string model, 2: string adapter) throws (1: Refused refused),
  InstanceStatus describe() throws (1: Refused refused),
}
