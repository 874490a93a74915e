/** A simulated day on which one team's limit is short: machines in several zones, and jobs submitted at set times. */
import assert from "node:assert/strict";
import type { JobSpec } from "../../../src/coordination/model.js";
import { randomJob } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

export interface LimitedWorldOptions {
  seed: number;
  controllers: number;
  cpusMax: number;
  gpusMax?: number;
  /** Machines of each zone that are there from the start, and their type. */
  machines?: number;
  machineType?: "small" | "big";
  /** Tasks run for 1 to 12 s, times this. */
  runFactor?: number;
}

export class LimitedWorld {
  readonly world: World;
  private jobs = 0;
  /** When the first task of each job began to run, in ms. */
  private readonly begunMs = new Map<string, number>();

  constructor({
    seed,
    controllers,
    cpusMax,
    gpusMax = Infinity,
    machines = 3,
    machineType = "small",
    runFactor = 1,
  }: LimitedWorldOptions) {
    const world = new World(seed, undefined, [], controllers);
    world.loss = 0;
    world.capacity = 6;
    world.runFactor = runFactor;
    world.settings.teams = new Map([
      ["red", { name: "red", cpus: 0, gpus: 0, cpusMax, gpusMax }],
    ]);
    world.bootAll();
    const type = world.types.find(({ name }) => name === machineType);
    assert.ok(type);
    for (const zone of type.zones)
      for (let n = 0; n < machines; n++) world.cloud.add(type, zone, false, 0);
    world.every(250, () => this.noteBegun());
    this.world = world;
  }

  /** Submits a job of the team at a time of the day. */
  submit(atMs: number, over: Partial<JobSpec> = {}): string {
    const spec: JobSpec = {
      ...randomJob(this.world, ++this.jobs),
      team: "red",
      kind: "array",
      jobClass: over.kind === "gang" ? "gangs" : "arrays",
      priority: "normal",
      tasks: 1,
      cpus: 1,
      gpus: 0,
      machineTypes: null,
      zone: null,
      samePlace: false,
      spread: false,
      spot: false,
      estimateS: 30,
      checkpointS: 0,
      deadlineS: null,
      ...over,
    };
    this.world.specs.set(spec.id, spec);
    this.world.at(atMs, () =>
      this.world.ask(
        this.world.rng.pick(this.world.names),
        (reqId) => ({ type: "submit", reqId, spec }),
        (answer) =>
          answer?.kind === "job" &&
          this.world.checker.answered(spec.id, answer.state, this.world.now),
      ),
    );
    return spec.id;
  }

  /** The first second of work of a job, in s after `sinceMs`; Infinity: it has not begun. */
  begunS(job: string, sinceMs: number): number {
    return ((this.begunMs.get(job) ?? Infinity) - sinceMs) / 1_000;
  }

  /** Runs until then, looking from `fromMs` on whether anybody is left waiting; no rule may break. */
  run(untilMs: number, fromMs = 0): void {
    const { world } = this;
    world.at(fromMs, () =>
      world.every(1_000, () => world.checker.nobodyLeft()),
    );
    world.run(untilMs);
    assert.deepEqual(
      world.checker.broken,
      [],
      world.logs
        .filter((line) => /quota|starting|accepted/.test(line))
        .slice(-25)
        .join("\n"),
    );
  }

  /** Lines of the log that say that quota was given, from a time of the day on. */
  transfersSince(fromMs: number): string[] {
    return this.world.logs.filter(
      (line) =>
        line.includes("transferring quota") &&
        Number(line.split(" ")[0]) * 1_000 >= fromMs,
    );
  }

  private noteBegun(): void {
    for (const machine of this.world.workers)
      for (const task of machine.tasks.values())
        if (task.state !== "exited" && !this.begunMs.has(task.job))
          this.begunMs.set(task.job, this.world.now);
  }
}
