// Messages between the project's own processes.  Every struct has a
// NamedTuple of the same name and fields in kingcuplever/messages.py.
namespace py peer

struct Header { 1: string name, 2: string value }

struct TargetState {
  1: string target, 2: string service_name, 3: i32 slots, 4: i32 busy,
  5: bool draining
}

struct WorkerState {
  1: string worker, 2: string rack, 3: double cores, 4: double memory_gb,
  5: i32 gpus
}

struct TaskState {
  1: string job, 2: i32 attempt, 3: i32 task, 4: string phase,
  5: string detail, 6: double progress, 7: double cores_used,
  8: double memory_used_gb
}

struct Heartbeat {
  1: string side, 2: i64 incarnation, 3: i64 sequence,
  4: string data_centre, 5: list<TargetState> targets,
  6: optional WorkerState worker, 7: list<TaskState> tasks,
  8: i64 config_version, 9: i64 epoch, 10: optional string config
}

struct GangLease { 1: string job, 2: i32 attempt, 3: i32 ttl_ms }

struct AttemptId { 1: string job, 2: i32 attempt }

struct HeartbeatReply {
  1: string entry, 2: i64 epoch, 3: list<GangLease> leases,
  4: list<AttemptId> forget, 5: i64 config_version,
  6: optional string config
}

struct Dispatch {
  1: string request, 2: string key, 3: bool idempotent, 4: string account,
  5: string service_name, 6: string target, 7: i32 timeout_ms,
  8: list<Header> headers, 9: binary body, 10: i64 incarnation,
  11: bool join_only
}

struct DispatchReply {
  1: string request, 2: string verdict, 3: i32 status,
  4: list<Header> headers, 5: binary body, 6: i32 length, 7: string detail
}

struct Claim {
  1: string request, 2: string key, 3: string runner, 4: i64 incarnation,
  5: string replaces, 6: i64 since_ms
}

struct ClaimReply {
  1: bool granted, 2: string runner, 3: i64 incarnation
}

struct TaskOrder {
  1: i32 task, 2: i32 gpu_mask, 3: double cores, 4: double memory_gb,
  5: string payload, 6: double progress
}

struct Reserve {
  1: i64 epoch, 2: string job, 3: i32 attempt, 4: list<TaskOrder> tasks,
  5: i32 ttl_ms
}

struct Go {
  1: i64 epoch, 2: string job, 3: i32 attempt, 4: i64 after_sequence,
  5: i32 ttl_ms
}

struct Stop {
  1: i64 epoch, 2: string job, 3: i32 attempt, 4: i32 checkpoint_ms
}

struct Throttle {
  1: i64 epoch, 2: string job, 3: i32 attempt, 4: i32 task
}

struct TaskReport {
  1: string side, 2: i64 incarnation, 3: i64 sequence, 4: bool accepted,
  5: string detail, 6: list<TaskState> tasks, 7: i64 epoch
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
  14: list<RefusedRow> refused, 15: i64 clock_ms
}

struct WorkerReply { 1: i64 epoch }

struct StartRow {
  1: string task, 2: i32 run, 3: string payload, 4: string saved,
  5: string ticket
}

struct StopRow { 1: string task, 2: i32 run }

struct PaceRow { 1: string task, 2: i32 run, 3: i32 percent }

struct WorkerOrders {
  1: i64 epoch, 2: i64 number, 3: string worker, 4: list<StartRow> starts,
  5: list<StopRow> stops, 6: i64 acked, 7: list<PaceRow> paces
}

struct OrdersTaken { 1: i64 number }

struct PeerError { 1: string code, 2: string detail }

union Body {
  1: Heartbeat heartbeat, 2: HeartbeatReply heartbeat_reply,
  3: Dispatch dispatch, 4: DispatchReply dispatch_reply,
  5: Reserve reserve, 6: Go go, 7: Stop stop, 8: Throttle throttle,
  9: TaskReport task_report, 10: PeerError peer_error, 11: Claim claim,
  12: ClaimReply claim_reply, 13: WorkerReport worker_report,
  14: WorkerReply worker_reply, 15: WorkerOrders worker_orders,
  16: OrdersTaken orders_taken
}

struct Frame { 1: i64 id, 2: bool reply, 3: Body body }
