/**
 * Checks of the answers of the platform's services. An answer of another shape counts as none; of
 * the list of VMs only the entries that cannot be used are left out, as the others hold without them.
 */
import { isPort } from "@coltsfootpond/common";
import {
  COMMAND_STATUS,
  type CommandOutcome,
  type FleetReport,
  type FleetReportOutcome,
  type ReadOutcome,
  type TableRow,
  type TransactionOutcome,
  UNAVAILABLE_EFFECT,
  type VmListOutcome,
  type VmRecord,
} from "../types.ts";

type Fields = Readonly<Record<string, unknown>>;

/** An IP address or a host name, which can be part of a URL. */
const HOST_PATTERN = /^[A-Za-z0-9.-]{1,253}$/;
const VM_ROLES: ReadonlySet<unknown> = new Set(["entry", "runner"]);
const VM_STATES: ReadonlySet<unknown> = new Set(["live", "leaving"]);
const STATUSES: ReadonlySet<unknown> = new Set(Object.values(COMMAND_STATUS));
const EFFECTS: ReadonlySet<unknown> = new Set(
  Object.values(UNAVAILABLE_EFFECT),
);

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isOptionalText(value: unknown): boolean {
  return value === undefined || isText(value);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}

/** Whether the answer is of a kind that every service may answer. */
function isUnavailable(answer: Fields): boolean {
  return answer.kind === "unavailable" && EFFECTS.has(answer.effect) &&
    isText(answer.reason);
}

function isRow(row: unknown): row is TableRow {
  return isFields(row) && isText(row.key) && isCount(row.version) &&
    isText(row.writeId) && row.value !== undefined;
}

export function readTransactionOutcome(
  answer: unknown,
): TransactionOutcome | undefined {
  if (!isFields(answer)) return undefined;
  const hasRows = answer.kind === "committed" || answer.kind === "conflict";
  return isUnavailable(answer) || hasRows && isListOf(answer.rows, isRow)
    ? answer as unknown as TransactionOutcome
    : undefined;
}

export function readReadOutcome(answer: unknown): ReadOutcome | undefined {
  if (!isFields(answer)) return undefined;
  const isRead = answer.kind === "rows" && isListOf(answer.rows, isRow);
  return isUnavailable(answer) || isRead
    ? answer as unknown as ReadOutcome
    : undefined;
}

export function readCommandOutcome(
  answer: unknown,
): CommandOutcome | undefined {
  if (!isFields(answer)) return undefined;
  const isList = answer.kind === "statuses" &&
    isListOf(answer.statuses, (status) => STATUSES.has(status));
  return isUnavailable(answer) || isList
    ? answer as unknown as CommandOutcome
    : undefined;
}

export function readVmListOutcome(answer: unknown): VmListOutcome | undefined {
  if (!isFields(answer)) return undefined;
  if (answer.kind === "unchanged") return { kind: "unchanged" };
  if (isUnavailable(answer)) return answer as unknown as VmListOutcome;
  const isList = answer.kind === "list" && Array.isArray(answer.vms) &&
    isOptionalText(answer.revision);
  if (!isList) return undefined;
  const vms = (answer.vms as readonly unknown[]).filter(isVm);
  return { ...answer, kind: "list", vms };
}

/** Whether a connection to the VM can be tried. */
function isVm(vm: unknown): vm is VmRecord {
  return isFields(vm) && isText(vm.name) && vm.name !== "" &&
    VM_ROLES.has(vm.role) && VM_STATES.has(vm.state) &&
    isText(vm.host) && HOST_PATTERN.test(vm.host) &&
    typeof vm.port === "number" && isPort(vm.port) &&
    isOptionalText(vm.service) && isOptionalText(vm.failureDomain) &&
    (vm.slots === undefined || isCount(vm.slots));
}

/** A report holds only changes, so that one that is left out would never be seen. */
export function readFleetReportOutcome(
  answer: unknown,
): FleetReportOutcome | undefined {
  if (!isFields(answer)) return undefined;
  const isReport = answer.kind === "report" && isFleetReport(answer.report);
  return isUnavailable(answer) || isReport
    ? answer as unknown as FleetReportOutcome
    : undefined;
}

function isFleetReport(report: unknown): report is FleetReport {
  return isFields(report) && isCount(report.revision) &&
    isListOf(report.workers, isWorkerReport) &&
    isListOf(report.tasks, isTaskReport);
}

function isWorkerReport(worker: unknown): boolean {
  return isFields(worker) && isText(worker.name) && isText(worker.rack) &&
    isFields(worker.resources) &&
    (worker.state === "up" || worker.state === "down");
}

function isTaskReport(report: unknown): boolean {
  return isFields(report) && isFields(report.task) &&
    isText(report.task.jobId) && isText(report.task.attemptId) &&
    isCount(report.task.index) && isText(report.worker) &&
    isText(report.state) && isFields(report.resources);
}
