/** Checks a configuration for unresolved references, duplicate ids and cycles. */

import type {
  Cascade,
  Configuration,
  Model,
  Section,
} from "./configuration.ts";

/** A problem in a configuration and its location. */
export interface Problem {
  readonly section: Section;
  /** Zero-based position of the entry within its section. */
  readonly index: number;
  /** Path of keys to the problem within the entry. */
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type Report = (problem: Problem) => void;

/** Returns every unresolved reference, duplicate id and cycle of `cfg`. */
export function checkReferences(cfg: Configuration): Problem[] {
  const problems: Problem[] = [];
  const report: Report = (problem) => problems.push(problem);
  checkDuplicates(cfg, report);
  checkKeys(cfg, report);
  checkAccounts(cfg, report);
  checkModels(cfg, report);
  checkCascades(cfg, report);
  checkRollOuts(cfg, report);
  checkBackends(cfg, report);
  return problems;
}

function checkDuplicates(cfg: Configuration, report: Report): void {
  for (const section of Object.keys(cfg) as Section[]) {
    const seen = new Set<string>();
    cfg[section].forEach((entry, index) => {
      if (seen.has(entry.id)) {
        const message = `Id "${entry.id}" stands twice in ${section}`;
        report({ section, index, path: ["id"], message });
      }
      seen.add(entry.id);
    });
  }
  const models = new Set<string>(cfg.models.map((m) => m.id));
  cfg.cascades.forEach(({ id }, index) => {
    if (!models.has(id)) return;
    const message = `Cascade "${id}" has the same name as a model`;
    report({ section: "cascades", index, path: ["id"], message });
  });
}

function checkKeys(cfg: Configuration, report: Report): void {
  const owners = new Map<string, string>();
  cfg.accounts.forEach((account, index) => {
    account.keys.forEach((key, keyIndex) => {
      const owner = owners.get(key);
      if (owner !== undefined) {
        const message = `Key is already used by account "${owner}"`;
        report({
          section: "accounts",
          index,
          path: ["keys", keyIndex],
          message,
        });
      }
      owners.set(key, account.id);
    });
  });
}

function checkAccounts(cfg: Configuration, report: Report): void {
  const names = callableNames(cfg);
  const services = new Set<string>(cfg.services.map((s) => s.id));
  cfg.accounts.forEach((account, index) => {
    account.models.forEach((name, at) => {
      if (names.has(name)) return;
      const message = `No model or cascade is named "${name}"`;
      report({ section: "accounts", index, path: ["models", at], message });
    });
    account.services.forEach((name, at) => {
      if (services.has(name)) return;
      const message = `No plain service is named "${name}"`;
      report({ section: "accounts", index, path: ["services", at], message });
    });
  });
}

function checkModels(cfg: Configuration, report: Report): void {
  cfg.models.forEach((model, index) => {
    const seen = new Set<string>();
    model.versions.forEach((version, at) => {
      if (seen.has(version.id)) {
        const message =
          `Version "${version.id}" is declared twice in the model`;
        report({ section: "models", index, path: ["versions", at], message });
      }
      seen.add(version.id);
    });
    if (!seen.has(model.stable)) {
      const message = `Stable version "${model.stable}" is not declared`;
      report({ section: "models", index, path: ["stable"], message });
    }
  });
}

function checkCascades(cfg: Configuration, report: Report): void {
  const names = callableNames(cfg);
  const cascades = new Map<string, Cascade>(cfg.cascades.map((c) => [c.id, c]));
  cfg.cascades.forEach((cascade, index) => {
    cascade.steps.forEach((step, at) => {
      if (names.has(step)) return;
      const message = `No model or cascade is named "${step}"`;
      report({ section: "cascades", index, path: ["steps", at], message });
    });
    const cycle = findCycle(cascade, cascades);
    if (cycle !== undefined) {
      const message = `Cascade leads back to itself: ${cycle.join(" -> ")}`;
      report({ section: "cascades", index, path: ["steps"], message });
    }
  });
}

/** Returns the path from `start` back to itself, if there is one. */
function findCycle(
  start: Cascade,
  cascades: ReadonlyMap<string, Cascade>,
): string[] | undefined {
  const visited = new Set<string>();
  const visit = (cascade: Cascade, path: string[]): string[] | undefined => {
    for (const step of cascade.steps) {
      if (step === start.id) return [...path, step];
      const next = cascades.get(step);
      if (next === undefined || visited.has(step)) continue;
      visited.add(step);
      const cycle = visit(next, [...path, step]);
      if (cycle !== undefined) return cycle;
    }
    return undefined;
  };
  return visit(start, [start.id]);
}

function checkRollOuts(cfg: Configuration, report: Report): void {
  const models = modelsById(cfg);
  const rollOutByModel = new Map<string, string>();
  cfg.roll_outs.forEach((rollOut, index) => {
    const model = models.get(rollOut.model);
    if (model === undefined) {
      const message = `No model is named "${rollOut.model}"`;
      report({ section: "roll_outs", index, path: ["model"], message });
    } else if (!model.versions.some((v) => v.id === rollOut.to)) {
      const message = `Model "${model.id}" has no version "${rollOut.to}"`;
      report({ section: "roll_outs", index, path: ["to"], message });
    }
    const other = rollOutByModel.get(rollOut.model);
    if (other !== undefined) {
      const message = `Model already has roll-out "${other}"`;
      report({ section: "roll_outs", index, path: ["model"], message });
    }
    rollOutByModel.set(rollOut.model, rollOut.id);
  });
}

function checkBackends(cfg: Configuration, report: Report): void {
  const models = modelsById(cfg);
  const services = new Set<string>(cfg.services.map((s) => s.id));
  cfg.backends.forEach((backend, index) => {
    backend.versions.forEach((served, at) => {
      const model = models.get(served.model);
      if (model?.versions.some((v) => v.id === served.version)) return;
      const message =
        `No version "${served.version}" of model "${served.model}" is declared`;
      report({ section: "backends", index, path: ["versions", at], message });
    });
    if (backend.service !== undefined && !services.has(backend.service)) {
      const message = `No plain service is named "${backend.service}"`;
      report({ section: "backends", index, path: ["service"], message });
    }
    if ((backend.service === undefined) === (backend.versions.length === 0)) {
      const message = "A backend server needs either versions or a service";
      report({ section: "backends", index, path: [], message });
    }
  });
}

function callableNames(cfg: Configuration): Set<string> {
  return new Set<string>([...cfg.models, ...cfg.cascades].map((x) => x.id));
}

function modelsById(cfg: Configuration): Map<string, Model> {
  return new Map<string, Model>(cfg.models.map((m) => [m.id, m]));
}
