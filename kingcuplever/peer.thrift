// Messages between kingcuplever's processes.  Every struct has a NamedTuple
// of the same name and fields in kingcuplever/messages.py.
namespace py peer

struct Header { 1: string name, 2: string value }

struct TargetState {
  1: string target, 2: string service_name, 3: i32 slots, 4: i32 busy,
  5: bool draining, 6: optional i64 cold_left_ms
}

struct Heartbeat {
  1: string side, 2: i64 incarnation, 3: i64 sequence,
  4: string data_centre, 5: list<TargetState> targets,
  6: i64 config_version, 7: optional string config
}

struct HeartbeatReply {
  1: string entry, 2: i64 config_version, 3: optional string config
}

struct Dispatch {
  1: string request, 2: string key, 3: bool idempotent, 4: string account,
  5: string service_name, 6: string target, 7: i32 timeout_ms,
  8: list<Header> headers, 9: binary body, 10: i64 incarnation,
  11: bool join_only, 12: i64 turn
}

struct DispatchReply {
  1: string request, 2: string verdict, 3: i32 status,
  4: list<Header> headers, 5: binary body, 6: i32 length, 7: string detail
}

struct Claim {
  1: string request, 2: string key, 3: string runner, 4: i64 incarnation,
  5: string replaces, 6: i64 since_ms, 7: i64 replaces_turn
}

struct ClaimReply {
  1: bool granted, 2: string runner, 3: i64 incarnation, 4: i64 turn
}

struct RunningRow {
  1: string task, 2: i32 run, 3: string saved, 4: i32 percent, 5: i64 usage
}

struct EndedRow {
  1: i64 number, 2: string task, 3: i32 run, 4: string outcome,
  5: string saved
}

struct RefusedRow { 1: string task, 2: i32 run, 3: string reason }

struct WorkerReport {
  1: string worker, 2: string side, 3: string data_centre, 4: string pool,
  5: i64 cpu_milli, 6: i64 memory_mb, 7: i32 gpus, 8: list<string> labels,
  9: bool draining, 10: i64 remaining_ms, 11: bool gone,
  12: list<RunningRow> running, 13: list<EndedRow> ended,
  14: list<RefusedRow> refused, 15: i64 clock_ms, 16: optional i64 orders,
  17: optional bool unreachable, 18: optional bool crashed,
  19: optional bool more, 20: optional bool cut
}

struct WorkerReply {
  1: i64 epoch, 2: optional i64 proof_age_ms, 3: optional bool recorded
}

struct StartRow {
  1: string task, 2: i32 run, 3: string payload, 4: string saved,
  5: string ticket
}

struct StopRow { 1: string task, 2: i32 run }

struct PaceRow { 1: string task, 2: i32 run, 3: i32 percent }

struct WorkerOrders {
  1: i64 epoch, 2: i64 number, 3: string worker, 4: list<StartRow> starts,
  5: list<StopRow> stops, 6: i64 acked, 7: list<PaceRow> paces,
  8: optional i64 evacuations_version, 9: optional list<string> evacuated
}

struct OrdersTaken { 1: i64 number }

struct KeyedRow { 1: string key, 2: binary value }

struct KeepRecords { 1: list<KeyedRow> rows, 2: i32 timeout_ms }

struct RecordsKept { 1: string outcome, 2: string detail }

struct OwnerProbe { 1: i64 epoch }

struct OwnerStatus {
  1: bool owns, 2: i32 failing_ms, 3: i32 failed_tries, 4: i32 next_ms
}

struct JobQuestion { 1: string job }

struct JobAnswer {
  1: bool known, 2: string state, 3: string account, 4: i32 age_ms,
  5: optional string queue
}

struct PeerError { 1: string code, 2: string detail }

union Body {
  1: Heartbeat heartbeat, 2: HeartbeatReply heartbeat_reply,
  3: Dispatch dispatch, 4: DispatchReply dispatch_reply,
  5: PeerError peer_error, 6: Claim claim, 7: ClaimReply claim_reply,
  8: WorkerReport worker_report, 9: WorkerReply worker_reply,
  10: WorkerOrders worker_orders, 11: OrdersTaken orders_taken,
  12: KeepRecords keep_records, 13: RecordsKept records_kept,
  14: OwnerProbe owner_probe, 15: OwnerStatus owner_status,
  16: JobQuestion job_question, 17: JobAnswer job_answer
}

struct Frame { 1: i64 id, 2: bool reply, 3: Body body }
