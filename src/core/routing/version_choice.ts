/** Selects the version of a model that answers a request. */

import type { ConfigurationIndex } from "../config/configuration_index.ts";
import type { Model, ModelVersion } from "../config/configuration.ts";

/** Hashes a text to a number from 0 up to but not including 1. */
export type UnitHash = (text: string) => number;

export interface VersionChoiceInput {
  readonly index: ConfigurationIndex;
  readonly model: Model;
  /** Session id, or the request id if the caller did not name a session. */
  readonly stickyKey: string;
  readonly unitHash: UnitHash;
}

/**
 * Returns the versions that may answer, in order of preference. All entries agree on the first one,
 * since it depends only on the configuration and the sticky key. While a roll-out grows, a session
 * moves at most once, from the stable version to the new one.
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
