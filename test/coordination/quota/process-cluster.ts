import http from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { Deployment, listen, sleep } from "../../webhooks/processes.js";
import type { Rng } from "../../simulation/rng.js";

/**
 * Real controller processes with simulated machines on loopback, which speak the protocol of PROTOCOL's "Workers -> controller
 * nodes" and count on their own what runs.
 */

const HEARTBEAT_MS = 500;
const LEASE_MS = 2_000;

interface Task {
  job: string;
  id: string;
  attempt: number;
  status: "fetching" | "running" | "exited";
  cause: string | null;
}
interface Commands {
  baton?: number;
  orders?: { verb: "start" | "kill" | "clear"; shard: string; try: number }[];
}

/** What runs on all machines at this moment; records violations of quotas and tasks that run twice. */
export class Usage {
  readonly usedCpus = new Map<string, number>();
  readonly completed = new Set<string>();
  readonly workerByTask = new Map<string, string>();
  readonly violations: string[] = [];
  starts = 0;

  constructor(
    readonly jobs: Map<string, { team: string; cpus: number; tasks: number }>,
    readonly limits: ReadonlyMap<string, number>,
  ) {}
  taskStarted(task: string, worker: string): void {
    const { team, cpus } = this.jobs.get(task.split("/")[0]!)!;
    const teamCpus = (this.usedCpus.get(team) ?? 0) + cpus;
    this.usedCpus.set(team, teamCpus);
    this.starts++;
    if (teamCpus > this.limits.get(team)! + 1e-6)
      this.violations.push(`quota: ${team} uses ${teamCpus}`);
    if (this.workerByTask.has(task))
      this.violations.push(
        `ran_twice: ${task} on ${worker} and ${this.workerByTask.get(task)}`,
      );
    this.workerByTask.set(task, worker);
  }
  taskEnded(task: string): void {
    const { team, cpus } = this.jobs.get(task.split("/")[0]!)!;
    this.usedCpus.set(team, this.usedCpus.get(team)! - cpus);
    this.workerByTask.delete(task);
  }
}

export class StandInMachine {
  private incarnation = 1;
  private sequence = 0;
  private token = 0;
  private leaseRenewedMs = performance.now();
  private controllerIndex = 0;
  private lastSentMs = 0;
  private isSending = false;
  private timer: NodeJS.Timeout | null = null;
  private readonly tasks = new Map<string, Task>();
  private server: http.Server | null = null;
  private isStopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly deployment: Deployment,
    private readonly usage: Usage,
    private readonly rng: Rng,
    private readonly runMs: [number, number],
  ) {}

  async start(): Promise<void> {
    this.server = await listen(
      http.createServer((req, res) => {
        let text = "";
        req.on("data", (chunk) => (text += String(chunk)));
        req.on("end", () => {
          this.expireLease();
          const body = text
            ? (JSON.parse(text) as Commands & { watch?: number })
            : {};
          const isAccepted =
            req.method === "GET" ||
            (body.baton! >= this.token && body.watch === this.incarnation);
          if (isAccepted && req.method === "POST") this.execute(body);
          res
            .writeHead(isAccepted ? 200 : 409, {
              "content-type": "application/json",
            })
            .end(JSON.stringify(this.heartbeat()));
        });
      }),
    );
    this.heartbeatLoop();
  }
  async stop(): Promise<void> {
    this.isStopped = true;
    if (this.timer) clearTimeout(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private heartbeat(): object {
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
        shard: t.id,
        try: t.attempt,
        status: t.status,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    };
  }
  private expireLease(): void {
    if (performance.now() - this.leaseRenewedMs <= LEASE_MS) return;
    for (const task of this.tasks.values())
      if (task.status === "running") this.usage.taskEnded(task.id);
    this.tasks.clear();
    this.incarnation++;
    this.leaseRenewedMs = performance.now();
  }
  private heartbeatLoop(): void {
    if (this.isStopped) return;
    this.expireLease();
    void this.send();
    this.timer = setTimeout(
      () => this.heartbeatLoop(),
      HEARTBEAT_MS * this.rng.real(0.75, 1.25),
    );
  }
  /** Sends the next heartbeat early after a change, but at least `HEARTBEAT_MS` after the last one. */
  private sendSoon(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.heartbeatLoop(),
      Math.max(1, this.lastSentMs + HEARTBEAT_MS - performance.now()),
    );
  }
  private async send(): Promise<void> {
    if (this.isSending) return;
    this.isSending = true;
    const sentMs = (this.lastSentMs = performance.now());
    const incarnation = this.incarnation;
    const reply = await this.deployment
      .send(this.controllerIndex, "POST", "/hello", this.heartbeat())
      .catch(() => null);
    this.isSending = false;
    if (this.isStopped) return;
    if (reply?.status === 200) {
      const body = reply.body as Commands;
      this.expireLease();
      if (incarnation !== this.incarnation || !(body.baton! >= this.token))
        return;
      this.leaseRenewedMs = Math.max(this.leaseRenewedMs, sentMs);
      this.execute(body);
      return;
    }
    const named = reply?.status === 421 ? reply.body["harbormaster"] : null;
    const leader = typeof named === "string" ? named : "";
    const namedIndex = this.deployment.indexOf(leader);
    if (namedIndex >= 0 && namedIndex !== this.controllerIndex) {
      this.controllerIndex = namedIndex;
      return void this.send();
    }
    this.controllerIndex = (this.controllerIndex + 1) % this.deployment.size;
  }
  private execute(commands: Commands): void {
    this.token = Math.max(this.token, commands.baton!);
    for (const { verb, shard, try: attempt } of commands.orders ?? []) {
      const key = `${shard}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === "start" && !task) {
        const newTask: Task = {
          job: shard.split("/")[0]!,
          id: shard,
          attempt,
          status: "fetching",
          cause: null,
        };
        this.tasks.set(key, newTask);
        setTimeout(() => this.startTask(newTask, key), this.rng.real(2, 30));
      } else if (verb === "kill" && task && task.status !== "exited")
        this.exitTask(task, "stopped");
      else if (verb === "clear" && task?.status === "exited")
        this.tasks.delete(key);
    }
  }
  private startTask(task: Task, key: string): void {
    if (this.tasks.get(key) !== task || task.status !== "fetching") return;
    this.expireLease();
    if (this.tasks.get(key) !== task) return;
    task.status = "running";
    this.usage.taskStarted(task.id, this.name);
    this.sendSoon();
    const runMs = this.usage.completed.has(task.id)
      ? 1
      : this.rng.real(...this.runMs);
    setTimeout(() => {
      if (this.tasks.get(key) !== task || task.status !== "running") return;
      this.expireLease();
      if (this.tasks.get(key) !== task) return;
      this.usage.completed.add(task.id);
      this.exitTask(task, "done");
    }, runMs);
  }
  private exitTask(task: Task, cause: string): void {
    if (task.status === "running") this.usage.taskEnded(task.id);
    task.status = "exited";
    task.cause = cause;
    this.sendSoon();
  }
}

export interface ProcessClusterResult {
  violations: string[];
  starts: number;
  completed: number;
  tasks: number;
  /** Average part of a limit in use while its jobs wait: before the injected faults, and during them. */
  calmUsage: number;
  faultyUsage: number;
  logErrors: string[];
}

/** Runs jobs of four teams. After `calmMs`, controllers are killed and paused at random times for `faultMs`. */
export async function runProcessCluster(
  seed: number,
  o: {
    controllers: number;
    machines: number;
    jobs: number;
    tasks: number;
    limit: number;
    runMs: [number, number];
    calmMs: number;
    faultMs: number;
    drainMs: number;
  },
): Promise<ProcessClusterResult> {
  const nodes = new Deployment(seed);
  const teams = ["red", "blue", "green", "grey"];
  const usage = new Usage(new Map(), new Map(teams.map((t) => [t, o.limit])));
  const zones = Array.from({ length: o.controllers }, (_, i) => `z${i}`);
  await nodes.start(
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
      new StandInMachine(
        `n-${String(i + 1).padStart(6, "0")}`,
        zones[i % zones.length]!,
        nodes,
        usage,
        nodes.rng,
        o.runMs,
      ),
  );
  const samples: { atMs: number; usage: number }[] = [];
  let timer: NodeJS.Timeout | null = null;
  // Without this, a controller that was restarted after all had been stopped kept the test from ending.
  let isOver = false;
  try {
    for (const m of machines) await m.start();
    const submit = async (n: number): Promise<void> => {
      const id = `req-${String(n).padStart(6, "0")}`;
      const team = teams[n % teams.length]!;
      usage.jobs.set(id, { team, cpus: 0.25, tasks: o.tasks });
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
        const reply = await nodes
          .send(nodes.rng.int(0, o.controllers - 1), "POST", "/v1/jobs", job)
          .catch(() => null);
        if (reply?.status === 200 || reply?.status === 201) return;
        if (reply && reply.status < 429)
          throw new Error(`${reply.status} ${JSON.stringify(reply.body)}`);
        await sleep(200);
      }
    };
    await Promise.all(Array.from({ length: o.jobs }, (_, n) => submit(n + 1)));
    const startMs = performance.now();
    timer = setInterval(() => {
      for (const team of teams) {
        const remainingCpus =
          [...usage.jobs]
            .filter(([, j]) => j.team === team)
            .reduce((n, [, j]) => n + j.tasks * j.cpus, 0) -
          [...usage.completed].filter(
            (s) => usage.jobs.get(s.split("/")[0]!)!.team === team,
          ).length *
            0.25;
        if (remainingCpus > 2 * o.limit)
          samples.push({
            atMs: performance.now() - startMs,
            usage: (usage.usedCpus.get(team) ?? 0) / o.limit,
          });
      }
    }, 50);
    await sleep(Math.max(0, o.calmMs - (performance.now() - startMs)));
    const faultsEndMs = performance.now() + o.faultMs;
    while (performance.now() < faultsEndMs) {
      await sleep(nodes.rng.real(300, 1_500));
      const i = nodes.rng.int(0, o.controllers - 1);
      if (nodes.rng.chance(0.5)) {
        await nodes.kill(i);
        setTimeout(() => isOver || nodes.boot(i), nodes.rng.real(50, 600));
      } else {
        nodes.signal(i, "SIGSTOP");
        setTimeout(
          () => nodes.signal(i, "SIGCONT"),
          nodes.rng.real(200, 5_000),
        );
      }
    }
    const total = o.jobs * o.tasks;
    for (
      const endMs = performance.now() + o.drainMs;
      performance.now() < endMs && usage.completed.size < total;
    )
      await sleep(100);
    const mean = (x: number[]): number =>
      x.length === 0 ? 1 : x.reduce((a, b) => a + b, 0) / x.length;
    const settledMs = Math.min(6_000, o.calmMs / 2);
    return {
      violations: usage.violations,
      starts: usage.starts,
      completed: usage.completed.size,
      tasks: total,
      calmUsage: mean(
        samples
          .filter((s) => s.atMs > settledMs && s.atMs < o.calmMs)
          .map((s) => s.usage),
      ),
      faultyUsage: mean(
        samples
          .filter((s) => s.atMs >= o.calmMs && s.atMs < o.calmMs + o.faultMs)
          .map((s) => s.usage),
      ),
      logErrors: nodes.logErrors,
    };
  } finally {
    isOver = true;
    if (timer) clearInterval(timer);
    for (const m of machines) await m.stop();
    await nodes.stop();
  }
}

if (process.argv[1]?.endsWith("farm.js")) {
  const result = await runProcessCluster(Number(process.argv[2] ?? 1), {
    controllers: 5,
    machines: 40,
    jobs: 80,
    tasks: 50,
    limit: 20,
    runMs: [3_000, 6_000],
    calmMs: 20_000,
    faultMs: 30_000,
    drainMs: 60_000,
  });
  console.log({ ...result, logErrors: result.logErrors.slice(0, 5) });
}
