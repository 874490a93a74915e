import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type {
  JobSpec,
  MachineType,
  EffectivePriority,
  Tuning,
} from "../model.js";
import {
  isAllowedOn,
  type Resources,
  canRunOn,
  fitCount,
  fitWithinLimit,
  fits,
  startsWhole,
  offerKey,
  requestKeyOf,
  isSuitable,
  maxTasksPerZone,
} from "../scheduling/placement.js";
import { isShort } from "../scheduling/scheduling-round.js";
import type { QuotaAllocator } from "../quota/index.js";
import { backlogKindOf } from "../jobs/job-partitioner.js";
import { freeOn, type JobRun, subtract } from "./worker-state.js";

/** What the cloud has: machines of a type in a zone, spot or ordinary. */
interface CapacityOffer {
  type: string;
  zone: string;
  spot: boolean;
}
const isSameOffer = (a: CapacityOffer, b: CapacityOffer): boolean =>
  a.type === b.type && a.zone === b.zone && a.spot === b.spot;

interface BootingMachine extends CapacityOffer {
  rentedMs: number;
}
/** What is to be asked for next; made anew with every plan. */
interface PlannedRental extends CapacityOffer {
  count: number;
}
/** A request that was sent at least once: its charter stands for this offer and count from then on. */
interface RentalRequest extends BootingMachine {
  request: string;
  count: number;
  sent: boolean;
  retryMs: number;
}
/** Room on a machine that is there or will be. */
interface Place extends CapacityOffer {
  reserved: boolean;
  room: Resources;
}

const SOLD_OUT_PAUSE_MS = 15_000;
/** What a refusal told of an offer's size is believed for this long. */
const CEILING_MS = 300_000;
/** PROTOCOL: most machines of one request. */
const MAX_MACHINES_PER_REQUEST = 50;
const PLAN_INTERVAL_MS = 500;
/** Estimates and boot times are often this much too short. */
const ESTIMATE_FACTOR = 1.4;

/** One kind of request for places, as far as a plan has come. */
interface RequestKind {
  /** The last job that asked so found neither room nor an offer. */
  foundNothing: boolean;
  /** Places that still have room for a task of it. */
  placesWithRoom(spec: JobSpec, places: readonly Place[]): readonly Place[];
}

/**
 * Waiting jobs ask for few different things, however many they are: with thousands of them, looking through the places of
 * hundreds of machines for each took more time than there is.
 */
class RequestKinds {
  private readonly known = new Map<string, RequestKind>();
  private readonly lists = new Map<string, { seen: number; places: Place[] }>();

  constructor(
    private readonly tuning: Tuning,
    private readonly serves: (spec: JobSpec, p: Place) => boolean,
  ) {}

  /** `n`: places that it asks for; `active`: its tasks that run, which may bind it to a zone. */
  of(spec: JobSpec, n: number, active: number): RequestKind {
    const short = isShort(spec, this.tuning);
    const place = `${requestKeyOf(spec)}/${short}`;
    const whole = startsWhole(spec);
    // What jobs with a deadline ask for depends on the work that is due: each of them is looked at.
    const key = `${place}/${spec.deadlineS === null}/${spec.spread ? `spread/${spec.tasks}/${n}/${active > 0 ? spec.id : ""}` : whole ? `${spec.kind}/${spec.samePlace}/${n}/${active > 0 ? spec.id : ""}` : ""}`;
    let ask = this.known.get(key);
    if (!ask)
      this.known.set(
        key,
        (ask = {
          foundNothing: false,
          placesWithRoom: (s, places) =>
            this.placesWithRoom(s, short, place, places),
        }),
      );
    return ask;
  }

  private placesWithRoom(
    spec: JobSpec,
    short: boolean,
    place: string,
    places: readonly Place[],
  ): readonly Place[] {
    let list = this.lists.get(place);
    if (!list) this.lists.set(place, (list = { seen: 0, places: [] }));
    const still = list.places.filter((p) => fitCount(spec, p.room) > 0);
    for (const p of places.slice(list.seen))
      if (
        (short || !p.reserved) &&
        this.serves(spec, p) &&
        fitCount(spec, p.room) > 0
      )
        still.push(p);
    list.places = still;
    list.seen = places.length;
    return still;
  }
}

/** What a group rents: decides from waiting work, room and what the cloud refused, and sends the requests. */
export class ScaleOut {
  /** Machines that were rented, or that the list shows, and that have not reported yet. */
  readonly booting = new Map<string, BootingMachine>();
  private readonly rentals: RentalRequest[] = [];
  private planned: PlannedRental[] = [];
  private readonly soldOutUntilMs = new Map<string, number>();
  /** By offer: machines that the group held when the cloud had no more, the most it can expect to have. */
  private readonly ceilings = new Map<
    string,
    CapacityOffer & { machines: number; untilMs: number }
  >();
  private requests = 0;
  private planMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
    private readonly zones: () => string[],
  ) {}

  private typeOf(name: string): MachineType | undefined {
    return this.ctx.catalog?.find((t) => t.name === name);
  }

  tick(spare: () => { spec: JobSpec; places: number }[]): void {
    if (this.ctx.nowMs - this.planMs >= PLAN_INTERVAL_MS) {
      this.planMs = this.ctx.nowMs;
      this.plan(spare());
    }
    this.send();
  }

  // ---- requests ------------------------------------------------------------------------------------------

  /**
   * One request at a time: what is not sent yet is planned anew when the answer to the last one is known. With a
   * small rate limit, requests that stand in line ask for what is not needed any more.
   */
  private send(): void {
    let r = this.rentals[0];
    if (!r) {
      const plan = this.planned.shift();
      if (!plan) return;
      const next = {
        ...plan,
        count: Math.min(plan.count, MAX_MACHINES_PER_REQUEST),
      };
      // Invariant: a charter is never used again by anyone. The token belongs to one master of one group.
      const request = `${this.ctx.settings.label}-${this.own.token}-${++this.requests}`;
      r = {
        ...next,
        request,
        rentedMs: this.ctx.nowMs,
        sent: false,
        retryMs: 0,
      };
      this.rentals.push(r);
      this.ctx.log("scaling out", { rentalRequestId: request, ...next });
    }
    if (r.sent || this.ctx.nowMs < r.retryMs) return;
    const rental = r;
    rental.sent = true;
    this.ctx.cloud(
      {
        op: "rent",
        request: r.request,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        count: r.count,
      },
      CallPriority.Leader,
      (reply) => {
        if (reply.kind !== "rented" && reply.kind !== "noCapacity") {
          // The same charter again: whatever became of the request, it rents once.
          rental.sent = false;
          rental.retryMs = this.ctx.nowMs + 1_500;
          return;
        }
        this.rentals.splice(this.rentals.indexOf(rental), 1);
        const { type, zone, spot, count } = rental;
        const got = reply.kind === "rented" ? reply.machines : [];
        for (const id of got)
          if (!this.own.workers.has(id))
            this.booting.set(id, {
              type,
              zone,
              spot,
              rentedMs: this.ctx.nowMs,
            });
        if (got.length > 0) this.ceilings.delete(offerKey(type, zone, spot));
        if (got.length < count) {
          this.noteSoldOut(rental);
          this.ctx.log("cloud capacity exhausted", {
            type,
            zone,
            spot,
            requested: count,
            granted: got.length,
          });
        }
        this.planMs = -Infinity;
      },
    );
  }

  /**
   * An offer that is sold out rests for no less than it takes this controller to ask for all its offers within half
   * its part of the cloud's limit: asking for what is not there must not delay what is.
   */
  private noteSoldOut(r: RentalRequest): void {
    const what = offerKey(r.type, r.zone, r.spot);
    this.ceilings.set(what, {
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      machines: this.held(r),
      untilMs: this.ctx.nowMs + CEILING_MS,
    });
    const rate = this.ctx.settings.cloud.rps / this.ctx.partitions.names.length;
    const offers = this.zones().length * (this.ctx.catalog?.length ?? 1) * 2;
    this.soldOutUntilMs.set(
      what,
      this.ctx.nowMs +
        Math.max(SOLD_OUT_PAUSE_MS, (offers / (rate / 2)) * 1000),
    );
  }

  // ---- what there is to be had ---------------------------------------------------------------------------

  /** Machines of an offer that the group has, or that are on their way. */
  private held(o: CapacityOffer): number {
    let n = 0;
    for (const w of this.own.workers.values())
      if (
        w.typeName === o.type &&
        w.zone === o.zone &&
        w.spot === o.spot &&
        !w.leaseExpired
      )
        n++;
    for (const b of this.booting.values()) if (isSameOffer(b, o)) n++;
    return n;
  }
  /** By offer, where a refusal told: how many more machines there may be. */
  left(): Map<string, number> {
    const out = new Map<string, number>();
    for (const [what, c] of this.ceilings) {
      if (c.untilMs < this.ctx.nowMs) this.ceilings.delete(what);
      else out.set(what, Math.max(0, c.machines - this.held(c)));
    }
    return out;
  }
  private isEmpty(type: string, zone: string, spot: boolean): boolean {
    return (
      (this.soldOutUntilMs.get(offerKey(type, zone, spot)) ?? 0) >
      this.ctx.nowMs
    );
  }
  /** What the cloud refused of late: `type/zone/kind`. */
  soldOut(): string[] {
    const out: string[] = [];
    for (const [k, until] of this.soldOutUntilMs)
      if (until + 30_000 > this.ctx.nowMs) out.push(k);
    return out;
  }

  /** Offers of these zones that the job may use and that may have something left, with the most to ask for. */
  private *offers(
    spec: JobSpec,
    zones: readonly string[],
    left: ReadonlyMap<string, number>,
  ): Generator<{ t: MachineType; zone: string; spot: boolean; most: number }> {
    for (const t of this.ctx.catalog ?? [])
      for (const zone of zones) {
        if (!canRunOn(spec, t, zone)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          if (
            this.isEmpty(t.name, zone, spot) ||
            !isSuitable(spec, t, spot, this.ctx.catalog)
          )
            continue;
          const planned =
            this.planned.find((p) =>
              isSameOffer(p, { type: t.name, zone, spot }),
            )?.count ?? 0;
          // Nothing left when it last rested, and it has rested: there may be any number by now.
          const most =
            (left.get(offerKey(t.name, zone, spot)) || Infinity) - planned;
          if (most > 0) yield { t, zone, spot, most };
        }
      }
  }

  /** Nothing that this job could use is on its way or, as far as known, to be had. */
  exhausted(spec: JobSpec): boolean {
    for (const c of this.bootingNow())
      if (this.serves(spec, c) && fits(spec, c.room)) return false;
    return this.offers(spec, this.zones(), new Map()).next().done === true;
  }

  /** Some machine has room for a task of this job, or one that has may be had. */
  hasPlace(spec: JobSpec): boolean {
    for (const w of this.own.usableWorkers().usable)
      if (
        this.serves(spec, { type: w.typeName, zone: w.zone, spot: w.spot }) &&
        fits(spec, freeOn(w))
      )
        return true;
    return !this.exhausted(spec);
  }

  /** Tasks of this job that machines on their way have room for. */
  bootingFor(spec: JobSpec): number {
    let n = 0;
    for (const c of this.bootingNow())
      if (this.serves(spec, c)) n += fitCount(spec, c.room);
    return n;
  }

  private serves(spec: JobSpec, o: CapacityOffer): boolean {
    return (
      isAllowedOn(spec, o.type, o.zone, o.spot) &&
      isSuitable(spec, this.typeOf(o.type) ?? null, o.spot, this.ctx.catalog)
    );
  }

  /** The same for all jobs that are looked at in one step; not to be changed. */
  private bootingNow(): readonly Place[] {
    if (this.lastBooting.nowMs !== this.ctx.nowMs)
      this.lastBooting = {
        nowMs: this.ctx.nowMs,
        places: this.bootingPlaces(),
      };
    return this.lastBooting.places;
  }
  private lastBooting: { nowMs: number; places: readonly Place[] } = {
    nowMs: -Infinity,
    places: [],
  };

  /**
   * Machines on their way; and those that receive nothing, but for the few that are replaced at a time: a broken link to a
   * zone must not rent a second fleet.
   */
  private bootingPlaces(): Place[] {
    const out: Place[] = [];
    const add = (m: CapacityOffer): void => {
      const t = this.typeOf(m.type);
      if (t)
        out.push({
          type: m.type,
          zone: m.zone,
          spot: m.spot,
          reserved: false,
          room: { cpus: t.cpus, gpus: t.gpus, memGb: t.memGb },
        });
    };
    for (const b of this.booting.values()) add(b);
    for (const r of this.rentals) for (let i = 0; i < r.count; i++) add(r);
    // Up, but not to be used yet: its place in the roster is being written.
    for (const w of this.own.workers.values())
      if (!w.leaseExpired && !w.isReturning && !this.own.registry.has(w.id))
        add({ type: w.typeName, zone: w.zone, spot: w.spot });
    for (const w of this.own
      .unreachableMachines()
      .slice(this.own.unreachableBeingReplaced()))
      add({ type: w.typeName, zone: w.zone, spot: w.spot });
    return out;
  }

  // ---- the plan ------------------------------------------------------------------------------------------

  /** Plans what to rent for the waiting tasks that fit neither on what is free nor on what is on its way. */
  private plan(spare: { spec: JobSpec; places: number }[]): void {
    this.planned = [];
    const places = this.bootingPlaces();
    const { usable, reserved } = this.own.usableWorkers();
    for (const w of usable)
      places.push({
        type: w.typeName,
        zone: w.zone,
        spot: w.spot,
        reserved: reserved.has(w.id),
        room: freeOn(w),
      });
    const left = this.left();
    const headroom = this.sharing.headroom();
    const asks = new RequestKinds(this.ctx.tuning, (spec, p) =>
      this.serves(spec, p),
    );
    /** Work of arrays that is due so far, by kind of machine, in seconds of one place. */
    const dueWork = { plain: 0, accelerated: 0 };
    // What runs now is halfway, on the whole.
    const addDue = (j: JobRun): number =>
      (dueWork[backlogKindOf(j.view.spec)] +=
        (j.waiting.size + j.active.size / 2) * j.view.spec.estimateS);
    for (const j of this.own.jobs.values())
      if (j.waiting.isEmpty && j.view.spec.kind === "array") addDue(j);
    const due = (j: JobRun): number =>
      Number.isFinite(j.view.dueAt) ? j.view.dueAt : j.view.readyAt;
    const jobs = [...this.own.jobs.values()]
      .filter((j) => this.own.mayStart(j) && j.quarantinedSinceMs === null)
      .sort((a, b) => due(a) - due(b));
    for (const j of jobs) {
      const spec = j.view.spec;
      const room = headroom.get(spec.team);
      if (!room) continue;
      // What the team may not use now is not waited for: nothing is rented for it.
      const n = Math.min(j.waiting.size, fitWithinLimit(spec, room));
      if (n === 0 || (spec.kind === "gang" && n < j.waiting.size)) continue;
      room.cpus -= n * spec.cpus;
      room.gpus -= n * spec.gpus;
      const ask = asks.of(spec, n, j.active.size);
      // Room and offers only shrink while a plan is made: what was to be had of neither is not looked for again.
      if (ask.foundNothing) continue;
      const mine = ask.placesWithRoom(spec, places);
      if (spec.spread)
        ask.foundNothing =
          !this.planSpread(j, n, mine, places, left) && spec.deadlineS === null;
      else if (startsWhole(spec))
        ask.foundNothing =
          !this.planWhole(j, n, mine, places, left) && spec.deadlineS === null;
      else {
        let lacking = this.fill(spec, n, mine);
        const found = lacking < n;
        if (
          spec.kind === "array" &&
          spec.deadlineS !== null &&
          spec.estimateS > 0
        )
          lacking = this.inTurns(
            j,
            lacking,
            addDue(j),
            places.filter((p) => this.serves(spec, p)),
          );
        const rented = this.rentFor(
          spec,
          j.view,
          lacking,
          this.zones(),
          places,
          left,
        );
        ask.foundNothing = !found && !rented && spec.deadlineS === null;
      }
    }
    for (const s of spare) {
      const want = this.fill(
        s.spec,
        s.places,
        places.filter((p) => this.serves(s.spec, p)),
      );
      this.rentFor(s.spec, null, want, this.zones(), places, left);
    }
  }

  /** Time until the job's own deadline, in seconds: what others need of it makes it no cheaper to be late. */
  private leftS(spec: JobSpec, standing: EffectivePriority | null): number {
    return spec.deadlineS === null || !standing
      ? Infinity
      : (standing.dueAt - this.ctx.wallMs) / 1000;
  }

  /**
   * Until nothing is expected of the job any more, in seconds: beside its own deadline, its class may have a time by which
   * most are to be done. By the deadline alone, late jobs waited for cheap machines that were sold out
   * (docs/incidents/claimdesk-fleet-late-jobs.md).
   */
  private hopeS(
    spec: JobSpec,
    standing: EffectivePriority | null,
    leftS: number,
  ): number {
    let s = leftS;
    for (const o of this.ctx.settings.objectives)
      if (
        standing &&
        o.kind === "finished" &&
        o.class === spec.jobClass &&
        o.withinS !== undefined
      )
        s = Math.max(
          s,
          (standing.readyAt - this.ctx.wallMs) / 1000 + o.withinS,
        );
    return s;
  }

  /**
   * Places to rent for the tasks of an array with a deadline that found no room: as many as the work that is due
   * until then needs beyond what the present places can do one task after the other. A machine costs as much while
   * it boots and fetches as while it works. `due`: all work due until then, in seconds of one place.
   */
  private inTurns(
    j: JobRun,
    lacking: number,
    due: number,
    all: readonly Place[],
  ): number {
    const spec = j.view.spec;
    const leftS = this.leftS(spec, j.view);
    const slots = all.reduce(
      (n, p) => n + fitCount(spec, this.typeOf(p.type)!),
      0,
    );
    const lackS = due - (slots * leftS) / ESTIMATE_FACTOR;
    if (lackS <= 0) return 0;
    return Math.min(
      lacking,
      Math.ceil(lackS / Math.max(spec.estimateS, leftS - this.readyS(spec))),
    );
  }

  /** Until a machine that is asked for now runs a task: its boot, as slow as most are, and the image. */
  private readyS(spec: JobSpec): number {
    let s = Infinity;
    for (const t of this.ctx.catalog ?? [])
      if (t.zones.some((z) => canRunOn(spec, t, z)))
        s = Math.min(
          s,
          t.bootS * ESTIMATE_FACTOR +
            (t.fetchGbPerS > 0 ? spec.imageGb / t.fetchGbPerS : 0),
        );
    return Number.isFinite(s) ? s : 0;
  }

  /** Takes room for `n` tasks; how many found none. */
  private fill(spec: JobSpec, n: number, places: readonly Place[]): number {
    for (const p of places) {
      if (n === 0) break;
      const k = Math.min(n, fitCount(spec, p.room));
      for (let i = 0; i < k; i++) subtract(p.room, spec);
      n -= k;
    }
    return n;
  }

  /**
   * For a job that goes whole, in one zone if it must: so much as is missing in the zone where the least is. A gang
   * starts once all of it has room, so only where that can be had: part of what it needs would stand idle until the
   * rest came. An array in one zone runs on whatever there is: it stays with the zone that has most for it.
   */
  private planWhole(
    j: JobRun,
    n: number,
    mine: readonly Place[],
    places: Place[],
    left: ReadonlyMap<string, number>,
  ): boolean {
    const spec = j.view.spec;
    const at =
      j.active.size > 0
        ? new Set([...j.active.values()].map((t) => t.worker.zone))
        : null;
    const zones = this.zones().filter(
      (z) => at === null || !spec.samePlace || at.has(z),
    );
    let best: { zones: string[]; places: Place[]; lacking: number } | null =
      null;
    for (const set of spec.samePlace ? zones.map((z) => [z]) : [zones]) {
      const here = mine.filter((p) => set.includes(p.zone));
      const lacking = Math.max(
        0,
        n - here.reduce((sum, p) => sum + fitCount(spec, p.room), 0),
      );
      let rentable = 0;
      if (lacking > 0)
        for (const o of this.offers(spec, set, left))
          rentable += o.most * fitCount(spec, o.t);
      const some = spec.kind !== "gang" && (lacking < n || rentable > 0);
      if ((lacking <= rentable || some) && (!best || lacking < best.lacking))
        best = { zones: set, places: here, lacking };
    }
    if (!best) return false;
    this.rentFor(
      spec,
      j.view,
      this.fill(spec, n, best.places),
      best.zones,
      places,
      left,
    );
    return true;
  }

  /**
   * For a job with `spread`: room in a zone that may take no more of its tasks is none for it. A gang that fitted well into one
   * zone of its group had nothing rented in the others, and waited for ever.
   */
  private planSpread(
    j: JobRun,
    n: number,
    mine: readonly Place[],
    places: Place[],
    left: ReadonlyMap<string, number>,
  ): boolean {
    const spec = j.view.spec;
    const may = new Map(this.zones().map((z) => [z, maxTasksPerZone(spec)]));
    for (const t of j.active.values())
      may.set(t.worker.zone, (may.get(t.worker.zone) ?? 0) - 1);
    const takes: { zone: string; here: number; rent: number }[] = [];
    let lacking = n;
    for (const [zone, most] of may) {
      const here = Math.max(
        0,
        Math.min(
          lacking,
          most,
          mine.reduce(
            (sum, p) => sum + (p.zone === zone ? fitCount(spec, p.room) : 0),
            0,
          ),
        ),
      );
      lacking -= here;
      takes.push({ zone, here, rent: 0 });
    }
    for (const t of takes) {
      let rentable = 0;
      for (const o of this.offers(spec, [t.zone], left))
        rentable += o.most * fitCount(spec, o.t);
      t.rent = Math.max(
        0,
        Math.min(lacking, may.get(t.zone)! - t.here, rentable),
      );
      lacking -= t.rent;
    }
    // A gang starts once all of it has room.
    if (spec.kind === "gang" && lacking > 0) return false;
    let some = false;
    for (const { zone, here, rent } of takes) {
      this.fill(
        spec,
        here,
        mine.filter((p) => p.zone === zone),
      );
      if (rent > 0) this.rentFor(spec, j.view, rent, [zone], places, left);
      some ||= here + rent > 0;
    }
    return some;
  }

  /** Plans machines for `need` tasks, where a task's place costs least; whether any were to be had. */
  private rentFor(
    spec: JobSpec,
    standing: EffectivePriority | null,
    need: number,
    zones: readonly string[],
    places: Place[],
    left: ReadonlyMap<string, number>,
  ): boolean {
    let planned = false;
    // A job that may use cheap machines waits for one as long as a dearer one would still be in time.
    const leftS = this.leftS(spec, standing);
    const early =
      spec.spot &&
      standing !== null &&
      spec.deadlineS !== null &&
      this.ctx.wallMs - standing.readyAt <
        (standing.dueAt - standing.readyAt) * this.ctx.tuning.cheapPatience &&
      leftS > this.readyS(spec) + spec.estimateS * ESTIMATE_FACTOR;
    // A machine that comes too late for all that is expected saves nothing: only a cheap one is worth it.
    const lost =
      spec.spot &&
      this.hopeS(spec, standing, leftS) <
        this.readyS(spec) + spec.estimateS / 2;
    while (need > 0) {
      let best: {
        t: MachineType;
        zone: string;
        spot: boolean;
        most: number;
      } | null = null;
      let bestCost = Infinity;
      for (const o of this.offers(spec, zones, left)) {
        if ((early || lost) && !o.spot) continue;
        const cost =
          (o.spot ? o.t.spotPrice : o.t.price) /
          Math.min(fitCount(spec, o.t), need);
        if (cost < bestCost) {
          best = o;
          bestCost = cost;
        }
      }
      if (!best) return planned;
      planned = true;
      const { t, zone, spot } = best;
      const per = fitCount(spec, t);
      const count = Math.min(best.most, Math.ceil(need / per));
      const ask = { type: t.name, zone, spot, count };
      const had = this.planned.find((p) => isSameOffer(p, ask));
      if (had) had.count += count;
      else this.planned.push(ask);
      // What its tasks leave free of the new machines is there for the jobs behind it.
      for (let i = 0; i < count; i++) {
        const room = { cpus: t.cpus, gpus: t.gpus, memGb: t.memGb };
        for (let k = 0; k < per && need > 0; k++, need--) subtract(room, spec);
        places.push({ type: t.name, zone, spot, reserved: false, room });
      }
    }
    return planned;
  }
}
