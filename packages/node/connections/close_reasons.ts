/** Why a server closes a connection whose client might have gone on, as docs/ERRORS.md lists it. */
import type { ValueOf } from "@coltsfootpond/common";

export const CLOSE_REASON = {
  CONNECTION_LIMIT: "connection_limit",
  UNPARSED_LIMIT: "unparsed_limit",
  BODY_LIMIT: "body_limit",
  IDLE: "idle",
  HEAD_TIMEOUT: "head_timeout",
  BODY_TIMEOUT: "body_timeout",
  UNREAD_ANSWER: "unread_answer",
} as const;
export type CloseReason = ValueOf<typeof CLOSE_REASON>;

/** The numbers never get another meaning. */
export const CLOSE_CODE: Readonly<Record<CloseReason, number>> = {
  connection_limit: 3101,
  unparsed_limit: 3102,
  body_limit: 3103,
  idle: 3104,
  head_timeout: 3105,
  body_timeout: 3106,
  unread_answer: 3107,
};
