/** Reports on backend servers that VMs exchange. */

import type { InstanceId } from "../ids.ts";

/** Load and health of a server as seen by one VM, or the sum over several VMs. */
export interface ServerReport {
  readonly instance: InstanceId;
  /** Predicted work in flight, in milliseconds. */
  readonly workMs: number;
  /** Recent answers, failures included, with exponential decay. */
  readonly answers: number;
  /** Failures among `answers`. */
  readonly failures: number;
  /** VMs that have seen failures recently. */
  readonly witnesses: number;
}

/** Sums reports by server. */
export function sumReports(
  reports: Iterable<ServerReport>,
): Map<InstanceId, ServerReport> {
  const sums = new Map<InstanceId, ServerReport>();
  for (const report of reports) {
    const known = sums.get(report.instance);
    sums.set(
      report.instance,
      known === undefined ? report : addReports(known, report),
    );
  }
  return sums;
}

function addReports(a: ServerReport, b: ServerReport): ServerReport {
  return {
    instance: a.instance,
    workMs: a.workMs + b.workMs,
    answers: a.answers + b.answers,
    failures: a.failures + b.failures,
    witnesses: a.witnesses + b.witnesses,
  };
}
