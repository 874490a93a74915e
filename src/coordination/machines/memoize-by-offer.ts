/** Avoids repeating work whose result is the same for all machines of an offer, since hundreds of machines share a few offers. */
import type { Worker } from "./worker-state.js";

/** Caches what `compute` returned for the first machine of each offer. Only for use within one step: results are never dropped. */
export function memoizeByOffer<Result>(
  compute: (worker: Worker) => Result,
): (worker: Worker) => Result {
  const results = new Map<string, Result>();
  return (worker) => {
    // A machine whose type is unknown, because the catalog lacked it, may differ from others of its offer.
    const key = worker.type ? worker.offerKey : `?${worker.offerKey}`;
    let result = results.get(key);
    if (result === undefined) {
      result = compute(worker);
      results.set(key, result);
    }
    return result;
  };
}
