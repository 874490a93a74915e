import { sha256 } from "@noble/hashes/sha2.js";
import { utf8ToBytes } from "@noble/hashes/utils.js";
import { LANE_COUNT } from "./records.js";

const number = (text: string): number => {
  const d = sha256(utf8ToBytes(text));
  return ((d[0]! << 24) | (d[1]! << 16) | (d[2]! << 8) | d[3]!) >>> 0;
};

/** The lane of a subscription. */
export const laneOf = (name: string): number =>
  number(`sub ${name}`) % LANE_COUNT;

const weights = new Map<string, number>();
function weight(lane: number, label: string): number {
  const key = `${lane} ${label}`;
  let w = weights.get(key);
  if (w === undefined) weights.set(key, (w = number(`lane ${key}`)));
  return w;
}
/** Rendezvous hashing: whose the lane is among those present. When one goes, only its own lanes move. */
export function chosenController(
  lane: number,
  present: readonly string[],
): string | null {
  let best: string | null = null;
  for (const label of present) {
    if (
      best === null ||
      weight(lane, label) > weight(lane, best) ||
      (weight(lane, label) === weight(lane, best) && label < best)
    )
      best = label;
  }
  return best;
}
