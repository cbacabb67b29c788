/** Summarizes the days in journal entries, so that all rounds are compared by the same figures. */

import * as z from "zod";

const amounts = z.array(z.tuple([z.string(), z.number(), z.number()]));

const daySchema = z.object({
  name: z.string(),
  /** Score of the day: the sum of all parts minus the sum of all prices. */
  G: z.number(),
  /** Name, weight and score of each part. */
  parts: amounts,
  /** Name, amount and deducted score of each price. */
  prices: amounts,
  rules: z.record(z.string(), z.unknown()),
  fault: z.string().nullable(),
  served: z.number(),
});

const entrySchema = z.object({
  site: z.string().nullable(),
  why: z.string().nullish(),
  days: z.array(daySchema),
});

/** One entry of the journal. */
export type JournalEntry = z.infer<typeof entrySchema>;
type Day = z.infer<typeof daySchema>;

/** Names of the standard days; days drawn at random have other names and are left out. */
const STANDARD_DAY = /^(quiet|trouble|scale)-\d+$/;
const QUIET_DAY = /^quiet-/;
/** Prices with a lower mean are left out of a summary. */
const MIN_MEAN_PRICE = 0.005;

/** Mean and sample standard deviation of a set of figures. */
export interface Spread {
  readonly count: number;
  readonly mean: number;
  readonly deviation: number;
}

/** Decodes an entry; throws an error that contains the path of the invalid field. */
export function readEntry(text: string): JournalEntry {
  return entrySchema.parse(JSON.parse(text));
}

/** Returns the lines of a summary over the entries of one site. */
export function summarize(entries: readonly JournalEntry[]): string[] {
  const days = entries.flatMap((entry) => entry.days)
    .filter(({ name }) => STANDARD_DAY.test(name));
  const names = [...new Set(days.map(({ name }) => name))].sort();
  const daysWithTrouble = days.filter(({ name }) => !QUIET_DAY.test(name));
  return [
    ...names.map((name) => dayLine(name, days)),
    `days with trouble: ${
      spreadText(spreadOf(daysWithTrouble.map(({ G }) => G)))
    }`,
    `  of it: ${partsText(daysWithTrouble)}`,
    `  less: ${pricesText(daysWithTrouble)}`,
  ];
}

export function spreadOf(figures: readonly number[]): Spread {
  const count = figures.length;
  const mean = figures.reduce((sum, figure) => sum + figure, 0) /
    Math.max(1, count);
  const squares = figures.reduce((sum, x) => sum + (x - mean) ** 2, 0);
  const deviation = Math.sqrt(squares / Math.max(1, count - 1));
  return { count, mean, deviation };
}

function dayLine(name: string, days: readonly Day[]): string {
  const same = days.filter((day) => day.name === name);
  const failedCount = same.filter(failedOrBrokeRule).length;
  const note = failedCount === 0
    ? ""
    : `, ${failedCount} broke a rule or failed`;
  return `${name}: ${spreadText(spreadOf(same.map(({ G }) => G)))}${note}`;
}

function failedOrBrokeRule({ rules, fault }: Day): boolean {
  return fault !== null || Object.keys(rules).length > 0;
}

function spreadText({ count, mean, deviation }: Spread): string {
  return `${mean.toFixed(3)} ± ${deviation.toFixed(3)} (${count})`;
}

function partsText(days: readonly Day[]): string {
  return meansOf(days, ({ parts }) => parts)
    .map(([name, mean]) => `${name} ${mean.toFixed(3)}`).join(", ");
}

function pricesText(days: readonly Day[]): string {
  return meansOf(days, ({ prices }) => prices)
    .filter(([, mean]) => mean >= MIN_MEAN_PRICE)
    .sort((a, b) => b[1] - a[1])
    .map(([name, mean]) => `${name} ${mean.toFixed(3)}`).join(", ");
}

function meansOf(
  days: readonly Day[],
  amountsOf: (day: Day) => z.infer<typeof amounts>,
): [string, number][] {
  const sums = new Map<string, number>();
  for (const day of days) {
    for (const [name, , score] of amountsOf(day)) {
      sums.set(name, (sums.get(name) ?? 0) + score);
    }
  }
  return [...sums].map(([name, sum]) => [name, sum / days.length]);
}
