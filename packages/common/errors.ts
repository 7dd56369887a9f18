/** The error type that carries a numbered result code from where it arises to the response. */
import VError from "verror";
import { RESULT, type ResultCodeRow, type ResultName } from "./result_codes.ts";

/** Details of a `CodedError`. The default message is the result code's title. */
export interface CodedErrorOptions {
  readonly message?: string;
  readonly cause?: Error;
  /** Delay after which the caller may try again; sent as `Retry-After`. */
  readonly retryAfterMs?: number;
}

/** An error with a result code of `RESULT` (`result_codes.ts`). */
export class CodedError extends VError {
  readonly resultName: ResultName;
  readonly retryAfterMs: number | undefined;

  private constructor(resultName: ResultName, options: CodedErrorOptions) {
    super(
      { name: "CodedError", cause: options.cause },
      "%s",
      options.message ?? RESULT[resultName].title,
    );
    this.resultName = resultName;
    this.retryAfterMs = options.retryAfterMs;
  }

  static create(
    resultName: ResultName,
    options: CodedErrorOptions = {},
  ): CodedError {
    return new CodedError(resultName, options);
  }

  get result(): ResultCodeRow {
    return RESULT[this.resultName];
  }
}

/** Returns a `CodedError` as it is, and any other error as the cause of an `INTERNAL` one. */
export function toCodedError(error: unknown): CodedError {
  if (error instanceof CodedError) return error;
  const cause = error instanceof Error ? error : new Error(String(error));
  return CodedError.create("INTERNAL", { cause, message: cause.message });
}
