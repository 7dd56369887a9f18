/**
 * One connection of a server, as the stream that Node's HTTP parser reads. The parser is given no
 * more than one request at a time: parts end with the head of a request or with its body, and the
 * next one follows once the request is answered. Until then the rest stays unread.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { ValueOf } from "@coltsfootpond/common";
import { HeadEndFinder } from "./head_end_finder.ts";

/** Longest part of a body or a head that is parsed at a time. */
const PART_BYTES = 8_192;
/** Bytes that are read and dropped after the last answer, so that a reset does not overtake it. */
const LINGER_BYTES = 1_048_576;

/** What a connection waits for. */
export const CONNECTION_PHASE = {
  /** For the first byte of a request. */
  IDLE: "idle",
  /** For the rest of a head. */
  HEAD: "head",
  /** For the rest of a body. */
  BODY: "body",
  /** For the answer to a whole request. */
  SERVING: "serving",
  /** For the client to read the answer. */
  ANSWERED: "answered",
  /** For the client to close the connection after the last answer. */
  LINGERING: "lingering",
} as const;
export type ConnectionPhase = ValueOf<typeof CONNECTION_PHASE>;

/** What a connection tells its owner. */
export interface ConnectionOwner {
  /** The connection can take a turn. */
  requestTurn(connection: BoundedConnection): void;
  /** The phase began anew at this moment. */
  notePhase(connection: BoundedConnection): void;
  noteUnparsed(connection: BoundedConnection, changeBytes: number): void;
  noteRequestEnded(connection: BoundedConnection): void;
  noteClosed(connection: BoundedConnection): void;
}

interface RequestInProgress {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  /** Of a body with a declared length, what the parser was not given yet. */
  bodyBytesLeft: number | undefined;
  isAnswerSent: boolean;
  /** Of its body, what was dropped since the answer was sent. */
  droppedBytes: number;
}

export class BoundedConnection extends Duplex {
  readonly #socket: Socket;
  readonly #owner: ConnectionOwner;
  readonly #headEnds = HeadEndFinder.create();
  /** Received bytes that the parser was not given yet. */
  #unparsed: Buffer | undefined;
  /** Memory that `#unparsed` keeps, which is that of the whole read. */
  #unparsedBytes = 0;
  #request: RequestInProgress | undefined;
  #wantsMore = false;
  #isHeadBegun = false;
  #closesAfterAnswer = false;
  /** The client sends nothing more. */
  #hasEnded = false;
  /** The parser was told so. */
  #isEndPassedOn = false;
  #isLingering = false;
  #lingeredBytes = 0;

  private constructor(socket: Socket, owner: ConnectionOwner) {
    super({
      readableHighWaterMark: 1,
      decodeStrings: false,
      allowHalfOpen: true,
    });
    this.#socket = socket;
    this.#owner = owner;
    socket.on("readable", () => this.#receive());
    socket.on("end", () => this.#receiveEnd());
    socket.on("error", () => this.destroy());
    socket.on("close", () => this.destroy());
  }

  /** The socket must not have been read from; its high water mark is 0. */
  static create(socket: Socket, owner: ConnectionOwner): BoundedConnection {
    return new BoundedConnection(socket, owner);
  }

  get phase(): ConnectionPhase {
    if (this.#isLingering) return CONNECTION_PHASE.LINGERING;
    if (this.#request !== undefined) {
      const { incoming, response } = this.#request;
      if (!incoming.complete) return CONNECTION_PHASE.BODY;
      return response.writableEnded
        ? CONNECTION_PHASE.ANSWERED
        : CONNECTION_PHASE.SERVING;
    }
    return this.#isHeadBegun ? CONNECTION_PHASE.HEAD : CONNECTION_PHASE.IDLE;
  }

  get unparsedBytes(): number {
    return this.#unparsedBytes;
  }

  /** The parser has read the head of a request. */
  beginRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const length = Number(incoming.headers["content-length"]);
    const request: RequestInProgress = {
      incoming,
      response,
      bodyBytesLeft: length > 0 ? length : undefined,
      isAnswerSent: false,
      droppedBytes: 0,
    };
    this.#isHeadBegun = false;
    this.#request = request;
    response.once("prefinish", () => this.#owner.notePhase(this));
    response.once("close", () => {
      request.isAnswerSent = true;
      this.#continue();
    });
  }

  /** Gives the parser the next part; returns whether there is one for a further turn. */
  takeTurn(): boolean {
    const part = this.#canTakeTurn ? this.#cutPart() : undefined;
    if (part === undefined) return false;
    if (this.#request === undefined && !this.#isHeadBegun) {
      this.#isHeadBegun = true;
      this.#owner.notePhase(this);
    }
    this.#wantsMore = false;
    this.push(part);
    this.#endRequestIfComplete();
    if (this.#canTakeTurn) return true;
    if (!this.destroyed && !this.#isLingering) this.#readMore();
    return false;
  }

  /** Drops what the client has sent ahead; the connection is closed after the answer in progress. */
  dropUnparsed(): void {
    this.#setUnparsed(undefined);
    this.closeAfterAnswer();
  }

  /** Closes the connection after the answer that is in progress. */
  closeAfterAnswer(): void {
    const response = this.#request?.response;
    if (response === undefined) {
      this.end();
      return;
    }
    this.#closesAfterAnswer = true;
    // Announced in the answer's head unless that was sent.
    response.shouldKeepAlive = false;
  }

  /** Answers bytes that are no request and closes the connection. */
  reject(status: string): void {
    const isAnswerBegun = this.#request?.response.headersSent === true;
    if (this.destroyed || !this.writable || isAnswerBegun) {
      this.destroy();
      return;
    }
    this.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
  }

  override _read(): void {
    this.#wantsMore = true;
    this.#continue();
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    // Node ends an answer with an empty chunk.
    const parts = chunks.filter(({ chunk }) => chunk.length > 0);
    const last = parts.pop();
    if (last === undefined) {
      callback();
      return;
    }
    this.#socket.cork();
    for (const { chunk, encoding } of parts) {
      this.#socket.write(chunk, encoding);
    }
    this.#socket.write(last.chunk, last.encoding, callback);
    this.#socket.uncork();
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.#socket.end();
    if (this.#hasEnded) {
      this.#socket.destroySoon();
    } else {
      this.#isLingering = true;
      this.#setUnparsed(undefined);
      this.#owner.notePhase(this);
      this.#socket.read(0);
    }
    callback();
  }

  override _destroy(
    _error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    this.#socket.destroy();
    this.#setUnparsed(undefined);
    this.#endRequest();
    this.#owner.noteClosed(this);
    // An error of the connection concerns its client only.
    callback(null);
  }

  get #canTakeTurn(): boolean {
    return this.#wantsMore && this.#unparsed !== undefined && !this.#isServing;
  }

  /** A whole request was read and its answer has not been sent. */
  get #isServing(): boolean {
    return this.#request?.incoming.complete === true;
  }

  #receive(): void {
    const chunk: Buffer | null = this.#socket.read();
    if (chunk === null) return;
    if (this.#isLingering) {
      this.#lingeredBytes += chunk.byteLength;
      if (this.#lingeredBytes > LINGER_BYTES) this.destroy();
      else this.#socket.read(0);
      return;
    }
    this.#setUnparsed(chunk);
    if (this.#canTakeTurn) this.#owner.requestTurn(this);
  }

  #receiveEnd(): void {
    this.#hasEnded = true;
    if (this.#isLingering) this.#socket.destroySoon();
    else this.#readMore();
  }

  #continue(): void {
    this.#endRequestIfComplete();
    if (this.destroyed || this.#isLingering) return;
    if (this.#canTakeTurn) this.#owner.requestTurn(this);
    else this.#readMore();
  }

  /** Reads from the socket, also during a request, so that a reset by the client is noticed. */
  #readMore(): void {
    if (this.#unparsed !== undefined) return;
    if (!this.#hasEnded) {
      this.#socket.read(0);
    } else if (!this.#isEndPassedOn && !this.#isServing) {
      this.#isEndPassedOn = true;
      this.push(null);
    }
  }

  /** The next bytes up to the end of a head or a body, or as many as may be parsed at a time. */
  #cutPart(): Buffer | undefined {
    const unparsed = this.#unparsed;
    if (unparsed === undefined) return undefined;
    const request = this.#request;
    const left = request?.bodyBytesLeft;
    const longest = unparsed.subarray(
      0,
      Math.min(PART_BYTES, left ?? PART_BYTES),
    );
    const length = left === undefined
      ? this.#headEnds.find(longest) ?? longest.byteLength
      : longest.byteLength;
    if (request !== undefined) {
      if (left !== undefined) request.bodyBytesLeft = left - length;
      if (request.isAnswerSent) request.droppedBytes += length;
    }
    if (length === unparsed.byteLength) this.#setUnparsed(undefined);
    else this.#unparsed = unparsed.subarray(length);
    return unparsed.subarray(0, length);
  }

  #setUnparsed(chunk: Buffer | undefined): void {
    const bytes = chunk?.buffer.byteLength ?? 0;
    const changeBytes = bytes - this.#unparsedBytes;
    this.#unparsed = chunk;
    this.#unparsedBytes = bytes;
    if (changeBytes !== 0) this.#owner.noteUnparsed(this, changeBytes);
  }

  #endRequestIfComplete(): void {
    const request = this.#request;
    if (request?.isAnswerSent !== true) return;
    if (request.incoming.complete) {
      this.#endRequest();
      this.#owner.notePhase(this);
    }
    const isTooLong = request.droppedBytes > LINGER_BYTES;
    if (this.#closesAfterAnswer || isTooLong) this.end();
  }

  #endRequest(): void {
    if (this.#request === undefined) return;
    this.#request = undefined;
    this.#owner.noteRequestEnded(this);
  }
}
