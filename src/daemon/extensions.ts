import type { Operator } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { Daemon } from "./daemon.js";

/** Adds the extensions enabled by the operators' file to a controller that is not running yet. `file`: path of that file. */
export async function addExtensions(
  daemon: Daemon,
  settings: Settings,
  operator: Operator,
  file: string,
  version: string,
): Promise<void> {
  const metrics = operator.metrics
    ? new (await import("../metrics/index.js")).Metrics(
        () => daemon.statistics,
        () => daemon.leadershipLease.untilMs - performance.now(),
      )
    : null;
  metrics?.watchTeams(() => daemon.teamStatistics);
  if (metrics) daemon.addExtension(metrics);
  if (!operator.hooks) return;
  const { Webhooks } = await import("../webhooks/index.js");
  const webhooks = new Webhooks(
    operator.hooks,
    settings,
    file,
    `linencove/${version}`,
    {
      callStore: (call, priority) => daemon.callForExtension(call, priority),
      leadershipLease: () => daemon.leadershipLease,
      log: (entry) => daemon.write(entry),
      notificationSettled: (outcome, tookMs) =>
        metrics?.webhookSettled(outcome, tookMs),
      attemptEnded: (outcome, tookMs) =>
        metrics?.webhookAttempted(outcome, tookMs),
      callFailed: (error) => daemon.reportFailedCall(error),
    },
  );
  metrics?.watchWebhooks(() => webhooks.figures);
  daemon.addExtension(webhooks);
}
