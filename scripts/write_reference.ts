/** Generates docs/CONFIGURATION.md from the schemas; with --check, only verifies that the file is up to date. */

import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import * as z from "zod";
import { FILE_DESCRIPTORS, VM_SHARES } from "../src/core/limits/vm_shares.ts";
import { ENTRY_SCHEMAS } from "../src/protocol/configuration_schema.ts";
import { settingsSchema } from "../src/protocol/settings_schema.ts";

const FILE = "docs/CONFIGURATION.md";

interface JsonSchemaNode {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly description?: string;
  readonly default?: unknown;
  readonly properties?: Record<string, JsonSchemaNode>;
  readonly required?: readonly string[];
  readonly items?: JsonSchemaNode;
}

function main(): void {
  const text = [
    "# Configuration and settings",
    "Written from the schemas by `npm run reference`; do not edit.",
    "## Files of a configuration directory",
    "Each YAML file may hold any of these lists; all files of a directory are one configuration.",
    ...Object.entries(ENTRY_SCHEMAS).map(([section, schema]) =>
      `### \`${section}\`\n\n${table(schema)}`
    ),
    "## Settings of an entry",
    table(settingsSchema),
    "## Limits of a gateway for its clients",
    "Shares of `Limits.MemoryMb`, and of the descriptors for sockets (`Limits.FileDescriptors` less " +
    `${FILE_DESCRIPTORS}), in the settings file of the VM.`,
    shareTable(),
  ].join("\n\n") + "\n";
  if (!process.argv.includes("--check")) return writeFileSync(FILE, text);
  if (readFileSync(FILE, "utf8") === text) return;
  console.error(
    `${FILE} is out of date with the schemas; run npm run reference`,
  );
  process.exit(1);
}

function shareTable(): string {
  const rows = Object.entries(VM_SHARES).map(([name, { share, of, meaning }]) =>
    `| \`${name}\` | ${share} of the ${of} | ${meaning} |`
  );
  return ["| limit | default | meaning |", "|---|---|---|", ...rows].join("\n");
}

function table(schema: z.ZodType): string {
  const node = z.toJSONSchema(schema, {
    io: "input",
    unrepresentable: "any",
  }) as JsonSchemaNode;
  const rows = tableRows(node, "");
  return ["| key | type | default | meaning |", "|---|---|---|---|", ...rows]
    .join("\n");
}

function tableRows(node: JsonSchemaNode, prefix: string): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const key = `${prefix}${name}`;
    const inner = child.items?.properties === undefined
      ? tableRows(child, `${key}.`)
      : tableRows(child.items, `${key}[].`);
    if (inner.length > 0) return inner;
    const required = node.required?.includes(name) === true;
    return [
      `| \`${key}\` | ${typeText(child)} | ${defaultText(child, required)} | ${
        child.description ?? ""
      } |`,
    ];
  });
}

function typeText({ type, enum: values, items }: JsonSchemaNode): string {
  if (values !== undefined) {
    return values.map((value) => `\`${value}\``).join(", ");
  }
  if (items === undefined) return type ?? "any";
  return `list of ${
    items.enum === undefined ? items.type ?? "any" : typeText(items)
  }`;
}

function defaultText(
  { default: value }: JsonSchemaNode,
  required: boolean,
): string {
  if (value !== undefined) return `\`${JSON.stringify(value)}\``;
  return required ? "required" : "none";
}

main();
