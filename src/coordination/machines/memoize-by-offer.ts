/** Saves repeating work that gives the same result for all machines of one offer: there are hundreds of machines and few offers. */
import type { Worker } from "./worker-state.js";

/** Remembers what `compute` returned for the first machine of each offer. Meant for one step: results are never dropped. */
export function memoizeByOffer<Result>(
  compute: (worker: Worker) => Result,
): (worker: Worker) => Result {
  const results = new Map<string, Result>();
  return (worker) => {
    // A machine whose type the catalog did not name when it came up is not like others of its offer.
    const key = worker.type ? worker.offerKey : `?${worker.offerKey}`;
    let result = results.get(key);
    if (result === undefined) {
      result = compute(worker);
      results.set(key, result);
    }
    return result;
  };
}
