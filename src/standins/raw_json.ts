/** JSON that is sent as it was written, for values that `JSON.stringify` cannot express. */

const MARK = "raw-json-";
const MARK_PATTERN = new RegExp(`"${MARK}(\\d+)"`, "g");

/** Text that stands for a value, for example one nested too deeply for `JSON.stringify`. */
export class RawJson {
  readonly text: string;

  constructor(text: string) {
    this.text = text;
  }
}

/** Like `JSON.stringify`, with the texts of all `RawJson` values inserted. */
export function stringifyWithRawJson(value: unknown): string {
  const texts: string[] = [];
  const marked = JSON.stringify(
    value,
    (_key, part) =>
      part instanceof RawJson ? `${MARK}${texts.push(part.text) - 1}` : part,
  );
  return marked.replaceAll(MARK_PATTERN, (_mark, at) => texts[at] ?? "");
}
