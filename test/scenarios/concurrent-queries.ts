import {
  cancel,
  askAllControllers,
  pipelines,
  submit,
  submitWorkload,
} from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  cutFromPeers,
  Occurrences,
  plainJob,
  refuseStoreCalls,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  watchPartitions,
} from "./stage.js";

const FAULTS_END_MS = 120_000;
/** Delays, after a user learns a new status, of the three bursts of queries to all controllers; a burst lasts at most 20 ms. */
const QUERY_DELAYS_MS = [0, 40, 250];
/** A controller "just" started, took or lost a partition if that was at most this long ago. */
const RECENT_MS = 1_000;

const REPORTED_STATUSES = ["accepted", "done", "cancelled"] as const;
const CONDITIONS = [
  "refused by the state service",
  "cut from its peers",
  "just started",
  "just took a partition",
  "just lost a partition",
  "has an unanswered commit on the job",
] as const;
type Condition = (typeof CONDITIONS)[number];

/** Recent faults and leadership changes of each controller. */
class ControllerConditions {
  readonly lastTakeoverMs = new Map<string, number>();
  readonly lastLossMs = new Map<string, number>();
  /** By job: the controller that has an unanswered commit on it, and until when the commit counts as unanswered. */
  readonly unansweredCommits = new Map<
    string,
    { name: string; untilMs: number }
  >();

  constructor(private readonly world: World) {}

  private isRecent(timeMs: number | undefined): boolean {
    return timeMs !== undefined && this.world.now - timeMs <= RECENT_MS;
  }
  conditionsOf(name: string, job: string): Condition[] {
    const { world } = this;
    const startedMs = world.nodes.get(name)?.startedMs;
    const unansweredCommit = this.unansweredCommits.get(job);
    const applies: Record<Condition, boolean> = {
      "refused by the state service": world.stateCut.get(name) === "refused",
      "cut from its peers": world.meshCuts.has(name),
      "just started": startedMs !== 0 && this.isRecent(startedMs),
      "just took a partition": this.isRecent(this.lastTakeoverMs.get(name)),
      "just lost a partition": this.isRecent(this.lastLossMs.get(name)),
      "has an unanswered commit on the job":
        unansweredCommit?.name === name &&
        world.now <= unansweredCommit.untilMs,
    };
    return CONDITIONS.filter((c) => applies[c]);
  }
}

/**
 * Right after users learn that a job is accepted, done or cancelled, they query all controllers within milliseconds and repeat
 * the submission; some cancel at once. Meanwhile one controller is refused by the state service, cut from its peers, has just
 * started, has just taken or lost a partition, or has an unanswered commit on the same job.
 */
export function concurrentQueries(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 3 + (seed % 3),
    runFactor: 0.7,
  });
  const { rng } = world;
  const occurred = new Occurrences([
    ...REPORTED_STATUSES.flatMap((t) => CONDITIONS.map((c) => `${t}, ${c}`)),
    "cancelled within 100 ms of accepted",
    "accepted, waits for another job",
  ]);
  const conditions = new ControllerConditions(world);

  world.checker.onStateTold = (id, status) => {
    if (world.now > FAULTS_END_MS) return;
    for (const afterMs of QUERY_DELAYS_MS)
      world.at(afterMs, () => {
        for (const name of world.names)
          for (const c of conditions.conditionsOf(name, id))
            occurred.note(`${status}, ${c}`);
        askAllControllers(world, id);
      });
    if (status === "accepted" && (world.dependsOn.get(id)?.length ?? 0) > 0)
      occurred.note("accepted, waits for another job");
    if (status === "accepted" && rng.chance(0.2)) {
      occurred.note("cancelled within 100 ms of accepted");
      world.at(rng.real(0, 100), () => cancel(world, id));
    }
    if (rng.chance(0.15)) injectFault(world);
  };

  loseRepliesOnJobs(world, conditions);
  changeJobsAtTakeovers(world, conditions);
  submitWorkload(world, FAULTS_END_MS - 5_000, plainJob);
  pipelines(world, 5_000, FAULTS_END_MS - 10_000);
  runToEnd(world, FAULTS_END_MS + 5_000);
  return { world, occurred: occurred.counts };
}

/** Injects a fault into one controller when a user learns a status, before the queries that follow. */
function injectFault(world: World): void {
  const { rng } = world;
  const name = rng.pick(world.names);
  const forMs = rng.real(300, 3_000);
  switch (rng.int(0, 2)) {
    case 0:
      return refuseStoreCalls(world, name, forMs);
    case 1:
      return cutFromPeers(world, name, forMs);
    case 2:
      return restartController(world, name, rng.real(0, 150));
  }
}

/** Carries out some transactions on jobs without a reply, and queries all controllers before the writer knows the outcome. */
function loseRepliesOnJobs(
  world: World,
  conditions: ControllerConditions,
): void {
  const { rng } = world;
  world.commitFate = (name, commit) => {
    const id = commit.writes
      .map((w) => /^lc\/(?:now\/job|past)\/(.*)$/.exec(w.key)?.[1])
      .find((x) => x !== undefined);
    if (id === undefined || world.now > FAULTS_END_MS || !rng.chance(0.15))
      return undefined;
    const beforeMs = rng.real(1, 20);
    conditions.unansweredCommits.set(id, { name, untilMs: world.now + 1_500 });
    world.at(beforeMs + rng.real(0, 300), () => askAllControllers(world, id));
    return { applyAfterMs: beforeMs, answered: false };
  };
}

/** Submits and cancels jobs around takeovers, so that queries reach the controllers that have just taken or lost a partition. */
function changeJobsAtTakeovers(
  world: World,
  conditions: ControllerConditions,
): void {
  const { rng } = world;
  const changeJobs = (): void => {
    if (world.now > FAULTS_END_MS) return;
    const accepted = [...world.checker.toldStates].filter(
      ([, t]) => t === "accepted",
    );
    for (let n = 0; n < 3 && accepted.length > 0; n++) {
      const [id] = rng.pick(accepted);
      world.at(rng.real(0, RECENT_MS / 2), () => cancel(world, id));
    }
    for (let n = 0; n < 3; n++) {
      const spec = plainJob(world, 700_000 + ++submitted);
      world.specs.set(spec.id, spec);
      world.at(rng.real(0, RECENT_MS / 2), () =>
        submit(world, spec, world.now),
      );
    }
  };
  let submitted = 0;
  watchPartitions(world, ({ owner, formerOwner }) => {
    conditions.lastTakeoverMs.set(owner, world.now);
    if (formerOwner !== owner)
      conditions.lastLossMs.set(formerOwner, world.now);
    changeJobs();
  });
  // Downtime longer than a store lease: a peer takes the partition, and releases it when the restarted controller asks for it.
  for (const awayMs of [10_000, 60_000])
    world.at(awayMs, () =>
      restartController(world, rng.pick(world.names), rng.real(17_000, 24_000)),
    );
}
