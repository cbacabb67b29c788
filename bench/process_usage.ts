/** CPU time and memory of a process, read from /proc on Linux. */

import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
/** Indexes into the fields of /proc/PID/stat that follow the command name. */
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;
const KB_PER_MB = 1_024;

/** Returns the CPU time that a process has used since its start, in milliseconds. */
export function cpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_INDEX]) +
    Number(fields[SYSTEM_TICKS_INDEX]);
  return ticks / TICKS_PER_SECOND * MS_PER_SECOND;
}

/** Returns the resident memory of a process, in megabytes. */
export function memoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}
