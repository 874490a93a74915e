import xxhash from "xxhash-wasm";

/** A transition to a following state. */
export interface Step<S> {
  label: string;
  state: S;
}

/** A system to explore. States are plain values, and each step creates a new one. */
export interface Model<S> {
  initial: S;
  next(state: S): Iterable<Step<S>>;
  /** Description of what is wrong with a state; null if the state is valid. */
  check(state: S): string | null;
  /** States with the same key count as the same state. The key omits what has no effect on later steps. */
  key(state: S): string;
}

export interface Exploration {
  states: number;
  steps: number;
  /** Number of steps from the initial state to the farthest one. */
  depth: number;
  /** Whether all reachable states were visited. */
  complete: boolean;
  /** The first invalid state and a shortest sequence of steps to it; null if none was found. */
  violation: { problem: string; trace: string[] } | null;
}

/**
 * Visits the reachable states breadth-first, so that the trace to an invalid state is as short as possible. Visited states are
 * recognized by a 64-bit hash of their key (xxHash). Among some millions of states, the probability of a collision is about one
 * in a million. A collision can hide a state, but cannot make a valid one look invalid.
 */
export async function explore<S>(
  model: Model<S>,
  maxStates = 2_000_000,
): Promise<Exploration> {
  const hasher = await xxhash();
  const seen = new Map<bigint, number>();
  const parents: number[] = [-1];
  const labels: string[] = [""];
  let frontier: { state: S; index: number }[] = [
    { state: model.initial, index: 0 },
  ];
  seen.set(hasher.h64(model.key(model.initial)), 0);
  let steps = 0;
  let depth = 0;
  const result = (
    complete: boolean,
    violation: { problem: string; index: number } | null,
  ): Exploration => {
    const trace: string[] = [];
    for (let i = violation?.index ?? 0; i > 0; i = parents[i]!)
      trace.unshift(labels[i]!);
    return {
      states: seen.size,
      steps,
      depth,
      complete,
      violation: violation && { problem: violation.problem, trace },
    };
  };
  const initialProblem = model.check(model.initial);
  if (initialProblem !== null)
    return result(false, { problem: initialProblem, index: 0 });
  while (frontier.length > 0) {
    const nextFrontier: { state: S; index: number }[] = [];
    for (const { state, index: parent } of frontier)
      for (const step of model.next(state)) {
        steps++;
        const hash = hasher.h64(model.key(step.state));
        if (seen.has(hash)) continue;
        const index = parents.push(parent) - 1;
        labels.push(step.label);
        seen.set(hash, index);
        const problem = model.check(step.state);
        if (problem !== null) return result(false, { problem, index });
        if (seen.size >= maxStates) return result(false, null);
        nextFrontier.push({ state: step.state, index });
      }
    frontier = nextFrontier;
    if (frontier.length > 0) depth++;
  }
  return result(true, null);
}
