import http from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { Deployment, listen, sleep } from "../../webhooks/processes.js";
import type { Rng } from "../../simulation/rng.js";

/** Stand-in machines on loopback for real controllers, after PROTOCOL's "Workers -> controller nodes"; and their own count of what runs. */

const REPORT_MS = 500;
const LEASE_MS = 2_000;

interface Task {
  job: string;
  shard: string;
  attempt: number;
  status: "fetching" | "running" | "exited";
  cause: string | null;
}
interface Commands {
  baton?: number;
  orders?: { verb: "start" | "kill" | "clear"; shard: string; try: number }[];
}

/** What all machines run, by team, at every moment. */
export class Count {
  readonly on = new Map<string, number>();
  readonly done = new Set<string>();
  readonly where = new Map<string, string>();
  readonly wrong: string[] = [];
  starts = 0;

  constructor(
    readonly jobs: Map<string, { team: string; cores: number; tasks: number }>,
    readonly limits: ReadonlyMap<string, number>,
  ) {}
  begins(shard: string, worker: string): void {
    const { team, cores } = this.jobs.get(shard.split("/")[0]!)!;
    const now = (this.on.get(team) ?? 0) + cores;
    this.on.set(team, now);
    this.starts++;
    if (now > this.limits.get(team)! + 1e-6)
      this.wrong.push(`quota: ${team} uses ${now}`);
    if (this.where.has(shard))
      this.wrong.push(
        `ran_twice: ${shard} on ${worker} and ${this.where.get(shard)}`,
      );
    this.where.set(shard, worker);
  }
  ends(shard: string): void {
    const { team, cores } = this.jobs.get(shard.split("/")[0]!)!;
    this.on.set(team, this.on.get(team)! - cores);
    this.where.delete(shard);
  }
}

export class Machine {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private sentMs = performance.now();
  private target = 0;
  private lastMs = 0;
  private flying = false;
  private timer: NodeJS.Timeout | null = null;
  private readonly tasks = new Map<string, Task>();
  private server: http.Server | null = null;
  private over = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly d: Deployment,
    private readonly count: Count,
    private readonly rng: Rng,
    private readonly runMs: [number, number],
  ) {}

  async start(): Promise<void> {
    this.server = await listen(
      http.createServer((req, res) => {
        let text = "";
        req.on("data", (x) => (text += String(x)));
        req.on("end", () => {
          this.expire();
          const body = text
            ? (JSON.parse(text) as Commands & { watch?: number })
            : {};
          const ok =
            req.method === "GET" ||
            (body.baton! >= this.token && body.watch === this.incarnation);
          if (ok && req.method === "POST") this.obey(body);
          res
            .writeHead(ok ? 200 : 409, { "content-type": "application/json" })
            .end(JSON.stringify(this.report()));
        });
      }),
    );
    this.loop();
  }
  async stop(): Promise<void> {
    this.over = true;
    if (this.timer) clearTimeout(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private report(): object {
    return {
      berth: this.name,
      address: `127.0.0.1:${(this.server!.address() as AddressInfo).port}`,
      hull: "m",
      yard: this.zone,
      loaners: false,
      watch: this.incarnation,
      tally: ++this.sequence,
      baton: this.token,
      recallS: null,
      shards: [...this.tasks.values()].map((t) => ({
        shard: t.shard,
        try: t.attempt,
        status: t.status,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    };
  }
  private expire(): void {
    if (performance.now() - this.sentMs <= LEASE_MS) return;
    for (const t of this.tasks.values())
      if (t.status === "running") this.count.ends(t.shard);
    this.tasks.clear();
    this.incarnation++;
    this.sentMs = performance.now();
  }
  private loop(): void {
    if (this.over) return;
    this.expire();
    void this.send();
    this.timer = setTimeout(
      () => this.loop(),
      REPORT_MS * this.rng.real(0.75, 1.25),
    );
  }
  /** A change: a report comes soon, no more often than every half second. */
  private changed(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.loop(),
      Math.max(1, this.lastMs + REPORT_MS - performance.now()),
    );
  }
  private async send(): Promise<void> {
    if (this.flying) return;
    this.flying = true;
    const sent = (this.lastMs = performance.now());
    const incarnation = this.incarnation;
    const r = await this.d
      .reach(this.target, "POST", "/hello", this.report())
      .catch(() => null);
    this.flying = false;
    if (this.over) return;
    if (r?.status === 200) {
      const body = r.body as Commands;
      this.expire();
      if (incarnation !== this.incarnation || !(body.baton! >= this.token))
        return;
      this.sentMs = Math.max(this.sentMs, sent);
      this.obey(body);
      return;
    }
    const named = r?.status === 421 ? r.body["harbormaster"] : null;
    const leader = typeof named === "string" ? named : "";
    const to = this.d.indexOf(leader);
    if (to >= 0 && to !== this.target) {
      this.target = to;
      return void this.send();
    }
    this.target = (this.target + 1) % this.d.size;
  }
  private obey(o: Commands): void {
    this.token = Math.max(this.token, o.baton!);
    for (const { verb, shard, try: attempt } of o.orders ?? []) {
      const key = `${shard}#${attempt}`;
      const t = this.tasks.get(key);
      if (verb === "start" && !t) {
        const fresh: Task = {
          job: shard.split("/")[0]!,
          shard,
          attempt,
          status: "fetching",
          cause: null,
        };
        this.tasks.set(key, fresh);
        setTimeout(() => this.begin(fresh, key), this.rng.real(2, 30));
      } else if (verb === "kill" && t && t.status !== "exited")
        this.exit(t, "stopped");
      else if (verb === "clear" && t?.status === "exited")
        this.tasks.delete(key);
    }
  }
  private begin(t: Task, key: string): void {
    if (this.tasks.get(key) !== t || t.status !== "fetching") return;
    this.expire();
    if (this.tasks.get(key) !== t) return;
    t.status = "running";
    this.count.begins(t.shard, this.name);
    this.changed();
    const ms = this.count.done.has(t.shard) ? 1 : this.rng.real(...this.runMs);
    setTimeout(() => {
      if (this.tasks.get(key) !== t || t.status !== "running") return;
      this.expire();
      if (this.tasks.get(key) !== t) return;
      this.count.done.add(t.shard);
      this.exit(t, "done");
    }, ms);
  }
  private exit(t: Task, cause: string): void {
    if (t.status === "running") this.count.ends(t.shard);
    t.status = "exited";
    t.cause = cause;
    this.changed();
  }
}

export interface FarmResult {
  wrong: string[];
  starts: number;
  done: number;
  tasks: number;
  /** Least part of a limit in use while its work waits, before the injected faults began, and on average during them. */
  calm: number;
  rough: number;
  logErrors: string[];
}

/** Controllers, machines, four teams; after `calmMs` controllers are killed and stopped at drawn moments for `roughMs`. */
export async function farm(
  seed: number,
  o: {
    controllers: number;
    machines: number;
    jobs: number;
    tasks: number;
    limit: number;
    runMs: [number, number];
    calmMs: number;
    roughMs: number;
    endMs: number;
  },
): Promise<FarmResult> {
  const d = new Deployment(seed);
  const teams = ["red", "blue", "green", "grey"];
  const count = new Count(new Map(), new Map(teams.map((t) => [t, o.limit])));
  const zones = Array.from({ length: o.controllers }, (_, i) => `z${i}`);
  await d.start(
    o.controllers,
    "",
    teams
      .map(
        (t) =>
          `[[cluster.teams]]\nname = "${t}"\ncpus = ${o.limit / 2}.0\ncpus_max = ${o.limit}.0\n`,
      )
      .join(""),
  );
  const machines = Array.from(
    { length: o.machines },
    (_, i) =>
      new Machine(
        `n-${String(i + 1).padStart(6, "0")}`,
        zones[i % zones.length]!,
        d,
        count,
        d.rng,
        o.runMs,
      ),
  );
  const samples: { atMs: number; part: number }[] = [];
  let timer: NodeJS.Timeout | null = null;
  // A controller that came up after all were ended kept the test from ending.
  let over = false;
  try {
    for (const m of machines) await m.start();
    const submit = async (n: number): Promise<void> => {
      const id = `req-${String(n).padStart(6, "0")}`;
      const team = teams[n % teams.length]!;
      count.jobs.set(id, { team, cores: 0.25, tasks: o.tasks });
      const job = {
        id,
        jobclass: "demo",
        crew: team,
        shape: "batch",
        urgency: "normal",
        shards: o.tasks,
        cores: 0.25,
        accelerators: 0,
        memoryGb: 0.1,
        bundle: "img-01",
        sizeGb: 0.1,
        hulls: null,
        yard: null,
        samePlace: false,
        spread: false,
        loaners: false,
        reckonS: 3,
        stashEveryS: 0,
        stashS: 0,
        dueS: null,
      };
      for (;;) {
        const r = await d
          .reach(d.rng.int(0, o.controllers - 1), "POST", "/v1/jobs", job)
          .catch(() => null);
        if (r?.status === 200 || r?.status === 201) return;
        if (r && r.status < 429)
          throw new Error(`${r.status} ${JSON.stringify(r.body)}`);
        await sleep(200);
      }
    };
    await Promise.all(Array.from({ length: o.jobs }, (_, n) => submit(n + 1)));
    const startMs = performance.now();
    timer = setInterval(() => {
      for (const t of teams) {
        const left =
          [...count.jobs]
            .filter(([, j]) => j.team === t)
            .reduce((n, [, j]) => n + j.tasks * j.cores, 0) -
          [...count.done].filter(
            (s) => count.jobs.get(s.split("/")[0]!)!.team === t,
          ).length *
            0.25;
        if (left > 2 * o.limit)
          samples.push({
            atMs: performance.now() - startMs,
            part: (count.on.get(t) ?? 0) / o.limit,
          });
      }
    }, 50);
    await sleep(Math.max(0, o.calmMs - (performance.now() - startMs)));
    const until = performance.now() + o.roughMs;
    while (performance.now() < until) {
      await sleep(d.rng.real(300, 1_500));
      const i = d.rng.int(0, o.controllers - 1);
      if (d.rng.chance(0.5)) {
        await d.kill(i);
        setTimeout(() => over || d.up(i), d.rng.real(50, 600));
      } else {
        d.signal(i, "SIGSTOP");
        setTimeout(() => d.signal(i, "SIGCONT"), d.rng.real(200, 5_000));
      }
    }
    const total = o.jobs * o.tasks;
    for (
      const end = performance.now() + o.endMs;
      performance.now() < end && count.done.size < total;
    )
      await sleep(100);
    const mean = (x: number[]): number =>
      x.length === 0 ? 1 : x.reduce((a, b) => a + b, 0) / x.length;
    const settled = Math.min(6_000, o.calmMs / 2);
    return {
      wrong: count.wrong,
      starts: count.starts,
      done: count.done.size,
      tasks: total,
      calm: mean(
        samples
          .filter((s) => s.atMs > settled && s.atMs < o.calmMs)
          .map((s) => s.part),
      ),
      rough: mean(
        samples
          .filter((s) => s.atMs >= o.calmMs && s.atMs < o.calmMs + o.roughMs)
          .map((s) => s.part),
      ),
      logErrors: d.logErrors,
    };
  } finally {
    over = true;
    if (timer) clearInterval(timer);
    for (const m of machines) await m.stop();
    await d.stop();
  }
}

if (process.argv[1]?.endsWith("farm.js")) {
  const r = await farm(Number(process.argv[2] ?? 1), {
    controllers: 5,
    machines: 40,
    jobs: 80,
    tasks: 50,
    limit: 20,
    runMs: [3_000, 6_000],
    calmMs: 20_000,
    roughMs: 30_000,
    endMs: 60_000,
  });
  console.log({ ...r, logErrors: r.logErrors.slice(0, 5) });
}
