import type { Settings } from "../../src/config/settings.js";
import type { Controller } from "../../src/coordination/controller.js";
import type { Effect } from "../../src/coordination/effects.js";
import { attemptKey } from "../../src/coordination/machines/worker-state.js";
import type { JobSpec } from "../../src/coordination/model.js";
import { entryOf } from "../../src/coordination/quota/quota-records.js";
import { DIMENSIONS } from "../../src/coordination/quota/resource-amounts.js";
import type { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { EPSILON } from "../../src/coordination/scheduling/placement.js";
import type { Write } from "../../src/protocol/state.js";
import type { SimWorker } from "./machine.js";

/** What the checker reads of the world that it watches; `World` says what each of them means. */
export interface CheckedWorld {
  readonly now: number;
  readonly settings: Settings;
  readonly teamLimits: Settings["teams"] | null;
  readonly nextLimits: { readonly valueBytes: number; readonly txnOps: number };
  readonly names: readonly string[];
  readonly production: ReadonlySet<string>;
  readonly nodes: ReadonlyMap<string, { readonly core: Controller } | null>;
  readonly workers: readonly SimWorker[];
  readonly specs: ReadonlyMap<string, JobSpec>;
  readonly dependsOn: ReadonlyMap<string, readonly string[]>;
  readonly results: ReadonlySet<string>;
  readonly polled: ReadonlySet<string>;
  starts: number;
  clockOf(name: string): number;
}

/** Whether a leader counts a task on a machine. */
function isCounted(
  { state }: PartitionLeader,
  { id }: SimWorker,
  key: string,
): boolean {
  const worker = state.workers.get(id);
  return (
    worker !== undefined &&
    (worker.tasks.has(key) || worker.unconfirmedTasks.has(key))
  );
}

/** The partitions in whose written registries a machine is. */
const registeredIn = (core: Controller, { id }: SimWorker): string[] =>
  [...core.cache.registries].flatMap(([partition, records]) =>
    [...records.values()].some(({ machines }) => machines.has(id))
      ? [partition]
      : [],
  );

/** Broken by a task on a machine that the leader of its partition does not count. */
export const UNCOUNTED = "uncounted";

/** PROTOCOL's rules, checked on what the workers really do and what users are really told. */
export class Checker {
  readonly broken: string[] = [];
  /** Checks what the rules rest on as well: off where a test is to see that the rules themselves would notice. */
  invariants = true;
  readonly told = new Map<string, "accepted" | "done" | "cancelled">();
  private readonly cancelledMs = new Map<string, number>();

  constructor(private readonly world: CheckedWorld) {}

  fail(rule: string, what: string): void {
    this.broken.push(
      `${rule} at ${(this.world.now / 1000).toFixed(3)} s: ${what}`,
    );
  }

  private *on(): Generator<{
    w: SimWorker;
    job: string;
    index: number;
    attempt: number;
    spec: JobSpec;
  }> {
    for (const w of this.world.workers)
      if (!w.gone)
        for (const t of w.tasks.values())
          if (w.onMachine(t))
            yield {
              w,
              job: t.job,
              index: t.index,
              attempt: t.attempt,
              spec: this.world.specs.get(t.job)!,
            };
  }

  /** A task gets on its machine: it has its image. */
  begins(w: SimWorker, job: string, index: number): void {
    this.world.starts++;
    const spec = this.world.specs.get(job)!;
    const used = { cpus: spec.cpus, gpus: spec.gpus };
    const zones = new Map<string, number>([[w.zone, 1]]);
    for (const o of this.on()) {
      if (o.job === job && o.index === index && o.w !== w)
        this.fail("ran_twice", `${job}/${index} on ${w.id} and ${o.w.id}`);
      if (o.job === job && o.index === index) continue;
      if (o.spec.team === spec.team) {
        used.cpus += o.spec.cpus;
        used.gpus += o.spec.gpus;
      }
      if (o.job === job) zones.set(o.w.zone, (zones.get(o.w.zone) ?? 0) + 1);
    }
    const team = (this.world.teamLimits ?? this.world.settings.teams).get(
      spec.team,
    )!;
    if (used.cpus > team.cpusMax + 1e-6 || used.gpus > team.gpusMax + 1e-6)
      this.fail(
        "quota",
        `${spec.team} uses ${used.cpus} CPUs, ${used.gpus} GPUs`,
      );
    if (
      (spec.machineTypes && !spec.machineTypes.includes(w.type.name)) ||
      (spec.zone && spec.zone !== w.zone) ||
      (w.spot && !spec.spot)
    )
      this.fail("wrong_place", `${job}/${index} on ${w.id}`);
    if (spec.samePlace && zones.size > 1)
      this.fail(
        "wrong_place",
        `samePlace: ${job} in ${[...zones.keys()].join()}`,
      );
    if (spec.spread)
      for (const [z, n] of zones)
        if (n > Math.ceil(spec.tasks / 2))
          this.fail("wrong_place", `spread: ${n} of ${job} in ${z}`);
    if (this.cancelledMs.has(job)) this.startsAfterCancelled++;
    this.checkCancelled(job);
    for (const name of this.world.dependsOn.get(job) ?? [])
      if (!this.isDone(name))
        this.fail("too_early", `${job}/${index} before ${name}`);
  }
  isDone(job: string): boolean {
    const n = this.world.specs.get(job)!.tasks;
    for (let i = 0; i < n; i++)
      if (!this.world.results.has(`${job}/${i}`)) return false;
    return true;
  }
  /** A job and all that it needs, through any others. */
  private needed(job: string, met = new Set<string>()): Set<string> {
    met.add(job);
    for (const name of this.world.dependsOn.get(job) ?? [])
      if (!met.has(name)) this.needed(name, met);
    return met;
  }
  /** What the present version writes fits the limits that are to come, at all times. */
  committed(node: string, writes: readonly Write[]): void {
    const { valueBytes, txnOps } = this.world.nextLimits;
    if (writes.length > txnOps)
      this.fail("limits", `${node}: ${writes.length} changes`);
    for (const w of writes) {
      const kind = w.key.split("/")[2]!;
      this.writes.set(kind, (this.writes.get(kind) ?? 0) + 1);
      if (
        w.op === "put" &&
        Buffer.byteLength(JSON.stringify(w.value)) > valueBytes
      )
        this.fail(
          "limits",
          `${node}: ${w.key} takes ${JSON.stringify(w.value).length} bytes`,
        );
    }
  }
  /** Changes sent by the present version, by kind of record. */
  readonly writes = new Map<string, number>();
  /** Tasks that were on machines when the cancellation of their job was confirmed, and the longest that one stayed there, in ms. */
  cancelledOn = 0;
  /** Tasks that got on a machine after the cancellation of their job was confirmed: their starts were on the way. */
  startsAfterCancelled = 0;
  longestAfterMs = 0;
  private checkCancelled(job: string): void {
    const at = this.cancelledMs.get(job);
    if (at !== undefined)
      this.longestAfterMs = Math.max(this.longestAfterMs, this.world.now - at);
    if (
      at !== undefined &&
      this.world.now > at + this.world.settings.cancelS * 1000
    )
      this.fail(
        "ran_cancelled",
        `${job}, ${(this.world.now - at) / 1000} s after`,
      );
  }
  /** What only a permit allows is being sent. */
  leaves(name: string, core: Controller, e: Effect): void {
    if (!this.invariants) return;
    const needsPermit =
      e.type === "workerCommand" ||
      (e.type === "answer" && e.answer.kind === "commands");
    if (needsPermit && core.leadershipLease.untilMs <= this.world.clockOf(name))
      this.fail("no_permit", `${name}: ${e.type}`);
  }
  /** Controllers of the present version that may act now. */
  private *acting(): Generator<{ name: string; core: Controller }> {
    for (const name of this.world.names) {
      const core = this.world.production.has(name)
        ? null
        : this.world.nodes.get(name)?.core;
      if (core && core.leadershipLease.untilMs > this.world.clockOf(name))
        yield { name, core };
    }
  }
  /** The invariant that most rules rest on: a group has one master at a time that may act. */
  private oneLeader(): void {
    if (!this.invariants) return;
    const leaders = new Map<string, string>();
    for (const { name, core } of this.acting())
      for (const partition of core.leaders.keys()) {
        if (leaders.has(partition))
          this.fail(
            "two_masters",
            `${partition}: ${leaders.get(partition)} and ${name}`,
          );
        leaders.set(partition, name);
      }
  }
  /**
   * The invariant that limits rest on: what is on a machine is counted by the leader of its partition, once the failover
   * fence is lifted, or lies in the part of the partition that started it. A team's use on machines is then no more than what the
   * leaders count together and such parts.
   */
  everyTaskCounted(): void {
    if (!this.invariants) return;
    for (const { name, core } of this.acting())
      for (const { w, job, index, attempt, spec } of this.on()) {
        const partition = core.partitions.partitionOf(w.zone);
        const leader = core.leaders.get(partition);
        const key = attemptKey(job, index, attempt);
        if (!leader || leader.state.isFenced || isCounted(leader, w, key))
          continue;
        const former = registeredIn(core, w).filter((p) => p !== partition);
        if (former.some((p) => this.isInPartOf(p, core, w, key, spec.team)))
          continue;
        this.fail(UNCOUNTED, `${key} on ${w.id} is not counted by ${name}`);
      }
  }
  /**
   * Whether a task lies in the part of the limit of another partition, in whose registry its machine is: the zone changed hands, as a
   * controller was removed or named again. That partition's leader counts it, or has yet to learn what runs, or there is none; then the
   * written part covers all that runs on the machines of its registry. The zone's partition counts the task from the machine's first
   * heartbeat on.
   */
  private isInPartOf(
    partition: string,
    core: Controller,
    machine: SimWorker,
    key: string,
    team: string,
  ): boolean {
    for (const other of this.acting()) {
      const leader = other.core.leaders.get(partition);
      if (leader && !leader.state.isFenced)
        return isCounted(leader, machine, key);
    }
    const entry = entryOf(core.cache.quotaRecords, team);
    const part = entry?.shares[partition];
    if (!entry || !part) return false;
    const use: [number, number] = [0, 0];
    for (const { spec, w } of this.on())
      if (spec.team === team && registeredIn(core, w).includes(partition)) {
        use[0] += spec.cpus;
        use[1] += spec.gpus;
      }
    return DIMENSIONS.every(
      (dimension) =>
        entry.cap[dimension] === Infinity ||
        use[dimension] <= part[dimension] + EPSILON,
    );
  }
  sweep(): void {
    this.oneLeader();
    this.everyTaskCounted();
    for (const o of this.on()) this.checkCancelled(o.job);
  }

  /** `askedMs`: an answer may be older than one given meanwhile, but not than one given before the question. */
  answered(
    id: string,
    status: "queued" | "running" | "done" | "cancelled",
    askedMs: number,
  ): void {
    const final = this.told.get(id);
    const before =
      final !== undefined && (this.toldMs.get(id) ?? 0) < askedMs
        ? final
        : undefined;
    if (!this.world.specs.has(id)) this.fail("invented", id);
    const now =
      status === "done" || status === "cancelled" ? status : "accepted";
    if ((before === "done" || before === "cancelled") && now !== before)
      this.fail("went_back", `${id}: ${before}, then ${status}`);
    if (status === "done" && !this.isDone(id)) return this.fail("not_done", id);
    const needed = [...this.needed(id)];
    if (status === "cancelled" && !needed.some((x) => this.asked.has(x)))
      this.fail("went_back", `${id} was never cancelled`);
    if (now === "accepted")
      for (const x of needed)
        if (
          askedMs >
          (this.cancelledMs.get(x) ?? Infinity) +
            this.world.settings.cancelS * 1000
        )
          this.fail("orphaned", `${id} is ${status}, it needs ${x}`);
    if (status === "cancelled" && !this.cancelledMs.has(id)) {
      this.cancelledMs.set(id, this.world.now);
      for (const o of this.on()) if (o.job === id) this.cancelledOn++;
    }
    if (final === "done" || final === "cancelled") {
      if (now !== "accepted" && now !== final)
        this.fail("went_back", `${id}: ${final} and ${now}`);
      return;
    }
    if (final !== now) this.toldMs.set(id, this.world.now);
    this.told.set(id, now);
    if (final !== now) this.onTold?.(id, now);
  }
  /** Called when users learn for the first time that a job is accepted, done or cancelled. */
  onTold:
    ((id: string, now: "accepted" | "done" | "cancelled") => void) | null =
    null;
  /** When a question about a job was last answered. */
  readonly heardOf = new Map<string, number>();
  /** Called 75 s after the last injected fault ended, at `sinceMs`: a job about which nothing was answered since counts as forgotten. */
  remembers(sinceMs: number): void {
    for (const [id, told] of this.told)
      if (
        told !== "cancelled" &&
        (this.heardOf.get(id) ?? -1) < sinceMs &&
        (told === "accepted" || this.isPolled(id))
      )
        this.fail(
          "forgotten",
          `${id}: no question answered since ${sinceMs / 1000} s`,
        );
  }
  private readonly waitsSince = new Map<string, number>();
  /**
   * Called every second once all injected faults are over: no job is left waiting for 90 s while machines that fit have room for a task of it, or
   * for all tasks of a gang, and its team is under its limit.
   */
  nobodyLeft(): void {
    const on = new Map<string, number>();
    const used = new Map<string, { cpus: number; gpus: number }>();
    const free = new Map<SimWorker, { cpus: number; gpus: number }>();
    for (const w of this.world.workers) {
      if (w.gone || !w.up || w.noticeMs !== null || w.faulty) continue;
      const f = { cpus: w.type.cpus, gpus: w.type.gpus };
      for (const t of w.tasks.values()) {
        if (t.state === "exited") continue;
        const spec = this.world.specs.get(t.job)!;
        on.set(t.job, (on.get(t.job) ?? 0) + 1);
        const u = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
        used.set(spec.team, {
          cpus: u.cpus + spec.cpus,
          gpus: u.gpus + spec.gpus,
        });
        f.cpus -= spec.cpus;
        f.gpus -= spec.gpus;
      }
      free.set(w, f);
    }
    for (const [id, told] of this.told) {
      const spec = this.world.specs.get(id)!;
      const waits =
        told === "accepted" &&
        !this.asked.has(id) &&
        !on.has(id) &&
        !this.isDone(id) &&
        (this.world.dependsOn.get(id) ?? []).every((x) => this.isDone(x));
      if (!waits || !this.fits(spec, free, used.get(spec.team))) {
        this.waitsSince.delete(id);
        continue;
      }
      const since = this.waitsSince.get(id) ?? this.world.now;
      this.waitsSince.set(id, since);
      if (this.world.now - since > 90_000)
        this.fail(
          "left_waiting",
          `${id} (${spec.kind} of ${spec.tasks}) for ${(this.world.now - since) / 1000} s`,
        );
    }
  }
  private fits(
    spec: JobSpec,
    free: ReadonlyMap<SimWorker, { cpus: number; gpus: number }>,
    used = { cpus: 0, gpus: 0 },
  ): boolean {
    const team = (this.world.teamLimits ?? this.world.settings.teams).get(
      spec.team,
    )!;
    const n = spec.kind === "array" ? 1 : spec.tasks;
    if (
      used.cpus + n * spec.cpus > team.cpusMax ||
      used.gpus + n * spec.gpus > team.gpusMax
    )
      return false;
    const places = new Map<string, number>();
    for (const [w, f] of free) {
      if (
        (spec.machineTypes && !spec.machineTypes.includes(w.type.name)) ||
        (spec.zone && spec.zone !== w.zone) ||
        (w.spot && !spec.spot)
      )
        continue;
      const k = Math.min(
        Math.floor((f.cpus + 1e-6) / spec.cpus),
        spec.gpus > 0 ? Math.floor(f.gpus / spec.gpus) : Infinity,
      );
      places.set(w.zone, (places.get(w.zone) ?? 0) + Math.max(0, k));
    }
    const most = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const all = [...places.values()].map((x) => Math.min(x, most));
    return (
      (spec.samePlace ? Math.max(0, ...all) : all.reduce((a, b) => a + b, 0)) >=
      n
    );
  }
  /** Jobs that were accepted and are not known to be over, services aside. */
  unfinished(): string[] {
    return [...this.told]
      .filter(
        ([id, s]) =>
          s === "accepted" && this.world.specs.get(id)!.kind !== "service",
      )
      .map(([id]) => id);
  }
  private isPolled(id: string): boolean {
    return this.world.polled.has(id) && !this.heardOf.has(id);
  }
  private readonly toldMs = new Map<string, number>();
  readonly asked = new Set<string>();
  refused(id: string, status: number, askedMs: number): void {
    if ((this.toldMs.get(id) ?? Infinity) < askedMs)
      this.fail("forgotten", `${id} got ${status}`);
  }
}
