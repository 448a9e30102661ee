// Messages between hosts and the holder of the order lease. All times are durations, because the
// clocks of different hosts are not compared.

include "catkinhook.thrift"

namespace py catkinhook.thrift_hosts

struct ItemDemand {
  1: string service_name,
  2: string item,            // model or model/adapter, empty for a plain service
  3: i32 rate,               // requests per 1,000 s
  4: i32 unmet,              // requests refused for lack of capacity per 1,000 s
  5: i32 waiting,
  6: i32 running,
}

struct EndpointUse {
  1: string endpoint,
  2: i32 running,            // requests of the sender in progress at the endpoint
  3: string model,           // model of these requests, empty for plain services and sums
  4: optional i32 prompt_tokens,   // prompt tokens of these requests that are not read yet
  5: optional i32 reserved_tokens, // KV cache tokens that these requests reserve
}

// Measured speed of an endpoint, without the load on it.
struct EndpointSpeed {
  1: string endpoint,
  2: i32 prompt_token_ns,    // time to read a prompt token, in nanoseconds, 0 if not measured
  3: i32 event_us,           // time between two events of a stream, in microseconds, 0 if not measured
  4: i32 weight,             // observations behind it, decayed, in hundredths
  5: optional i32 pace,      // latest factor that the endpoint told, in hundredths; 100 is usual
  6: optional i32 pace_age_ms,
}

// Use of a workspace's limit by one host.
struct WorkspaceUse {
  1: string workspace,
  2: i64 demand,             // tokens per second that its callers ask for, over the limit included
  3: i64 share,              // tokens per second that the sender may admit, as last granted
  4: i32 share_left_ms,      // time until this share lapses
  5: i64 balance,            // tokens that the sender may still admit now; negative if overdrawn
  6: i64 wanted,             // tokens of requests that wait for credit
  7: i64 admitted,           // tokens admitted since the sender started
}

// Part of a workspace's limit that the receiver may use.
struct WorkspaceShare {
  1: string workspace,
  2: i64 share,              // tokens per second
  3: i64 credit,             // tokens to add to the balance once
  4: i32 lapses_in_ms,
}

// What a host asks for of a workspace's limit.
struct CreditWish {
  1: string workspace,
  2: i64 needed,             // tokens of requests that wait
  3: i64 advance,            // tokens for the near future, granted only from an ample pool
}

struct CreditRequest {
  1: i64 fence,              // fencing token of the holder that is asked
  2: string node,
  3: string incarnation,
  4: i64 sequence,           // number of the call since the start of the sender
  5: i64 configuration,      // version of the configuration in force at the sender
  6: list<CreditWish> wishes,
}

struct CreditGrant {
  1: string workspace,
  2: i64 tokens,             // to add to the balance once
}

struct CreditAnswer {
  1: i64 fence,
  2: bool holds,             // false if the sender does not hold the lease
  3: i64 configuration,      // version of the configuration from which the grants are derived
  4: list<CreditGrant> grants,
}

struct LeavingEndpoint {
  1: string endpoint,
  2: string boot_id,
  3: i32 age_ms,             // time since an answer of this boot said that it leaves
}

struct HostReport {
  1: string node,
  2: string address,         // IP:port of its thrift listener
  3: string incarnation,     // differs after each restart
  4: i64 configuration,      // version of the configuration in force there
  5: list<ItemDemand> items,
  6: list<EndpointUse> uses,
  7: list<catkinhook.Suspect> suspects,
  8: bool stopping,
  9: i64 known_fence,        // fencing token of the latest view that the sender received
  10: i64 known_revision,    // revision of that view
  11: list<string> down,     // endpoints that the sender recently failed to reach
  12: optional list<LeavingEndpoint> leaving, // older senders leave it out
  13: optional string zone,       // availability zone of the sender
  14: optional i32 millicores,    // CPU capacity of the sender in thousandths of a core
  15: optional i64 known_members, // revision of the last list of addresses that the sender received
  16: optional list<EndpointSpeed> speeds,
  17: optional list<WorkspaceUse> workspaces,
  18: optional i64 limit_number,  // rises with each report of an incarnation that has workspaces
}

struct Holding {
  1: string endpoint,
  2: string boot_id,
  3: i64 sequence,           // number of orders that the engine accepted since its start
  4: list<string> models,    // routable models
  5: list<string> adapters,  // as model/adapter
}

struct ExpectedItem {
  1: string service_name,
  2: string item,
  3: i32 wait_ms,            // estimated time until the item is available
}

struct Reader {
  1: string address,         // IP:port of its thrift listener
  2: string zone,
}

struct HolderView {
  1: string node,
  2: i64 fence,
  3: bool holds,             // false if the sender does not hold the lease
  4: list<Holding> holdings, // holdings that changed after known_revision of the report
  5: list<ExpectedItem> expected,
  6: list<string> addresses, // of all hosts that reported recently, empty if not newer
  7: i64 configuration,
  8: list<catkinhook.Suspect> suspects,
  9: i64 lease_version,      // version of the lease's row in the store
  10: i64 revision,          // of the holdings
  11: list<EndpointUse> uses,// requests in progress of all hosts
  12: optional list<LeavingEndpoint> leaving, // older senders leave it out
  13: optional list<Reader> readers, // hosts that follow the store; unset if not chosen yet
  14: optional i64 members,          // revision of the list of addresses
  15: optional i32 host_count,       // hosts that reported recently
  16: optional list<EndpointSpeed> speeds,   // merged over all hosts
  17: optional list<WorkspaceShare> shares,  // for the receiver
}

// What the sender of a request for shared state has.
struct KnownState {
  1: i64 endpoints,          // version of the endpoint table, -1 to receive all entries
  2: i64 configuration,
  3: i64 lease,              // version of the lease's row
  4: i32 wait_ms,            // time for which the answer may be held until there is something newer
}

struct SharedState {
  1: i32 age_ms,                      // time since the sender's state was read from the store
  2: i64 endpoints,                   // version of the store's endpoint table that the sender has
  3: bool has_all_entries,            // whether entry_by_id has all entries
  4: map<string, binary> entry_by_id, // as stored
  5: list<string> removed,
  6: i64 configuration,
  7: binary configuration_text,       // as stored, compressed; empty if not newer
  8: i64 lease,
  9: binary lease_record,             // as stored; empty if not newer
}

service Host {
  HolderView exchange(1: HostReport report) throws (1: catkinhook.Refused refused),
  // Returns the shared state that is newer than what the caller has.
  SharedState follow(1: KnownState known) throws (1: catkinhook.Refused refused),
  // Grants credit of workspaces' limits without a report; refused if the holder gets too many calls.
  CreditAnswer credit(1: CreditRequest request) throws (1: catkinhook.Refused refused),
}
