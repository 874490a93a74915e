import type { Settings } from "../../src/config/settings.js";
import type { Controller } from "../../src/coordination/controller.js";
import type { Effect } from "../../src/coordination/effects.js";
import { attemptKey } from "../../src/coordination/machines/worker-state.js";
import type { Command, JobSpec } from "../../src/coordination/model.js";
import { entryOf } from "../../src/coordination/quota/quota-records.js";
import { DIMENSIONS } from "../../src/coordination/quota/resource-amounts.js";
import type { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { EPSILON } from "../../src/coordination/scheduling/placement.js";
import { MAX_COMMANDS } from "../../src/protocol/message-size.js";
import type { Write } from "../../src/protocol/state.js";
import type { SimWorker } from "./machine.js";

/** The part of the world that the checker reads; the members are documented in `World`. */
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

/** Whether a leader counts a task as being on a machine. */
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

/** The partitions whose stored registries contain a machine. */
const registeredIn = (core: Controller, { id }: SimWorker): string[] =>
  [...core.cache.registries].flatMap(([partition, records]) =>
    [...records.values()].some(({ machines }) => machines.has(id))
      ? [partition]
      : [],
  );

/** Rule that breaks when the leader of a machine's partition does not count a task on that machine. */
export const UNCOUNTED = "uncounted";

/** Checks PROTOCOL's rules against what the simulated workers do and what users are answered. */
export class Checker {
  readonly brokenRules: string[] = [];
  /** Whether the invariants behind the rules are checked too; tests turn this off to show that the rules themselves detect a fault. */
  invariants = true;
  /** The state of each job that users were last told. */
  readonly toldStates = new Map<string, "accepted" | "done" | "cancelled">();
  /** When the cancellation of a job was first confirmed to a user. */
  private readonly cancelledMs = new Map<string, number>();

  constructor(private readonly world: CheckedWorld) {}

  fail(rule: string, details: string): void {
    this.brokenRules.push(
      `${rule} at ${(this.world.now / 1000).toFixed(3)} s: ${details}`,
    );
  }

  private *tasksOnMachines(): Generator<{
    machine: SimWorker;
    job: string;
    index: number;
    attempt: number;
    spec: JobSpec;
  }> {
    for (const machine of this.world.workers)
      if (!machine.gone)
        for (const task of machine.tasks.values())
          if (machine.occupiesMachine(task))
            yield {
              machine,
              job: task.job,
              index: task.index,
              attempt: task.attempt,
              spec: this.world.specs.get(task.job)!,
            };
  }

  /** Called when a machine has fetched the image of a task and the task starts there. */
  noteTaskStart(machine: SimWorker, job: string, index: number): void {
    this.world.starts++;
    const spec = this.world.specs.get(job)!;
    const used = { cpus: spec.cpus, gpus: spec.gpus };
    const tasksByZone = new Map<string, number>([[machine.zone, 1]]);
    for (const other of this.tasksOnMachines()) {
      if (
        other.job === job &&
        other.index === index &&
        other.machine !== machine
      )
        this.fail(
          "ran_twice",
          `${job}/${index} on ${machine.id} and ${other.machine.id}`,
        );
      if (other.job === job && other.index === index) continue;
      if (other.spec.team === spec.team) {
        used.cpus += other.spec.cpus;
        used.gpus += other.spec.gpus;
      }
      if (other.job === job)
        tasksByZone.set(
          other.machine.zone,
          (tasksByZone.get(other.machine.zone) ?? 0) + 1,
        );
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
      (spec.machineTypes && !spec.machineTypes.includes(machine.type.name)) ||
      (spec.zone && spec.zone !== machine.zone) ||
      (machine.spot && !spec.spot)
    )
      this.fail("wrong_place", `${job}/${index} on ${machine.id}`);
    if (spec.samePlace && tasksByZone.size > 1)
      this.fail(
        "wrong_place",
        `samePlace: ${job} in ${[...tasksByZone.keys()].join()}`,
      );
    if (spec.spread)
      for (const [zone, count] of tasksByZone)
        if (count > Math.ceil(spec.tasks / 2))
          this.fail("wrong_place", `spread: ${count} of ${job} in ${zone}`);
    if (this.cancelledMs.has(job)) this.startsAfterCancelled++;
    this.checkCancelled(job);
    for (const name of this.world.dependsOn.get(job) ?? [])
      if (!this.isDone(name))
        this.fail("too_early", `${job}/${index} before ${name}`);
  }
  isDone(job: string): boolean {
    const taskCount = this.world.specs.get(job)!.tasks;
    for (let i = 0; i < taskCount; i++)
      if (!this.world.results.has(`${job}/${i}`)) return false;
    return true;
  }
  /** A job and all its direct and indirect dependencies. */
  private withDependencies(
    job: string,
    visited = new Set<string>(),
  ): Set<string> {
    visited.add(job);
    for (const name of this.world.dependsOn.get(job) ?? [])
      if (!visited.has(name)) this.withDependencies(name, visited);
    return visited;
  }
  /** Checks that a transaction of the present version fits the lowered limits (`nextLimits`), also before they apply. */
  checkWrites(node: string, writes: readonly Write[]): void {
    const { valueBytes, txnOps } = this.world.nextLimits;
    if (writes.length > txnOps)
      this.fail("limits", `${node}: ${writes.length} writes`);
    for (const write of writes) {
      const kind = write.key.split("/")[2]!;
      this.writesByKind.set(kind, (this.writesByKind.get(kind) ?? 0) + 1);
      if (
        write.op === "put" &&
        Buffer.byteLength(JSON.stringify(write.value)) > valueBytes
      )
        this.fail(
          "limits",
          `${node}: ${write.key} takes ${JSON.stringify(write.value).length} bytes`,
        );
    }
  }
  /** Checks that a message of the present version carries no more commands than keep it within 64 KiB. */
  checkCommands(node: string, commands: readonly Command[]): void {
    if (!this.world.production.has(node) && commands.length > MAX_COMMANDS)
      this.fail("limits", `${node}: ${commands.length} commands in a message`);
  }
  /** Number of writes sent by the present version, by kind of record. */
  readonly writesByKind = new Map<string, number>();
  /** Tasks that were on machines when the cancellation of their job was confirmed. */
  tasksRunningAtCancellation = 0;
  /** Tasks that started after the cancellation of their job was confirmed, since their start commands were under way. */
  startsAfterCancelled = 0;
  /** The longest that a task stayed on a machine after the cancellation of its job was confirmed. */
  longestRunAfterCancellationMs = 0;
  private checkCancelled(job: string): void {
    const cancelledAtMs = this.cancelledMs.get(job);
    if (cancelledAtMs !== undefined)
      this.longestRunAfterCancellationMs = Math.max(
        this.longestRunAfterCancellationMs,
        this.world.now - cancelledAtMs,
      );
    if (
      cancelledAtMs !== undefined &&
      this.world.now > cancelledAtMs + this.world.settings.cancelS * 1000
    )
      this.fail(
        "ran_cancelled",
        `${job}, ${(this.world.now - cancelledAtMs) / 1000} s after`,
      );
  }
  /** Checks that an effect which needs the leadership lease is sent only while the controller holds it. */
  checkLeaseOnSend(name: string, core: Controller, effect: Effect): void {
    if (!this.invariants) return;
    const needsLease =
      effect.type === "workerCommand" ||
      (effect.type === "inspect" && effect.fence !== undefined) ||
      (effect.type === "answer" && effect.answer.kind === "commands");
    if (needsLease && core.leadershipLease.untilMs <= this.world.clockOf(name))
      this.fail("no_permit", `${name}: ${effect.type}`);
  }
  /** Controllers of the present version that hold their leadership lease now. */
  private *actingControllers(): Generator<{ name: string; core: Controller }> {
    for (const name of this.world.names) {
      const core = this.world.production.has(name)
        ? null
        : this.world.nodes.get(name)?.core;
      if (core && core.leadershipLease.untilMs > this.world.clockOf(name))
        yield { name, core };
    }
  }
  /** The invariant behind most rules: at most one controller at a time may act as leader of a partition. */
  private checkSingleLeader(): void {
    if (!this.invariants) return;
    const leaders = new Map<string, string>();
    for (const { name, core } of this.actingControllers())
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
   * The invariant behind the team limits: once the failover fence is lifted, a task on a machine is counted by the leader of the
   * machine's partition, or lies in the quota share of the partition that started it. A team's use on all machines is then at most
   * the sum of what the leaders count and of such shares.
   */
  checkEveryTaskCounted(): void {
    if (!this.invariants) return;
    for (const { name, core } of this.actingControllers())
      for (const {
        machine,
        job,
        index,
        attempt,
        spec,
      } of this.tasksOnMachines()) {
        const partition = core.partitions.partitionOf(machine.zone);
        const leader = core.leaders.get(partition);
        const key = attemptKey(job, index, attempt);
        if (!leader || leader.state.isFenced || isCounted(leader, machine, key))
          continue;
        const formerPartitions = registeredIn(core, machine).filter(
          (p) => p !== partition,
        );
        if (
          formerPartitions.some((p) =>
            this.isInQuotaShareOf(p, core, machine, key, spec.team),
          )
        )
          continue;
        this.fail(
          UNCOUNTED,
          `${key} on ${machine.id} is not counted by ${name}`,
        );
      }
  }
  /**
   * Whether a task lies in the quota share of another partition whose registry contains its machine. This occurs when a zone moves
   * between partitions, because a controller was removed or added again. Either the leader of the other partition counts the task,
   * or it is still fenced or there is none; in the latter two cases the stored share must cover all that runs on the machines of
   * its registry. The zone's new partition counts the task from the machine's first heartbeat on.
   */
  private isInQuotaShareOf(
    partition: string,
    core: Controller,
    machine: SimWorker,
    key: string,
    team: string,
  ): boolean {
    for (const other of this.actingControllers()) {
      const leader = other.core.leaders.get(partition);
      if (leader && !leader.state.isFenced)
        return isCounted(leader, machine, key);
    }
    const entry = entryOf(core.cache.quotaRecords, team);
    const share = entry?.shares[partition];
    if (!entry || !share) return false;
    const used: [number, number] = [0, 0];
    for (const { spec, machine: worker } of this.tasksOnMachines())
      if (
        spec.team === team &&
        registeredIn(core, worker).includes(partition)
      ) {
        used[0] += spec.cpus;
        used[1] += spec.gpus;
      }
    return DIMENSIONS.every(
      (dimension) =>
        entry.cap[dimension] === Infinity ||
        used[dimension] <= share[dimension] + EPSILON,
    );
  }
  sweep(): void {
    this.checkSingleLeader();
    this.checkEveryTaskCounted();
    for (const o of this.tasksOnMachines()) this.checkCancelled(o.job);
  }

  /** Checks an answer to a query sent at `askedMs`: it may be older than answers given since then, but not than earlier ones. */
  answered(
    id: string,
    status: "queued" | "running" | "done" | "cancelled",
    askedMs: number,
  ): void {
    const lastTold = this.toldStates.get(id);
    const toldBeforeAsking =
      lastTold !== undefined && (this.toldAtMs.get(id) ?? 0) < askedMs
        ? lastTold
        : undefined;
    if (!this.world.specs.has(id)) this.fail("invented", id);
    const newlyTold =
      status === "done" || status === "cancelled" ? status : "accepted";
    if (
      (toldBeforeAsking === "done" || toldBeforeAsking === "cancelled") &&
      newlyTold !== toldBeforeAsking
    )
      this.fail("went_back", `${id}: ${toldBeforeAsking}, then ${status}`);
    if (status === "done" && !this.isDone(id)) return this.fail("not_done", id);
    const jobAndDependencies = [...this.withDependencies(id)];
    if (
      status === "cancelled" &&
      !jobAndDependencies.some((x) => this.cancelRequests.has(x))
    )
      this.fail("went_back", `${id} was never cancelled`);
    if (newlyTold === "accepted")
      for (const dependency of jobAndDependencies)
        if (
          askedMs >
          (this.cancelledMs.get(dependency) ?? Infinity) +
            this.world.settings.cancelS * 1000
        )
          this.fail("orphaned", `${id} is ${status}, it needs ${dependency}`);
    if (status === "cancelled" && !this.cancelledMs.has(id)) {
      this.cancelledMs.set(id, this.world.now);
      for (const o of this.tasksOnMachines())
        if (o.job === id) this.tasksRunningAtCancellation++;
    }
    if (lastTold === "done" || lastTold === "cancelled") {
      if (newlyTold !== "accepted" && newlyTold !== lastTold)
        this.fail("went_back", `${id}: ${lastTold} and ${newlyTold}`);
      return;
    }
    if (lastTold !== newlyTold) this.toldAtMs.set(id, this.world.now);
    this.toldStates.set(id, newlyTold);
    if (lastTold !== newlyTold) this.onStateTold?.(id, newlyTold);
  }
  /** Called when users are told for the first time that a job is accepted, done or cancelled. */
  onStateTold:
    ((id: string, status: "accepted" | "done" | "cancelled") => void) | null =
    null;
  /** When a query about a job was last answered. */
  readonly lastAnsweredMs = new Map<string, number>();
  /** Called 75 s after `sinceMs`, when the last injected fault is over: a job with no answered query since then is forgotten. */
  checkNoneForgotten(sinceMs: number): void {
    for (const [id, told] of this.toldStates)
      if (
        told !== "cancelled" &&
        (this.lastAnsweredMs.get(id) ?? -1) < sinceMs &&
        (told === "accepted" || this.isPolledWithoutAnswer(id))
      )
        this.fail(
          "forgotten",
          `${id}: no question answered since ${sinceMs / 1000} s`,
        );
  }
  /** Since when each job has been waiting although it could start. */
  private readonly waitingSinceMs = new Map<string, number>();
  /**
   * Called every second once all injected faults are over: no job may wait for 90 s while suitable machines have room for one of
   * its tasks (for all tasks of a gang) and its team is under its limit.
   */
  checkNoneLeftWaiting(): void {
    const liveTasks = new Map<string, number>();
    const usedByTeam = new Map<string, { cpus: number; gpus: number }>();
    const freeResources = new Map<SimWorker, { cpus: number; gpus: number }>();
    for (const machine of this.world.workers) {
      if (
        machine.gone ||
        !machine.up ||
        machine.noticeMs !== null ||
        machine.faulty
      )
        continue;
      const available = { cpus: machine.type.cpus, gpus: machine.type.gpus };
      for (const task of machine.tasks.values()) {
        if (task.state === "exited") continue;
        const spec = this.world.specs.get(task.job)!;
        liveTasks.set(task.job, (liveTasks.get(task.job) ?? 0) + 1);
        const teamUse = usedByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
        usedByTeam.set(spec.team, {
          cpus: teamUse.cpus + spec.cpus,
          gpus: teamUse.gpus + spec.gpus,
        });
        available.cpus -= spec.cpus;
        available.gpus -= spec.gpus;
      }
      freeResources.set(machine, available);
    }
    for (const [id, told] of this.toldStates) {
      const spec = this.world.specs.get(id)!;
      const isWaiting =
        told === "accepted" &&
        !this.cancelRequests.has(id) &&
        !liveTasks.has(id) &&
        !this.isDone(id) &&
        (this.world.dependsOn.get(id) ?? []).every((x) => this.isDone(x));
      if (
        !isWaiting ||
        !this.hasRoomFor(spec, freeResources, usedByTeam.get(spec.team))
      ) {
        this.waitingSinceMs.delete(id);
        continue;
      }
      const sinceMs = this.waitingSinceMs.get(id) ?? this.world.now;
      this.waitingSinceMs.set(id, sinceMs);
      if (this.world.now - sinceMs > 90_000)
        this.fail(
          "left_waiting",
          `${id} (${spec.kind} of ${spec.tasks}) for ${(this.world.now - sinceMs) / 1000} s`,
        );
    }
  }
  private hasRoomFor(
    spec: JobSpec,
    free: ReadonlyMap<SimWorker, { cpus: number; gpus: number }>,
    used = { cpus: 0, gpus: 0 },
  ): boolean {
    const team = (this.world.teamLimits ?? this.world.settings.teams).get(
      spec.team,
    )!;
    const requiredTasks = spec.kind === "array" ? 1 : spec.tasks;
    if (
      used.cpus + requiredTasks * spec.cpus > team.cpusMax ||
      used.gpus + requiredTasks * spec.gpus > team.gpusMax
    )
      return false;
    const slotsByZone = new Map<string, number>();
    for (const [machine, available] of free) {
      if (
        (spec.machineTypes && !spec.machineTypes.includes(machine.type.name)) ||
        (spec.zone && spec.zone !== machine.zone) ||
        (machine.spot && !spec.spot)
      )
        continue;
      const slots = Math.min(
        Math.floor((available.cpus + 1e-6) / spec.cpus),
        spec.gpus > 0 ? Math.floor(available.gpus / spec.gpus) : Infinity,
      );
      slotsByZone.set(
        machine.zone,
        (slotsByZone.get(machine.zone) ?? 0) + Math.max(0, slots),
      );
    }
    const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    const usableSlots = [...slotsByZone.values()].map((x) =>
      Math.min(x, maxPerZone),
    );
    return (
      (spec.samePlace
        ? Math.max(0, ...usableSlots)
        : usableSlots.reduce((a, b) => a + b, 0)) >= requiredTasks
    );
  }
  /** Accepted jobs that users were not yet told to be done or cancelled, except services. */
  unfinished(): string[] {
    return [...this.toldStates]
      .filter(
        ([id, s]) =>
          s === "accepted" && this.world.specs.get(id)!.kind !== "service",
      )
      .map(([id]) => id);
  }
  private isPolledWithoutAnswer(id: string): boolean {
    return this.world.polled.has(id) && !this.lastAnsweredMs.has(id);
  }
  /** When the state in `toldStates` was first reported. */
  private readonly toldAtMs = new Map<string, number>();
  /** Jobs that a user has asked to cancel. */
  readonly cancelRequests = new Set<string>();
  refused(id: string, status: number, askedMs: number): void {
    if ((this.toldAtMs.get(id) ?? Infinity) < askedMs)
      this.fail("forgotten", `${id} got ${status}`);
  }
}
