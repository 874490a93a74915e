/** A simulated cluster in which one team's limit is scarce: machines in several zones, and jobs submitted at given times. */
import assert from "node:assert/strict";
import type { JobSpec } from "../../../src/coordination/model.js";
import { randomJob } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

export interface LimitedWorldOptions {
  seed: number;
  controllers: number;
  cpusMax: number;
  gpusMax?: number;
  /** Machines of each zone that exist from the start. */
  machinesPerZone?: number;
  machineType?: "small" | "big";
  /** Factor on the running time of tasks, which is 1 to 12 s. */
  runFactor?: number;
}

export class LimitedWorld {
  readonly world: World;
  private jobCount = 0;
  /** When the first task of each job started to run, in simulated ms. */
  private readonly startedMs = new Map<string, number>();

  constructor({
    seed,
    controllers,
    cpusMax,
    gpusMax = Infinity,
    machinesPerZone: machines = 3,
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
      for (let index = 0; index < machines; index++)
        world.cloud.add(type, zone, false, 0);
    world.every(250, () => this.noteStarts());
    this.world = world;
  }

  /** Submits a job of the team at a simulated time; returns its id. */
  submit(atMs: number, overrides: Partial<JobSpec> = {}): string {
    const spec: JobSpec = {
      ...randomJob(this.world, ++this.jobCount),
      team: "red",
      kind: "array",
      jobClass: overrides.kind === "gang" ? "gangs" : "arrays",
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
      ...overrides,
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

  /** Seconds from `sinceMs` to the start of a job's first task; Infinity if none has started. */
  startedAfterS(job: string, sinceMs: number): number {
    return ((this.startedMs.get(job) ?? Infinity) - sinceMs) / 1_000;
  }

  /** Runs until `untilMs`, expects that no invariant is violated and, from `fromMs` on, that no job is left waiting. */
  run(untilMs: number, fromMs = 0): void {
    const { world } = this;
    world.at(fromMs, () =>
      world.every(1_000, () => world.checker.checkNoneLeftWaiting()),
    );
    world.run(untilMs);
    assert.deepEqual(
      world.checker.brokenRules,
      [],
      world.logs
        .filter((line) => /quota|starting|accepted/.test(line))
        .slice(-25)
        .join("\n"),
    );
  }

  /** Log lines about quota transfers from `fromMs` on. */
  transfersSince(fromMs: number): string[] {
    return this.world.logs.filter(
      (line) =>
        line.includes("transferring quota") &&
        Number(line.split(" ")[0]) * 1_000 >= fromMs,
    );
  }

  private noteStarts(): void {
    for (const machine of this.world.workers)
      for (const task of machine.tasks.values())
        if (task.state !== "exited" && !this.startedMs.has(task.job))
          this.startedMs.set(task.job, this.world.now);
  }
}
