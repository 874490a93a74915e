/**
 * The outcome of a call that promises one in every case. If it throws or rejects all the same, that is passed to `onError`, and the
 * outcome is `fallback`: an unhandled rejection would end the process, and whoever waits for the outcome would wait for ever.
 */
export async function settled<Outcome>(
  call: () => Promise<Outcome>,
  fallback: Outcome,
  onError: (error: unknown) => void,
): Promise<Outcome> {
  try {
    return await call();
  } catch (error) {
    onError(error);
    return fallback;
  }
}

/** What was thrown, as an error. */
export const asError = (thrown: unknown): Error =>
  thrown instanceof Error ? thrown : new Error(String(thrown));
