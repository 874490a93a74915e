// The frame of a case: starts the deployment, runs the scenario, and ends everything that was started, in whatever way it ends.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Deployment } from "./deployment.mjs";

/** Seconds after which a case that has not come to its verdict ends as "couldn't run". */
const LIMIT_S = Number(process.env.VERDICT_S ?? 106) + 8;

/** False: the same without the disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

/** The case couldn't run. */
export class CannotRun extends Error {}

/**
 * `scenario` gets the deployment, which has not been started, and returns the list of broken rules, empty if all held.
 * `url`: `import.meta.url` of the case. The exit code is 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
 */
export async function runCase(url, settings, options, scenario) {
  const recordFile = join(dirname(fileURLToPath(url)), "record.txt");
  const d = new Deployment(settings, { recordFile, ...options });
  let code = 2;
  const finish = async () => {
    clearTimeout(timer);
    d.note(`exit code ${code}`);
    await d.stop().catch(() => {});
    process.exit(code);
  };
  process.on("exit", () => {
    for (const node of d.nodes) node.child?.kill("SIGKILL");
  });
  for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => process.exit(2));
  const timer = setTimeout(() => {
    console.log("no verdict in time");
    void finish();
  }, LIMIT_S * 1000);
  d.note(`TROUBLE=${TROUBLE ? 1 : 0}`);
  try {
    const broken = await scenario(d);
    for (const text of broken) {
      d.note(`BROKEN: ${text}`);
      console.log(`broken: ${text}`);
    }
    code = broken.length > 0 ? 1 : 0;
    if (code === 0) console.log("held");
  } catch (error) {
    d.note(`couldn't run: ${error.stack ?? error}`);
    console.log(`couldn't run: ${error.message ?? error}`);
    code = 2;
  }
  await finish();
}
