/** Adds up what entries of the journal say of days, so that rounds are judged alike. */

import * as z from "zod";

const amounts = z.array(z.tuple([z.string(), z.number(), z.number()]));

const daySchema = z.object({
  name: z.string(),
  /** Worth of the day, all parts less all prices. */
  G: z.number(),
  /** Name, weight and credit of each part. */
  parts: amounts,
  /** Name, amount and worth of each price. */
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

/** Days drawn at random carry names of their own; the standard ones are told apart. */
const STANDARD = /^(quiet|trouble|scale)-\d+$/;
const CALM = /^quiet-/;
/** Prices below this are left out of a summary. */
const LEAST_PRICE = 0.005;

/** Mean and standard deviation of some days. */
export interface Spread {
  readonly count: number;
  readonly mean: number;
  readonly deviation: number;
}

/** Decodes an entry; throws with the place of the mistake. */
export function readEntry(text: string): JournalEntry {
  return entrySchema.parse(JSON.parse(text));
}

/** Returns lines that sum the entries of one site up. */
export function summarize(entries: readonly JournalEntry[]): string[] {
  const days = entries.flatMap((entry) => entry.days)
    .filter(({ name }) => STANDARD.test(name));
  const names = [...new Set(days.map(({ name }) => name))].sort();
  const troubled = days.filter(({ name }) => !CALM.test(name));
  return [
    ...names.map((name) => dayLine(name, days)),
    `days with trouble: ${spreadText(spreadOf(troubled.map(({ G }) => G)))}`,
    `  of it: ${partsText(troubled)}`,
    `  less: ${pricesText(troubled)}`,
  ];
}

/** Mean and spread of some figures. */
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
  const broken = same.filter(isBroken).length;
  const note = broken === 0 ? "" : `, ${broken} broke a rule or failed`;
  return `${name}: ${spreadText(spreadOf(same.map(({ G }) => G)))}${note}`;
}

function isBroken({ rules, fault }: Day): boolean {
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
    .filter(([, mean]) => mean >= LEAST_PRICE)
    .sort((a, b) => b[1] - a[1])
    .map(([name, mean]) => `${name} ${mean.toFixed(3)}`).join(", ");
}

function meansOf(
  days: readonly Day[],
  amountsOf: (day: Day) => z.infer<typeof amounts>,
): [string, number][] {
  const sums = new Map<string, number>();
  for (const day of days) {
    for (const [name, , worth] of amountsOf(day)) {
      sums.set(name, (sums.get(name) ?? 0) + worth);
    }
  }
  return [...sums].map(([name, sum]) => [name, sum / days.length]);
}
