/** The actions that the property-based test applies to the model. */

/** One fault or operator's action; `entry` and `other` are taken modulo the number of entries. */
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
    /** A table outage in which an entry joins that reaches the table but not `entry`. */
    | "join_in_outage"
    /** `entry` is disconnected for longer than a lease; then the table fails and links return. */
    | "takeover_then_outage"
    | "stale_head"
    | "lose_answer"
    | "delay_write"
    | "out"
    | "in"
    | "apply";
  readonly entry: number;
  readonly other: number;
  /** Steps that the model runs after the action. */
  readonly steps: number;
}
