/** Choice of the version of a model that answers a request. */

import type { ConfigurationIndex } from "../config/configuration_index.ts";
import type { Model, ModelVersion } from "../config/configuration.ts";

/** Hash of a text, as a number from 0 up to but not including 1. */
export type UnitHash = (text: string) => number;

/** What the choice depends on. */
export interface VersionChoiceInput {
  readonly index: ConfigurationIndex;
  readonly model: Model;
  /** Session id, or the request id where the caller named no session. */
  readonly stickyKey: string;
  readonly unitHash: UnitHash;
}

/**
 * Returns the versions that may answer, best first. All entries agree on the
 * first, since it depends only on the configuration and the sticky key. A
 * session moves at most once while a roll-out grows, from stable to new.
 */
export function versionsInOrder(input: VersionChoiceInput): ModelVersion[] {
  const { index, model } = input;
  const rollOut = index.rollOut(model.id);
  const moved = rollOut !== undefined && isMoved(input, rollOut.percent);
  const order = moved ? [rollOut.to, model.stable] : [model.stable];
  return order
    .map((id) => index.version(model.id, id))
    .filter((version) => version !== undefined)
    .filter((version) => version.state === "serving");
}

function isMoved(
  { model, stickyKey, unitHash }: VersionChoiceInput,
  percent: number,
): boolean {
  return unitHash(`${model.id}/${stickyKey}`) * 100 < percent;
}
