import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import type { Master } from "./master.js";
import type { JobSpec, ListedMachine, MachineType } from "./model.js";
import { allowedOn, type Amounts, couldRun, fitCount, fits, offer } from "./placement.js";
import { freeOn, take, type Worker } from "./tasks.js";

interface Booting {
  type: string;
  zone: string;
  spot: boolean;
  rentedMs: number;
}
interface Rental extends Booting {
  request: string;
  count: number;
  sent: boolean;
  /** It was sent once: its charter stands for this count from then on. */
  asked: boolean;
  retryMs: number;
}

const NO_CAPACITY_MS = 15_000;
const MAX_RENTALS = 4;
const MAX_BOOTING = 60;
const WARM_PERIODS = 6;

/** The machines of one group: rents what waiting work needs and gives back what nothing needs. */
export class Fleet {
  private readonly booting = new Map<string, Booting>();
  private readonly rentals: Rental[] = [];
  private readonly emptyUntilMs = new Map<string, number>();
  /** Machines to give back. `marked`: the roster says so. */
  private readonly going = new Map<string, { why: string; retryMs: number; sent: boolean }>();
  private requests = 0;
  private listed = new Map<string, ListedMachine & { seenMs: number }>();
  private listAfter = "";
  private listing: Map<string, ListedMachine & { seenMs: number }> | null = null;
  private nextListMs = 0;
  private lastPlanMs = 0;
  /** Machines that were given back: a lagging list may show them for a while. */
  private readonly goneMs = new Map<string, number>();
  /** Machines of each type in use at once, the most in each of the last periods. */
  private readonly peaks = new Map<string, number[]>();
  private peakMs: number;

  constructor(
    private readonly ctx: Context,
    private readonly master: Master,
  ) {
    this.peakMs = ctx.nowMs;
  }

  cameUp(w: Worker): void {
    // Found running, not rented by this master: somebody had a use for it.
    if (!this.booting.delete(w.id)) this.notePeak(w.typeName, this.count(w.typeName));
    if (w.going) this.giveUp(w, "marked for return by a former master");
  }

  private typeOf(name: string): MachineType | undefined {
    return this.ctx.catalog?.find((t) => t.name === name);
  }
  private zones(): string[] {
    const zones = new Set<string>();
    for (const t of this.ctx.catalog ?? []) for (const z of t.zones) if (this.ctx.groups.of(z) === this.master.group) zones.add(z);
    return [...zones].sort();
  }

  // ---- giving back ---------------------------------------------------------------------------------------

  giveUp(w: Worker, why: string): void {
    w.going = true;
    this.giveBack(w.id, w.typeName, why);
  }

  private giveBack(id: string, type: string, why: string): void {
    if (this.going.has(id)) return;
    this.ctx.log("info", "giving machine back", { worker: id, type, why });
    this.going.set(id, { why, retryMs: 0, sent: false });
    this.booting.delete(id);
    // Marked before the request can leave: a return that is carried out late must find the machine unused.
    this.master.roster.set(id, { going: true, type });
  }

  private sendReturns(): void {
    const now = this.ctx.nowMs;
    const ids: string[] = [];
    for (const [id, g] of this.going) {
      if (g.sent || now < g.retryMs || ids.length >= 100 || !this.master.roster.goingWritten(id)) continue;
      const w = this.master.workers.get(id);
      // Its tasks get the time to save; whoever can't is stopped at once.
      if (w && !w.lost && w.tasks.size > 0) {
        for (const t of w.tasks.values()) this.master.stop(t, t.job.view.spec.checkpointS > 0 ? t.job.view.spec.saveS + 1 : 0, "machine goes back");
        continue;
      }
      ids.push(id);
      g.sent = true;
    }
    if (ids.length === 0) return;
    this.ctx.cloud({ op: "return", machines: ids }, Urgent.Master, (reply) => {
      if (reply.is === "returned") {
        for (const id of ids) this.going.delete(id);
        for (const id of ids) {
          this.listed.delete(id);
          this.goneMs.set(id, this.ctx.nowMs);
        }
        this.master.machinesGone(ids);
        return;
      }
      for (const id of ids) {
        const g = this.going.get(id);
        if (g) {
          g.sent = false;
          g.retryMs = this.ctx.nowMs + 2_000;
        }
      }
    });
  }

  // ---- how many to keep ----------------------------------------------------------------------------------

  private count(type: string): number {
    let n = 0;
    for (const w of this.master.workers.values()) if (w.typeName === type && !w.lost && !w.going) n++;
    return n;
  }
  private notePeak(type: string, n: number): void {
    let p = this.peaks.get(type);
    if (!p) this.peaks.set(type, (p = Array.from({ length: WARM_PERIODS }, () => 0)));
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
    const periodMs = (this.ctx.tuning.warmWindowS * 1000) / WARM_PERIODS;
    if (this.ctx.nowMs - this.peakMs > periodMs) {
      this.peakMs = this.ctx.nowMs;
      for (const p of this.peaks.values()) {
        p.pop();
        p.unshift(0);
      }
    }
    const busy = new Map<string, number>();
    for (const w of this.master.workers.values()) if (w.tasks.size > 0) busy.set(w.typeName, (busy.get(w.typeName) ?? 0) + 1);
    for (const [type, n] of busy) this.notePeak(type, n);
  }

  /**
   * Idle machines are justified in two ways: by the most that were in use at once of late, where some class is
   * expected to start sooner than such a machine boots; else for as long as booting another would take.
   */
  private returnIdle(): void {
    const now = this.ctx.nowMs;
    const spare = new Map<string, number>();
    const idle = [...this.master.workers.values()].filter((w) => !w.going && !w.lost && w.idleSinceMs !== null).sort((a, b) => a.idleSinceMs! - b.idleSinceMs!);
    for (const w of idle) {
      const boot = this.typeOf(w.typeName)?.bootS ?? 60;
      if (now - w.idleSinceMs! < Math.max(this.ctx.tuning.idleReturnS, boot * this.ctx.tuning.idleBoots) * 1000 || this.wanted(w)) continue;
      if (this.ctx.settings.objectives.some((o) => o.kind === "wait" && (o.withinS ?? Infinity) < boot && this.serves(o.class, w))) {
        const left = spare.get(w.typeName) ?? this.count(w.typeName) - this.peakOf(w.typeName) - this.spareFor(w.typeName);
        spare.set(w.typeName, left - 1);
        if (left <= 0) continue;
      }
      this.giveUp(w, "idle");
    }
    for (const w of this.master.workers.values())
      if (!w.going && w.lost && now - w.answeredMs > this.ctx.tuning.silentReturnS * 1000) this.giveUp(w, "silent for too long");
    for (const [id, b] of this.booting) {
      const usual = (this.typeOf(b.type)?.bootS ?? 60) * 1000;
      if (now - b.rentedMs > usual * this.ctx.tuning.bootPatience + 5_000) this.giveBack(id, b.type, "never came up");
    }
  }

  /** Jobs of this class have run on such machines, or could. */
  private readonly classNeeds = new Map<string, JobSpec>();
  noteJob(spec: JobSpec): void {
    if (this.classNeeds.size < 200) this.classNeeds.set(spec.class, spec);
  }
  private serves(cls: string | undefined, w: Worker): boolean {
    const s = cls === undefined ? undefined : this.classNeeds.get(cls);
    return s !== undefined && w.type !== null && allowedOn({ ...s, zone: null }, w.typeName, w.zone, w.spot) && fits(s, w.type) && (s.gpus > 0) === w.type.gpus > 0;
  }

  /** Some waiting task could use it. */
  private wanted(w: Worker): boolean {
    for (const j of this.master.jobs.values()) {
      const s = j.view.spec;
      if (!j.waiting.isEmpty && allowedOn(s, w.typeName, w.zone, w.spot) && w.type && fits(s, w.type)) return true;
    }
    return false;
  }

  // ---- the list ------------------------------------------------------------------------------------------

  private pollList(): void {
    const now = this.ctx.nowMs;
    if (now < this.nextListMs) return;
    this.nextListMs = now + 60_000;
    this.listing ??= new Map();
    const listing = this.listing;
    this.ctx.cloud({ op: "list", after: this.listAfter }, Urgent.Spare, (reply) => {
      if (reply.is !== "list") {
        this.nextListMs = this.ctx.nowMs + 5_000;
        return;
      }
      for (const m of reply.machines) if (this.ctx.groups.of(m.zone) === this.master.group) listing.set(m.id, { ...m, seenMs: this.ctx.nowMs });
      const last = reply.machines.at(-1);
      if (reply.more && last) {
        this.listAfter = last.id;
        this.nextListMs = this.ctx.nowMs + 500;
        return;
      }
      this.listAfter = "";
      this.listing = null;
      this.listed = listing;
      this.nextListMs = this.ctx.nowMs + Math.max(8_000, this.ctx.settings.cloud.listLagS * 1000);
      this.readList();
    });
  }

  private readList(): void {
    const now = this.ctx.nowMs;
    const lagMs = this.ctx.settings.cloud.listLagS * 2_000;
    for (const m of this.listed.values()) {
      if (this.going.has(m.id) || this.goneMs.has(m.id)) continue;
      if (m.state === "failed") {
        this.giveBack(m.id, m.type, "failed");
        continue;
      }
      if (this.master.workers.has(m.id)) continue;
      const known = this.booting.get(m.id);
      // A rental of a former master, or one carried out late: used like any other once it comes up.
      // One that runs already may be cut off: it has as long as a new one to make itself heard.
      if (!known) this.booting.set(m.id, { type: m.type, zone: m.zone, spot: m.spot, rentedMs: m.state === "starting" ? now - m.ageS * 1000 : now });
    }
    for (const [id, at] of this.goneMs) if (now - at > 2 * lagMs + 60_000) this.goneMs.delete(id);
    for (const [id, b] of this.booting)
      if (!this.listed.has(id) && now - b.rentedMs > lagMs + 30_000) this.booting.delete(id);
    for (const w of this.master.workers.values()) {
      // Taken by the cloud: neither heard of nor listed.
      if (w.lost && !w.going && !this.listed.has(w.id) && now - w.answeredMs > lagMs + 60_000) this.giveUp(w, "gone");
    }
  }

  // ---- renting -------------------------------------------------------------------------------------------

  private rent(type: string, zone: string, spot: boolean, count: number): void {
    // Invariant: a charter is never used again by anyone. The token belongs to one master of one group.
    const open = this.rentals.find((r) => !r.sent && r.type === type && r.zone === zone && r.spot === spot);
    if (open && open.count + count <= 20 && !open.asked) {
      open.count += count;
      return;
    }
    const request = `${this.ctx.settings.label}-${this.master.token}-${++this.requests}`;
    this.rentals.push({ request, type, zone, spot, count, rentedMs: this.ctx.nowMs, sent: false, asked: false, retryMs: 0 });
    this.ctx.log("info", "renting machines", { request, type, zone, spot, count });
  }

  private sendRentals(): void {
    for (const r of this.rentals) {
      if (r.sent || this.ctx.nowMs < r.retryMs) continue;
      r.sent = true;
      r.asked = true;
      this.ctx.cloud({ op: "rent", request: r.request, type: r.type, zone: r.zone, spot: r.spot, count: r.count }, Urgent.Master, (reply) => {
        if (reply.is === "rented" || reply.is === "noCapacity") {
          this.rentals.splice(this.rentals.indexOf(r), 1);
          const got = reply.is === "rented" ? reply.machines : [];
          for (const id of got)
            if (!this.master.workers.has(id)) this.booting.set(id, { type: r.type, zone: r.zone, spot: r.spot, rentedMs: this.ctx.nowMs });
          if (got.length < r.count) {
            this.noteEmpty(offer(r.type, r.zone, r.spot));
            this.ctx.log("info", "cloud has no more machines", { type: r.type, zone: r.zone, spot: r.spot, asked: r.count, got: got.length });
          }
          this.lastPlanMs = 0;
        } else {
          // The same charter again: whatever became of the request, it rents once.
          r.sent = false;
          r.retryMs = this.ctx.nowMs + 1_500;
        }
      });
    }
  }

  /**
   * An offer that is sold out rests for no less than it takes this controller to ask for all its offers within half
   * its part of the cloud's limit: asking for what is not there must not delay what is.
   */
  private noteEmpty(what: string): void {
    const rate = this.ctx.settings.cloud.rps / this.ctx.groups.names.length;
    const offers = this.zones().length * (this.ctx.catalog?.length ?? 1) * 2;
    this.emptyUntilMs.set(what, this.ctx.nowMs + Math.max(NO_CAPACITY_MS, (offers / (rate / 2)) * 1000));
  }

  /** Machines on their way, as room. */
  private coming(): { m: Booting; room: Amounts }[] {
    const out: { m: Booting; room: Amounts }[] = [];
    const add = (m: Booting): void => {
      const t = this.typeOf(m.type);
      if (t) out.push({ m, room: { cpus: t.cpus, gpus: t.gpus, memGb: t.memGb } });
    };
    for (const b of this.booting.values()) add(b);
    for (const r of this.rentals) for (let i = 0; i < r.count; i++) add(r);
    // Up, but not to be used yet: its place in the roster is being written.
    for (const w of this.master.workers.values()) if (!w.lost && !w.going && !this.master.roster.has(w.id)) add({ type: w.typeName, zone: w.zone, spot: w.spot, rentedMs: 0 });
    return out;
  }

  /** Nothing that this job could use is on its way or, as far as known, to be had. */
  exhausted(spec: JobSpec): boolean {
    if (this.coming().some((c) => allowedOn(spec, c.m.type, c.m.zone, c.m.spot) && fits(spec, c.room))) return false;
    return this.zones().every((zone) =>
      (this.ctx.catalog ?? []).every(
        (t) => !couldRun(spec, t, zone) || (this.isEmpty(t.name, zone, false) && (!spec.spot || this.isEmpty(t.name, zone, true))),
      ),
    );
  }
  private isEmpty(type: string, zone: string, spot: boolean): boolean {
    return (this.emptyUntilMs.get(offer(type, zone, spot)) ?? 0) > this.ctx.nowMs;
  }

  /** What the cloud refused of late: `type/zone/kind`. */
  soldOut(): string[] {
    const out: string[] = [];
    for (const [k, until] of this.emptyUntilMs) if (until + 30_000 > this.ctx.nowMs) out.push(k);
    return out;
  }

  /** Rents for the waiting tasks that neither fit now nor will fit on machines that are on their way. */
  private plan(): void {
    const coming = this.coming();
    if (coming.length >= MAX_BOOTING) return;
    const jobs = [...this.master.jobs.values()]
      .filter((j) => this.master.mayStart(j) && j.errors.size < 3)
      .sort((a, b) => a.view.acceptedAt - b.view.acceptedAt);
    for (const j of jobs) {
      const spec = j.view.spec;
      let need = Math.min(j.waiting.size, 200);
      for (const c of coming) {
        if (need === 0) break;
        if (!allowedOn(spec, c.m.type, c.m.zone, c.m.spot)) continue;
        const n = Math.min(need, fitCount(spec, c.room));
        for (let i = 0; i < n; i++) take(c.room, spec);
        need -= n;
      }
      while (need > 0 && this.rentals.length < MAX_RENTALS) {
        const got = this.rentFor(spec, j.view.acceptedAt, need);
        if (got === 0) break;
        need -= got;
      }
    }
  }

  /** Keeps some machines free where a class is expected to start sooner than a machine boots. */
  private planSpare(): void {
    for (const o of this.ctx.settings.objectives) {
      const spec = o.kind === "wait" && o.class !== undefined ? this.classNeeds.get(o.class) : undefined;
      if (!spec || this.rentals.length >= MAX_RENTALS) continue;
      let free = 0;
      let want = 0;
      const types = new Set<string>();
      for (const w of this.master.workers.values()) {
        if (w.lost || w.going || !this.serves(spec.class, w)) continue;
        if (w.type && (o.withinS ?? Infinity) < w.type.bootS) types.add(w.typeName);
        free += fitCount(spec, freeOn(w));
      }
      for (const t of types) want += this.spareFor(t);
      for (const c of this.coming()) if (allowedOn({ ...spec, zone: null }, c.m.type, c.m.zone, c.m.spot)) free += fitCount(spec, c.room);
      if (free < want) this.rentFor({ ...spec, zone: null, deadlineS: null }, 0, want - free);
    }
  }

  /** Rents for up to `need` tasks, where a task's place costs least; the number of places ordered. */
  private rentFor(spec: JobSpec, acceptedAt: number, need: number): number {
    // While there is time until its deadline, a job that may use cheap machines waits for one.
    const early = spec.spot && spec.deadlineS !== null && this.ctx.wallMs - acceptedAt < spec.deadlineS * 1000 * this.ctx.tuning.cheapPatience;
    let best: { t: MachineType; zone: string; spot: boolean; per: number; cost: number } | null = null;
    for (const t of this.ctx.catalog ?? []) {
      for (const zone of this.zones()) {
        if (!couldRun(spec, t, zone)) continue;
        for (const spot of spec.spot ? (early ? [true] : [true, false]) : [false]) {
          if (this.isEmpty(t.name, zone, spot)) continue;
          const per = fitCount(spec, t);
          const cost = (spot ? t.spotPrice : t.price) / Math.min(per, need);
          if (!best || cost < best.cost) best = { t, zone, spot, per, cost };
        }
      }
    }
    if (!best) return 0;
    const count = Math.min(20, Math.ceil(need / best.per));
    this.rent(best.t.name, best.zone, best.spot, count);
    return count * best.per;
  }

  tick(): void {
    if (!this.ctx.catalog) return;
    this.pollList();
    this.notePeaks();
    this.returnIdle();
    this.sendReturns();
    if (this.ctx.nowMs - this.lastPlanMs >= 500) {
      this.lastPlanMs = this.ctx.nowMs;
      this.plan();
      this.planSpare();
    }
    this.sendRentals();
  }
}
