import xxhash from "xxhash-wasm";

/** What may happen next in a state. */
export interface Step<S> {
  label: string;
  state: S;
}

/** A system to explore: states are plain values, and a step makes a new one. */
export interface Model<S> {
  initial: S;
  next(state: S): Iterable<Step<S>>;
  /** What is wrong with a state; null: nothing. */
  check(state: S): string | null;
  /** Equal states have equal words; what does not matter for what can follow is left out. */
  key(state: S): string;
}

export interface Exploration {
  states: number;
  steps: number;
  /** Steps from the first state to the farthest one. */
  depth: number;
  /** All states that can be reached were seen. */
  complete: boolean;
  /** How the first bad state is reached, in as few steps as it takes; null: there is none. */
  broken: { why: string; trace: string[] } | null;
}

/**
 * Looks at every state that can be reached, nearest first, so that a trace to a bad one is as short as can be. States
 * are known again by a 64-bit hash (xxHash); of some millions two are taken for one with a chance of one in a million,
 * which can hide a state but never invent a bad one.
 */
export async function explore<S>(
  model: Model<S>,
  most = 2_000_000,
): Promise<Exploration> {
  const hasher = await xxhash();
  const seen = new Map<bigint, number>();
  const from: number[] = [-1];
  const labels: string[] = [""];
  let level: { state: S; n: number }[] = [{ state: model.initial, n: 0 }];
  seen.set(hasher.h64(model.key(model.initial)), 0);
  let steps = 0;
  let depth = 0;
  const result = (
    complete: boolean,
    bad: { why: string; n: number } | null,
  ): Exploration => {
    const trace: string[] = [];
    for (let n = bad?.n ?? 0; n > 0; n = from[n]!) trace.unshift(labels[n]!);
    return {
      states: seen.size,
      steps,
      depth,
      complete,
      broken: bad && { why: bad.why, trace },
    };
  };
  const first = model.check(model.initial);
  if (first !== null) return result(false, { why: first, n: 0 });
  while (level.length > 0) {
    const following: { state: S; n: number }[] = [];
    for (const { state, n } of level)
      for (const s of model.next(state)) {
        steps++;
        const hash = hasher.h64(model.key(s.state));
        if (seen.has(hash)) continue;
        const m = from.push(n) - 1;
        labels.push(s.label);
        seen.set(hash, m);
        const why = model.check(s.state);
        if (why !== null) return result(false, { why, n: m });
        if (seen.size >= most) return result(false, null);
        following.push({ state: s.state, n: m });
      }
    level = following;
    if (level.length > 0) depth++;
  }
  return result(true, null);
}
