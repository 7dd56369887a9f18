/** Names of the cell's background activities, for the log and as label values of metrics. */
import type { ValueOf } from "@coltsfootpond/common";

/** Work that no caller awaits. Each failure is reported under one of these names. */
export const BACKGROUND_ACTIVITY = {
  ANNOUNCE_PEER: "announce_peer",
  APPLY_DECLARED_STATE: "apply_declared_state",
  APPLY_JOB_ROWS: "apply_job_rows",
  APPLY_LEASE_CHANGE: "apply_lease_change",
  APPLY_LEASE_ROW: "apply_lease_row",
  APPLY_LOAD_ROW: "apply_load_row",
  APPLY_PEER_ROWS: "apply_peer_rows",
  CALL_STORE: "call_store",
  COLLECT_ENDED_JOBS: "collect_ended_jobs",
  COPY_PEER_ROWS: "copy_peer_rows",
  FOLLOW_TABLE: "follow_table",
  LEASE: "lease",
  POLL_WORKER: "poll_worker",
  PROBE_STORE: "probe_store",
  PUBLISH_LOAD: "publish_load",
  READ_WORKERS: "read_workers",
  RESOLVE_STRAY: "resolve_stray",
  SCHEDULE_ROUND: "schedule_round",
  SERVE_CALLER: "serve_caller",
  SERVE_METRICS: "serve_metrics",
  SERVE_PEER: "serve_peer",
  START_SCHEDULER: "start_scheduler",
  START_TASK: "start_task",
  STOP_SCHEDULER: "stop_scheduler",
  STOP_TASK: "stop_task",
  TICK: "tick",
  UPDATE_SPEEDS: "update_speeds",
  WATCH_EVENT_LOOP: "watch_event_loop",
  WRITE_BEGUN_JOBS: "write_begun_jobs",
  WRITE_PROGRESS: "write_progress",
  WRITE_ROSTER: "write_roster",
  /** An error that none of the others has reported. */
  UNOWNED: "unowned",
} as const;
export type BackgroundActivity = ValueOf<typeof BACKGROUND_ACTIVITY>;
