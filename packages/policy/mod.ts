/** Public interface of `@coltsfootpond/policy`: pure decisions on placement, order and balance. */
export * from "./types.ts";
export * from "./guarantees/guarantee_planner.ts";
export * from "./guarantees/quota_split.ts";
export * from "./placement/domain_choice.ts";
export { createPlacementEngine } from "./placement/engine.ts";
export type { PlacementEngineOptions } from "./placement/engine.ts";
export { suitsGuarantee } from "./placement/resources.ts";
export * from "./placement/shape_check.ts";
export * from "./cell/types.ts";
export * from "./cell/eviction.ts";
export * from "./cell/fit.ts";
export * from "./cell/forecast/remaining_time.ts";
export * from "./cell/crashes/crash_evidence.ts";
export * from "./cell/crashes/isolation.ts";
export * from "./cell/job_progress.ts";
export * from "./cell/plan_round.ts";
export * from "./cell/job_rank.ts";
export * from "./cell/urgent_headroom.ts";
