import { type Context, CLOCK_DRIFT_FACTOR } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { JobSpec, ListedMachine, MachineType } from "../model.js";
import { isAllowedOn, fits, isSuitable } from "../scheduling/placement.js";
import { ScaleOut } from "./scale-out.js";
import type { WarmCapacity } from "./scale-out-planner.js";
import type { QuotaAllocator } from "../quota/index.js";
import { saveTimeS, type Worker } from "./worker-state.js";

/** The window over which the most machines in use are remembered is cut into so many periods. */
const PEAK_PERIODS = 6;
/** Machines that one request gives back; the rest go with the next, at the pace of the cloud's limit. */
const MAX_RETURNED_AT_ONCE = 100;
/** A request to give machines back that failed is repeated after this time. */
const RETURN_RETRY_MS = 2_000;
/** The boot time of a type that the catalog does not name. */
const UNKNOWN_BOOT_S = 60;
/** A new machine has this long beyond its boot to make itself heard. */
const BOOT_SLACK_MS = 5_000;
/** The cloud's list is read anew no more often than this; its pages follow each other faster. */
const LIST_MS = 8_000;
const LIST_PAGE_MS = 500;
const LIST_RETRY_MS = 5_000;
/** A page without an answer is asked for again after this time. */
const LIST_GIVEN_UP_MS = 60_000;
/** How much longer than its lag the list may leave out a machine that exists. */
const UNLISTED_BOOTING_MS = 30_000;
const UNLISTED_LOST_MS = 60_000;
/** Late copies of reports come well over a lease after they were made. */
const RETURNED_MEMORY_MS = 900_000;

/** What is alike for all machines of one type, zone and kind is worked out once for each: there are hundreds of machines and few kinds. */
function memo<T>(of: (w: Worker) => T): (w: Worker) => T {
  const known = new Map<string, T>();
  return (w) => {
    const key = w.type ? w.offerKey : `?${w.offerKey}`;
    let value = known.get(key);
    if (value === undefined) known.set(key, (value = of(w)));
    return value;
  };
}

/** The machines of one group: rents what waiting work needs and gives back what nothing needs. */
export class ScaleIn {
  /** Machines to give back. `marked`: the roster says so. */
  private readonly returning = new Map<
    string,
    { why: string; retryMs: number; sent: boolean }
  >();
  readonly scaleOut: ScaleOut;
  private listed = new Map<string, ListedMachine & { seenMs: number }>();
  private listAfter = "";
  private listing: Map<string, ListedMachine & { seenMs: number }> | null =
    null;
  private nextListMs = 0;
  /** When the first page of the list was asked for. */
  private listingMs = 0;
  /** Machines that were given back: a lagging list may show them for a while. */
  private readonly returnedMs = new Map<string, number>();
  /** Machines of each type in use at once, the most in each of the last periods. */
  private readonly peaks = new Map<string, number[]>();
  private peakMs: number;
  private readonly objectiveClasses: ReadonlySet<string>;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    sharing: QuotaAllocator,
  ) {
    this.peakMs = ctx.nowMs;
    this.objectiveClasses = new Set(
      ctx.settings.objectives.flatMap((o) => o.class ?? []),
    );
    this.scaleOut = new ScaleOut(ctx, own, sharing, () => this.zones());
  }

  onMachineUp(w: Worker): void {
    // Found running, not rented by this master: somebody had a use for it.
    if (!this.scaleOut.booting.delete(w.id))
      this.notePeak(w.typeName, this.count(w.typeName));
    if (w.isReturning)
      this.returnWorker(w, "marked for return by a former master");
  }

  /** The cloud has said that it is gone. Names are never given twice: whatever still comes from it is late. */
  isGone(id: string): boolean {
    return this.returnedMs.has(id);
  }

  private typeOf(name: string): MachineType | undefined {
    return this.ctx.catalog?.find((t) => t.name === name);
  }
  private zones(): string[] {
    const zones = new Set<string>();
    for (const t of this.ctx.catalog ?? [])
      for (const z of t.zones)
        if (this.ctx.partitions.partitionOf(z) === this.own.partition)
          zones.add(z);
    return [...zones].sort();
  }

  // ---- giving back ---------------------------------------------------------------------------------------

  returnWorker(w: Worker, why: string): void {
    w.isReturning = true;
    this.returnMachine(w.id, w.typeName, why);
  }

  returnMachine(id: string, type: string, why: string): void {
    if (this.returning.has(id)) return;
    this.ctx.log("scaling in", { worker: id, type, reason: why });
    this.returning.set(id, { why, retryMs: 0, sent: false });
    this.scaleOut.booting.delete(id);
    // Marked before the request can leave: a return that is carried out late must find the machine unused.
    this.own.registry.set(id, { isReturning: true, type });
  }

  private sendReturns(): void {
    const now = this.ctx.nowMs;
    const ids: string[] = [];
    for (const [id, g] of this.returning) {
      if (
        g.sent ||
        now < g.retryMs ||
        ids.length >= MAX_RETURNED_AT_ONCE ||
        !this.own.registry.isReturnWritten(id)
      )
        continue;
      const w = this.own.workers.get(id);
      // Its tasks get the time to save; whoever can't is stopped at once.
      if (w && !w.leaseExpired && w.tasks.size > 0) {
        for (const t of w.tasks.values())
          this.own.stop(t, saveTimeS(t), "machine goes back");
        continue;
      }
      ids.push(id);
      g.sent = true;
    }
    if (ids.length === 0) return;
    this.ctx.cloud(
      { op: "return", machines: ids },
      CallPriority.Background,
      (reply) => {
        if (reply.kind === "returned") {
          for (const id of ids) this.returning.delete(id);
          for (const id of ids) {
            this.listed.delete(id);
            this.returnedMs.set(id, this.ctx.nowMs);
          }
          this.own.machinesGone(ids);
          return;
        }
        for (const id of ids) {
          const g = this.returning.get(id);
          if (g) {
            g.sent = false;
            g.retryMs = this.ctx.nowMs + RETURN_RETRY_MS;
          }
        }
      },
    );
  }

  // ---- how many to keep ----------------------------------------------------------------------------------

  private count(type: string): number {
    let n = 0;
    for (const w of this.own.workers.values())
      if (w.typeName === type && !w.leaseExpired && !w.isReturning) n++;
    return n;
  }
  private notePeak(type: string, n: number): void {
    let p = this.peaks.get(type);
    if (!p)
      this.peaks.set(type, (p = Array.from({ length: PEAK_PERIODS }, () => 0)));
    p[0] = Math.max(p[0]!, n);
  }
  private peakOf(type: string): number {
    return Math.max(0, ...(this.peaks.get(type) ?? []));
  }
  /** Machines of a type to have free beyond those in use, for the next job that is expected to start at once. */
  private spareFor(type: string): number {
    return Math.ceil(this.peakOf(type) * this.ctx.tuning.spareShare);
  }
  private notePeaks(): void {
    const periodMs = (this.ctx.tuning.warmWindowS * 1000) / PEAK_PERIODS;
    if (this.ctx.nowMs - this.peakMs > periodMs) {
      this.peakMs = this.ctx.nowMs;
      for (const p of this.peaks.values()) {
        p.pop();
        p.unshift(0);
      }
    }
    const busy = new Map<string, number>();
    for (const w of this.own.workers.values())
      if (w.tasks.size > 0)
        busy.set(w.typeName, (busy.get(w.typeName) ?? 0) + 1);
    for (const [type, n] of busy) this.notePeak(type, n);
  }

  /**
   * Idle machines are justified in two ways: by the most that were in use at once of late, where some class is
   * expected to start sooner than such a machine boots; else for as long as booting another would take.
   */
  private returnIdle(): void {
    const now = this.ctx.nowMs;
    const spare = new Map<string, number>();
    const idle: Worker[] = [];
    const bootS = memo(
      (w: Worker) => this.typeOf(w.typeName)?.bootS ?? UNKNOWN_BOOT_S,
    );
    for (const w of this.own.workers.values())
      if (
        !w.isReturning &&
        !w.leaseExpired &&
        w.idleSinceMs !== null &&
        now - w.idleSinceMs >=
          Math.max(
            this.ctx.tuning.idleReturnS,
            bootS(w) * this.ctx.tuning.idleBoots,
          ) *
            1000
      )
        idle.push(w);
    const wanted = memo((w: Worker) => this.wanted(w));
    const expected = memo((w: Worker) =>
      this.ctx.settings.objectives.some(
        (o) =>
          o.kind === "wait" &&
          (o.withinS ?? Infinity) < bootS(w) &&
          this.serves(o.class, w),
      ),
    );
    for (const w of idle.sort((a, b) => a.idleSinceMs! - b.idleSinceMs!)) {
      if (wanted(w)) continue;
      if (expected(w)) {
        const left =
          spare.get(w.typeName) ??
          this.count(w.typeName) -
            this.peakOf(w.typeName) -
            this.spareFor(w.typeName);
        spare.set(w.typeName, left - 1);
        if (left <= 0) continue;
      }
      this.returnWorker(w, "idle");
    }
    for (const w of this.own.workers.values())
      if (
        !w.isReturning &&
        w.leaseExpired &&
        now - w.lastAnsweredMs > this.ctx.tuning.silentReturnS * 1000
      )
        this.returnWorker(w, "silent for too long");
    for (const w of this.own
      .unreachableMachines()
      .slice(0, this.own.unreachableBeingReplaced()))
      if (
        now - w.delivery.unreachableSinceMs! >
        this.ctx.tuning.silentReturnS * 1000
      )
        this.returnWorker(w, "does not receive");
    for (const [id, b] of this.scaleOut.booting) {
      const usual = (this.typeOf(b.type)?.bootS ?? UNKNOWN_BOOT_S) * 1000;
      if (
        now - b.rentedMs >
        usual * this.ctx.tuning.bootPatience + BOOT_SLACK_MS
      )
        this.returnMachine(id, b.type, "never came up");
    }
  }

  /** The last job of each class that an objective names: machines for its like are kept. */
  private readonly classNeeds = new Map<string, JobSpec>();
  noteJob(spec: JobSpec): void {
    if (this.objectiveClasses.has(spec.jobClass))
      this.classNeeds.set(spec.jobClass, spec);
  }
  private serves(cls: string | undefined, w: Worker): boolean {
    const s = cls === undefined ? undefined : this.classNeeds.get(cls);
    return (
      s !== undefined &&
      w.type !== null &&
      isAllowedOn({ ...s, zone: null }, w.typeName, w.zone, w.spot) &&
      fits(s, w.type) &&
      s.gpus > 0 === w.type.gpus > 0
    );
  }

  /** Some waiting task could use it. */
  private wanted(w: Worker): boolean {
    for (const j of this.own.jobs.values()) {
      const s = j.view.spec;
      if (
        !j.waiting.isEmpty &&
        isAllowedOn(s, w.typeName, w.zone, w.spot) &&
        w.type &&
        fits(s, w.type) &&
        isSuitable(s, w.type, w.spot, this.ctx.catalog)
      )
        return true;
    }
    return false;
  }

  // ---- the list ------------------------------------------------------------------------------------------

  private pollList(): void {
    const now = this.ctx.nowMs;
    if (now < this.nextListMs) return;
    this.nextListMs = now + LIST_GIVEN_UP_MS;
    if (!this.listing) this.listingMs = now;
    this.listing ??= new Map();
    const listing = this.listing;
    this.ctx.cloud(
      { op: "list", after: this.listAfter },
      CallPriority.Background,
      (reply) => {
        if (reply.kind !== "list") {
          this.nextListMs = this.ctx.nowMs + LIST_RETRY_MS;
          return;
        }
        for (const m of reply.machines)
          if (this.ctx.partitions.partitionOf(m.zone) === this.own.partition)
            listing.set(m.id, { ...m, seenMs: this.ctx.nowMs });
        const last = reply.machines.at(-1);
        if (reply.more && last) {
          this.listAfter = last.id;
          this.nextListMs = this.ctx.nowMs + LIST_PAGE_MS;
          return;
        }
        this.listAfter = "";
        this.listing = null;
        this.listed = listing;
        this.nextListMs =
          this.ctx.nowMs +
          Math.max(LIST_MS, this.ctx.settings.cloud.listLagS * 1000);
        this.readList();
      },
    );
  }

  private readList(): void {
    const now = this.ctx.nowMs;
    const lagMs = this.ctx.settings.cloud.listLagS * 2_000;
    this.own.noteMachineList(
      this.listed,
      this.listingMs - lagMs * CLOCK_DRIFT_FACTOR,
    );
    for (const m of this.listed.values()) {
      if (this.returning.has(m.id) || this.returnedMs.has(m.id)) continue;
      if (m.state === "failed") {
        this.returnMachine(m.id, m.type, "failed");
        continue;
      }
      if (this.own.workers.has(m.id)) continue;
      const known = this.scaleOut.booting.get(m.id);
      // A rental of a former master, or one carried out late: used like any other once it comes up.
      // One that runs already may be cut off: it has as long as a new one to make itself heard.
      if (!known)
        this.scaleOut.booting.set(m.id, {
          type: m.type,
          zone: m.zone,
          spot: m.spot,
          rentedMs: m.state === "starting" ? now - m.ageS * 1000 : now,
        });
    }
    for (const [id, at] of this.returnedMs)
      if (now - at > 2 * lagMs + RETURNED_MEMORY_MS) this.returnedMs.delete(id);
    for (const [id, b] of this.scaleOut.booting)
      if (
        !this.listed.has(id) &&
        now - b.rentedMs > lagMs + UNLISTED_BOOTING_MS
      )
        this.scaleOut.booting.delete(id);
    for (const w of this.own.workers.values()) {
      // Taken by the cloud: neither heard of nor listed.
      if (
        w.leaseExpired &&
        !w.isReturning &&
        !this.listed.has(w.id) &&
        now - w.lastAnsweredMs > lagMs + UNLISTED_LOST_MS
      )
        this.returnWorker(w, "gone");
    }
  }

  /** Places to keep free where a class is expected to start sooner than a machine boots. */
  private warmCapacity(): WarmCapacity[] {
    const out: WarmCapacity[] = [];
    for (const o of this.ctx.settings.objectives) {
      const spec =
        o.kind === "wait" && o.class !== undefined
          ? this.classNeeds.get(o.class)
          : undefined;
      if (!spec) continue;
      const types = new Set<string>();
      const serves = memo((w: Worker) => this.serves(spec.jobClass, w));
      for (const w of this.own.workers.values())
        if (
          !w.leaseExpired &&
          !w.isReturning &&
          w.type &&
          (o.withinS ?? Infinity) < w.type.bootS &&
          !types.has(w.typeName) &&
          serves(w)
        )
          types.add(w.typeName);
      let places = 0;
      for (const t of types) places += this.spareFor(t);
      if (places > 0)
        out.push({ spec: { ...spec, zone: null, deadlineS: null }, places });
    }
    return out;
  }

  tick(): void {
    if (!this.ctx.catalog) return;
    this.pollList();
    this.notePeaks();
    this.returnIdle();
    this.sendReturns();
    this.scaleOut.tick(() => this.warmCapacity());
  }
}
