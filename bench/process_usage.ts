/** Processor time and memory of a process, as Linux accounts for them. */

import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
/** Positions after the command's name in /proc/PID/stat. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const KB_PER_MB = 1_024;

/** Processor time used so far, in milliseconds. */
export function cpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks / TICKS_PER_SECOND * MS_PER_SECOND;
}

/** Resident memory, in megabytes. */
export function memoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}
