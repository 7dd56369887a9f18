/** The list of all commands, in the order in which help prints them. */
import type { Command } from "./command.ts";
import { APPLY_COMMAND } from "./commands/apply.ts";
import { CHECK_COMMAND } from "./commands/check.ts";
import { DOMAIN_COMMAND } from "./commands/domain.ts";
import {
  CANCEL_COMMAND,
  GET_COMMAND,
  SUBMIT_COMMAND,
} from "./commands/requests.ts";
import { EXPLAIN_COMMAND } from "./commands/explain.ts";
import { STATUS_COMMAND } from "./commands/status.ts";
import { TIMELINE_COMMAND } from "./commands/timeline.ts";

export const COMMANDS: readonly Command[] = [
  CHECK_COMMAND,
  APPLY_COMMAND,
  STATUS_COMMAND,
  DOMAIN_COMMAND,
  SUBMIT_COMMAND,
  GET_COMMAND,
  CANCEL_COMMAND,
  TIMELINE_COMMAND,
  EXPLAIN_COMMAND,
];
