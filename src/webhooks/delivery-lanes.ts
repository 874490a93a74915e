import { sha256 } from "@noble/hashes/sha2.js";
import { utf8ToBytes } from "@noble/hashes/utils.js";
import { LANE_COUNT } from "./records.js";

const hashNumber = (text: string): number => {
  const digest = sha256(utf8ToBytes(text));
  return (
    ((digest[0]! << 24) |
      (digest[1]! << 16) |
      (digest[2]! << 8) |
      digest[3]!) >>>
    0
  );
};

/** The lane of a subscription. */
export const laneOf = (name: string): number =>
  hashNumber(`sub ${name}`) % LANE_COUNT;

const weightCache = new Map<string, number>();
function weight(lane: number, label: string): number {
  const key = `${lane} ${label}`;
  let cached = weightCache.get(key);
  if (cached === undefined)
    weightCache.set(key, (cached = hashNumber(`lane ${key}`)));
  return cached;
}
/** Chooses a lane's owner among the present controllers by rendezvous hashing: if one leaves, only its own lanes move. */
export function chosenController(
  lane: number,
  present: readonly string[],
): string | null {
  let chosen: string | null = null;
  for (const label of present) {
    if (
      chosen === null ||
      weight(lane, label) > weight(lane, chosen) ||
      (weight(lane, label) === weight(lane, chosen) && label < chosen)
    )
      chosen = label;
  }
  return chosen;
}
