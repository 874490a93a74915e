import type { Operator } from "./config/operator.js";
import type { Settings } from "./config/settings.js";
import type { Daemon } from "./daemon.js";

/** Adds what the operators' file turns on to a controller that does not run yet. `file`: where its settings come from. */
export async function turnOn(
  daemon: Daemon,
  settings: Settings,
  operator: Operator,
  file: string,
  version: string,
): Promise<void> {
  const metrics = operator.metrics
    ? new (await import("./metrics/index.js")).Metrics(
        () => daemon.figures,
        () => daemon.permit.untilMs - performance.now(),
      )
    : null;
  metrics?.watchTeams(() => daemon.teamFigures);
  if (metrics) daemon.add(metrics);
  if (!operator.hooks) return;
  const { Hooks } = await import("./hooks/index.js");
  const hooks = new Hooks(
    operator.hooks,
    settings,
    file,
    `linencove/${version}`,
    {
      state: (call, urgent) => daemon.callForExtra(call, urgent),
      permit: () => daemon.permit,
      log: (entry) => daemon.write(entry),
      settled: (outcome, tookMs) => metrics?.hookSettled(outcome, tookMs),
      attempted: (outcome, tookMs) => metrics?.hookAttempted(outcome, tookMs),
    },
  );
  metrics?.watchHooks(() => hooks.figures);
  daemon.add(hooks);
}
