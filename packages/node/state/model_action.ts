/** What the property-based test does to the model. */

/** One fault or operator's act; `entry` and `other` are taken modulo the number of entries. */
export interface ModelAction {
  readonly kind:
    | "wait"
    | "pause"
    | "thaw"
    | "kill"
    | "join"
    | "cut_store"
    | "mend_store"
    | "cut_all_stores"
    | "mend_all_stores"
    | "cut_link"
    | "mend_link"
    | "isolate"
    | "mend_all_links"
    /** A store outage in which one entry joins that reaches the store but not `entry`. */
    | "join_in_outage"
    /** `entry` is cut off for longer than a term; then the store fails and the links mend. */
    | "takeover_then_outage"
    | "stale_head"
    | "lose_answer"
    | "delay_write"
    | "out"
    | "in"
    | "apply";
  readonly entry: number;
  readonly other: number;
  /** Steps that pass after it. */
  readonly steps: number;
}
