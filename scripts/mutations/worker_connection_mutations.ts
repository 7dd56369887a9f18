/** Mutations of the checks that bind commands to connections of one incarnation of a worker. */
import type { Mutation } from "./types.ts";

const CONNECTIONS = "platform/worker_connections";
const HTTP_CLIENT = "packages/ports/http/http_client.ts";
const CONNECTIONS_TEST = `${CONNECTIONS}/worker_connections_test.ts`;
const ENDED_TEST = `${CONNECTIONS}/ended_connections_test.ts`;
const HTTP_TEST = "packages/ports/http/http_connection_test.ts";
const ONE_INCARNATION = "commands reach one incarnation";

export const WORKER_CONNECTION_MUTATIONS: readonly Mutation[] = [
  {
    name: "take any report as one of the named incarnation",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find:
      `answer.metadata?.incarnationStartUnixMs === call.incarnationStartUnixMs;`,
    replace: `answer.metadata !== undefined;`,
    spec: CONNECTIONS_TEST,
    title: "that has taken over the port",
  },
  {
    name: "write a command to whichever connection is open",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `    return rejection ?? await this.#send(call, deadlineMs, true);`,
    replace:
      `    return rejection ?? await this.#send(call, deadlineMs, false);`,
    spec: ENDED_TEST,
    title: "closed right after its report",
  },
  {
    name: "keep the incarnation when the connection is another one",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `return this.isOpen && this.#incarnation?.worker === worker`,
    replace: `return this.#incarnation?.worker === worker`,
    furtherEdits: [{
      file: `${CONNECTIONS}/worker_connection.ts`,
      find: `...(isBound ? { connection: this.#connection } : {}),`,
      replace: ``,
    }],
    spec: CONNECTIONS_TEST,
    title: "that has taken over the port",
  },
  {
    name: "keep the incarnation of an earlier worker at the address",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `return this.isOpen && this.#incarnation?.worker === worker`,
    replace: `return this.isOpen && this.#incarnation !== undefined`,
    spec: CONNECTIONS_TEST,
    title: "share an address in turn",
  },
  {
    name: "keep the first incarnation that reported over a connection",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `      this.#incarnation = {
        worker`,
    replace: `      this.#incarnation ??= {
        worker`,
    spec: CONNECTIONS_TEST,
    title: "take the incarnation of the newest report",
  },
  {
    name: "send the lease with the request that identifies the incarnation",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `      content: { fence: call.epoch, lastSeen: 0 },`,
    replace: `      content: call.content,`,
    spec: CONNECTIONS_TEST,
    title: "that has taken over the port",
  },
  {
    name: "ask for a report before each command",
    promise: "few reports",
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `    if (known === call.incarnationStartUnixMs) return undefined;`,
    replace: ``,
    spec: CONNECTIONS_TEST,
    title: "ask for one report each",
  },
  {
    name: "ask again over a connection of another incarnation",
    promise: "few reports",
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `if (known !== undefined && call.path !== REPORT_PATH) {`,
    replace: `if (call === undefined) {`,
    spec: CONNECTIONS_TEST,
    title: "are not asked again",
  },
  {
    name: "ask for a report before every renewal",
    promise: "few reports",
    file: `platform/worker_client.ts`,
    find:
      `const isForAny = leaseUntilMs === undefined && acknowledgedSequence === 0;`,
    replace: `const isForAny = command.incarnationStartUnixMs === undefined;`,
    spec: CONNECTIONS_TEST,
    title: "carry a renewal without a lease",
  },
  {
    name: "bind only the renewals with a lease",
    promise: ONE_INCARNATION,
    file: `platform/worker_client.ts`,
    find:
      `const isForAny = leaseUntilMs === undefined && acknowledgedSequence === 0;`,
    replace: `const isForAny = leaseUntilMs === undefined;`,
    spec: CONNECTIONS_TEST,
    title: "that has taken over the port",
  },
  {
    name: "count a failed request for a report as a lost command",
    promise: "unsent commands are refused",
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `return { ...answer, effect: UNAVAILABLE_EFFECT.REFUSED };`,
    replace: `return answer;`,
    spec: CONNECTIONS_TEST,
    title: "refuse a command whose report does not arrive",
  },
  {
    name: "give the command a time-out of its own",
    promise: "time-outs",
    file: `${CONNECTIONS}/worker_connection.ts`,
    find: `const timeoutMs = deadlineMs - performance.now();`,
    replace: `const timeoutMs = 120;`,
    spec: CONNECTIONS_TEST,
    title: "by one time-out",
  },
  {
    name: "leave waiting commands waiting when a worker is forgotten",
    promise: "forgotten workers",
    file: `${CONNECTIONS}/worker_connections.ts`,
    find: `for (const waiter of this.#waiters) waiter(undefined);`,
    replace: ``,
    spec: CONNECTIONS_TEST,
    title: "when they are forgotten",
  },
  {
    name: "keep idle connections to an incarnation that has been replaced",
    promise: ONE_INCARNATION,
    file: `${CONNECTIONS}/worker_connections.ts`,
    find: `if (isOther && !other.isBusy) other.close();`,
    replace: ``,
    spec: ENDED_TEST,
    title: "include those of an incarnation that has been replaced",
  },
  {
    name: "let a request wait for its connection in the pool",
    promise: ONE_INCARNATION,
    file: HTTP_CLIENT,
    find: `if (connection !== undefined && !this.#isIdle(connection)) {`,
    replace: `if (connection !== undefined && !connection.writable) {`,
    spec: HTTP_TEST,
    title: "while another request uses it",
  },
  {
    name: "open another connection for a request whose own has been closed",
    promise: ONE_INCARNATION,
    file: HTTP_CLIENT,
    find: `if (connection !== undefined && !this.#isIdle(connection)) {`,
    replace: `if (connection === null) {`,
    spec: HTTP_TEST,
    title: "opens no other",
  },
  {
    name: "write a request to the connection that the pool chooses",
    promise: ONE_INCARNATION,
    file: HTTP_CLIENT,
    find: `if (connection !== undefined && socket !== connection) {`,
    replace: `if (socket === undefined) {`,
    spec: HTTP_TEST,
    title: "when the pool chooses another",
  },
  {
    name: "write a request that may not be sent any more",
    promise: "commands of the holder only",
    file: HTTP_CLIENT,
    find: `        if (maySend?.() === false) {
          return void`,
    replace: `        if (maySend === null) {
          return void`,
    spec: HTTP_TEST,
    title: "may not be sent any more",
  },
  {
    name: "open a connection for a request that may not be sent",
    promise: "commands of the holder only",
    file: HTTP_CLIENT,
    find:
      `    if (maySend?.() === false) return Promise.resolve(refused(NOT_SENT));`,
    replace: ``,
    spec: CONNECTIONS_TEST,
    title: "carry nothing at all",
  },
  {
    name: "skip an item of a report that can't be decoded",
    promise: "no task twice",
    file: "platform/worker_report.ts",
    find: `      return { items: [], unreadable: \`\${name}[\${position}]\` };`,
    replace: `      continue;`,
    spec: "platform/worker_reports/unreadable_report_test.ts",
    title: "counts as no answer",
  },
  {
    name: "read a missing list of a report as empty",
    promise: "no task twice",
    file: "platform/worker_report.ts",
    find: `return { items: [], unreadable: name };`,
    replace: `return { items: [] };`,
    spec: "platform/worker_reports/unreadable_report_test.ts",
    title: "counts as no answer",
  },
];
