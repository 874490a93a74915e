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
  refuse,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  watchPartitions,
} from "./stage.js";

const OVER_MS = 120_000;
/** Questions at all controllers come in three bursts after a user was told something, each within 20 ms of its beginning. */
const BURSTS_MS = [0, 40, 250];
/** What happened to a controller so lately counts as just now. */
const JUST_MS = 1_000;

const TOLD = ["accepted", "done", "cancelled"] as const;
const CONDITIONS = [
  "refused by the state service",
  "cut from its peers",
  "just started",
  "just took a group",
  "just lost a group",
  "has an unanswered commit on the job",
] as const;
type Condition = (typeof CONDITIONS)[number];

/** What each controller went through lately. */
class Conditions {
  readonly tookMs = new Map<string, number>();
  readonly lostMs = new Map<string, number>();
  /** By job: who has a commit on it without an answer, and until when. */
  readonly unanswered = new Map<string, { name: string; untilMs: number }>();

  constructor(private readonly world: World) {}

  private isRecent(ms: number | undefined): boolean {
    return ms !== undefined && this.world.now - ms <= JUST_MS;
  }
  of(name: string, id: string): Condition[] {
    const { world } = this;
    const startedMs = world.nodes.get(name)?.startedMs;
    const open = this.unanswered.get(id);
    const holds: Record<Condition, boolean> = {
      "refused by the state service": world.stateCut.get(name) === "refused",
      "cut from its peers": world.meshCuts.has(name),
      "just started": startedMs !== 0 && this.isRecent(startedMs),
      "just took a group": this.isRecent(this.tookMs.get(name)),
      "just lost a group": this.isRecent(this.lostMs.get(name)),
      "has an unanswered commit on the job":
        open?.name === name && world.now <= open.untilMs,
    };
    return CONDITIONS.filter((c) => holds[c]);
  }
}

/**
 * Users ask at all controllers within milliseconds, and repeat the submission, right after they were told that a job is accepted, done
 * or cancelled, and some cancel at once; meanwhile one controller is refused, cut from its peers, has just started, has just taken or
 * lost a group, or has a commit on that very job without an answer.
 */
export function closeQuestions(seed: number): ScenarioRun {
  const world = stage(seed, { controllers: 3 + (seed % 3), runFactor: 0.7 });
  const { rng } = world;
  const occurred = new Occurrences([
    ...TOLD.flatMap((t) => CONDITIONS.map((c) => `${t}, ${c}`)),
    "cancelled within 100 ms of accepted",
    "accepted, waits for another job",
  ]);
  const conditions = new Conditions(world);

  world.checker.onTold = (id, told) => {
    if (world.now > OVER_MS) return;
    for (const afterMs of BURSTS_MS)
      world.at(afterMs, () => {
        for (const name of world.names)
          for (const c of conditions.of(name, id))
            occurred.note(`${told}, ${c}`);
        askAllControllers(world, id);
      });
    if (told === "accepted" && (world.dependsOn.get(id)?.length ?? 0) > 0)
      occurred.note("accepted, waits for another job");
    if (told === "accepted" && rng.chance(0.2)) {
      occurred.note("cancelled within 100 ms of accepted");
      world.at(rng.real(0, 100), () => cancel(world, id));
    }
    if (rng.chance(0.15)) disturb(world);
  };

  loseAnswersOnJobs(world, conditions);
  tellAtTakeovers(world, conditions);
  submitWorkload(world, OVER_MS - 5_000, plainJob);
  pipelines(world, 5_000, OVER_MS - 10_000);
  runToEnd(world, OVER_MS + 5_000);
  return { world, occurred: occurred.counts };
}

/** One controller is hit by a fault at the moment of a telling, before the questions that follow it. */
function disturb(world: World): void {
  const { rng } = world;
  const name = rng.pick(world.names);
  const forMs = rng.real(300, 3_000);
  switch (rng.int(0, 2)) {
    case 0:
      return refuse(world, name, forMs);
    case 1:
      return cutFromPeers(world, name, forMs);
    case 2:
      return restart(world, name, rng.real(0, 150));
  }
}

/** Some transactions on a job are carried out and not answered; others are asked about the job before their writer knows. */
function loseAnswersOnJobs(world: World, conditions: Conditions): void {
  const { rng } = world;
  world.commitFate = (name, commit) => {
    const id = commit.writes
      .map((w) => /^lc\/(?:now\/job|past)\/(.*)$/.exec(w.key)?.[1])
      .find((x) => x !== undefined);
    if (id === undefined || world.now > OVER_MS || !rng.chance(0.15))
      return undefined;
    const beforeMs = rng.real(1, 20);
    conditions.unanswered.set(id, { name, untilMs: world.now + 1_500 });
    world.at(beforeMs + rng.real(0, 300), () => askAllControllers(world, id));
    return { beforeMs, answered: false };
  };
}

/** A controller that takes a group, and the one that lost it, are asked about what users are told at that moment. */
function tellAtTakeovers(world: World, conditions: Conditions): void {
  const { rng } = world;
  const tell = (): void => {
    if (world.now > OVER_MS) return;
    const accepted = [...world.checker.told].filter(
      ([, t]) => t === "accepted",
    );
    for (let n = 0; n < 3 && accepted.length > 0; n++) {
      const [id] = rng.pick(accepted);
      world.at(rng.real(0, JUST_MS / 2), () => cancel(world, id));
    }
    for (let n = 0; n < 3; n++) {
      const spec = plainJob(world, 700_000 + ++submitted);
      world.specs.set(spec.id, spec);
      world.at(rng.real(0, JUST_MS / 2), () => submit(world, spec, world.now));
    }
  };
  let submitted = 0;
  watchPartitions(world, ({ owner, formerOwner }) => {
    conditions.tookMs.set(owner, world.now);
    if (formerOwner !== owner) conditions.lostMs.set(formerOwner, world.now);
    tell();
  });
  // A peer takes the groups of one that is away for longer than its hold; when it is back it asks for its own, and that peer gives it up.
  for (const awayMs of [10_000, 60_000])
    world.at(awayMs, () =>
      restart(world, rng.pick(world.names), rng.real(17_000, 24_000)),
    );
}
