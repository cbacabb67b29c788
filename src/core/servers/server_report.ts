/** What VMs tell each other of one backend server. */

import type { InstanceId } from "../ids.ts";

/** How a server does as seen by one VM, or by several added up. */
export interface ServerReport {
  readonly instance: InstanceId;
  /** Predicted work under way, in milliseconds. */
  readonly workMs: number;
  /** Recent answers and failures, older ones counting less. */
  readonly answers: number;
  /** Failures among the answers. */
  readonly failures: number;
  /** VMs that saw a failure lately. */
  readonly witnesses: number;
}

/** Adds reports up by server. */
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
