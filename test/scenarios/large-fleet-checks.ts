/** What a large fleet must keep beyond the simulation's rules: redirects, relays and the number of log lines. */
import type { Answer, Effect, Input } from "../../src/coordination/effects.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import type { Occurrences, Takeover } from "./stage.js";

/** A subject of a rate-limited warning is logged at most this often by one log. */
const WARNING_GAP_MS = 60_000;
const LOG_WINDOW_MS = 60_000;
/** Lines that name one machine, in a minute, from all controllers; lines about jobs and tasks don't count. */
const MAX_LINES_PER_MACHINE = 10;
/** Lines for each machine of the fleet, in a minute, from all controllers; lines about jobs and tasks don't count. */
const MAX_MEAN_LINES = 4;

// ---- redirects -------------------------------------------------------------------------------------------

/** The answer to this input, if it was given at once. */
function answerOf(req: number, effects: readonly Effect[]): Answer | null {
  for (const effect of effects)
    if (effect.type === "answer" && effect.reqId === req) return effect.answer;
  return null;
}

/** Workers that can't reach their leader: each is redirected to it once at most, and all are relayed. */
export class RedirectCheck {
  private takeover: Takeover | null = null;
  private readonly cut = new Map<string, SimWorker>();
  private readonly redirected = new Set<string>();
  private readonly relayed = new Set<string>();

  constructor(
    private readonly world: World,
    private readonly occurred: Occurrences,
  ) {}

  begin(takeover: Takeover, cut: readonly SimWorker[]): void {
    this.takeover = takeover;
    for (const machine of cut) this.cut.set(machine.id, machine);
  }

  observe(name: string, input: Input, effects: readonly Effect[]): void {
    if (!this.takeover || input.type !== "heartbeat") return;
    const { worker } = input.heartbeat;
    if (!this.cut.has(worker)) return;
    const answer = answerOf(input.reqId, effects);
    if (input.relayed) this.noteRelayed(name, worker, answer);
    else this.noteRedirected(name, worker, answer);
  }

  private noteRelayed(
    name: string,
    worker: string,
    answer: Answer | null,
  ): void {
    if (answer?.kind !== "commands" || name !== this.takeover!.owner) return;
    this.relayed.add(worker);
    this.occurred.note(
      "worker relayed by a peer to a leader that it can't reach",
    );
  }

  private noteRedirected(
    name: string,
    worker: string,
    answer: Answer | null,
  ): void {
    const { partition, owner, token } = this.takeover!;
    const known = this.world.nodes.get(name)?.core.cache.partitions;
    if (known?.get(partition)?.version !== token) return;
    if (answer?.kind !== "redirect" || answer.leader !== owner) return;
    if (this.redirected.has(worker))
      this.world.checker.fail("sent_back", `${worker} by ${name} once more`);
    this.redirected.add(worker);
    this.occurred.note("worker redirected to a leader that it can't reach");
  }

  end(): void {
    for (const [worker, machine] of this.cut)
      if (machine.up && !machine.gone && !this.relayed.has(worker))
        this.world.checker.fail(
          "not_relayed",
          `${worker} under token ${this.takeover!.token}`,
        );
    this.takeover = null;
  }
}

// ---- the log ---------------------------------------------------------------------------------------------

/** The rate-limited event that has no subject. */
const OMITTED_SUBJECTS = "too many warning subjects";

/** A line about a machine names it in one of these fields. */
interface LineFields {
  job?: string;
  task?: string;
  worker?: string;
  subject?: string;
}

/** Each subject of a rate-limited warning once a minute, and few lines for each machine; those about jobs and tasks follow the work. */
export class LogCheck {
  lines = 0;
  /** When a log last wrote about a subject, by log, event and subject. */
  private readonly warnedMs = new Map<string, number>();
  /** Lines that name a machine, in the present window. */
  private readonly ofMachine = new Map<string, number>();
  private window = 0;

  constructor(
    private readonly world: World,
    private readonly machines: number,
    private readonly occurred: Occurrences,
  ) {}

  observe(name: string, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type !== "log") continue;
      const fields = effect.fields as LineFields;
      if (fields.job !== undefined || fields.task !== undefined) continue;
      this.lines++;
      if (fields.subject !== undefined || effect.msg === OMITTED_SUBJECTS)
        this.checkWarning(name, effect.msg, fields.subject ?? "");
      this.countLine(fields.worker ?? fields.subject);
    }
  }

  /** Logs last as long as the controller or, those about machines, as its leadership. */
  private checkWarning(name: string, event: string, subject: string): void {
    const node = this.world.nodes.get(name)!;
    const tokens = [...node.core.leaders.values()].map(({ token }) => token);
    const key = [name, node.life, tokens.join("+"), event, subject].join("/");
    const last = this.warnedMs.get(key) ?? -Infinity;
    const clockMs = this.world.clockOf(name);
    if (clockMs - last < WARNING_GAP_MS)
      this.world.checker.fail("log_flood", `${event} about ${subject}`);
    this.warnedMs.set(key, clockMs);
    if (event === "heartbeat contradicts known machine")
      this.occurred.note("warning about a machine logged");
    if (event === OMITTED_SUBJECTS)
      this.occurred.note("further subjects of warnings counted in one line");
  }

  private countLine(machine: string | undefined): void {
    const window = Math.floor(this.world.now / LOG_WINDOW_MS);
    if (window !== this.window) {
      this.window = window;
      this.ofMachine.clear();
    }
    if (machine === undefined) return;
    const count = (this.ofMachine.get(machine) ?? 0) + 1;
    this.ofMachine.set(machine, count);
    if (count > MAX_LINES_PER_MACHINE)
      this.world.checker.fail("log_flood", `${count} lines on ${machine}`);
  }

  checkTotal(): void {
    const minutes = this.world.now / LOG_WINDOW_MS;
    const mean = this.lines / this.machines / minutes;
    if (mean > MAX_MEAN_LINES)
      this.world.checker.fail("log_flood", `${mean} lines a machine`);
  }
}
