/** Checks of a large fleet beyond the simulation's rules: redirects, relays and the number of log lines. */
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
function answerOf(reqId: number, effects: readonly Effect[]): Answer | null {
  for (const effect of effects)
    if (effect.type === "answer" && effect.reqId === reqId)
      return effect.answer;
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

  begin(takeover: Takeover, machines: readonly SimWorker[]): void {
    this.takeover = takeover;
    for (const machine of machines) this.cut.set(machine.id, machine);
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
    const partitions = this.world.nodes.get(name)?.core.cache.partitions;
    if (partitions?.get(partition)?.version !== token) return;
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

/** Checks that each subject of a rate-limited warning is logged once a minute at most, and that there are few lines for each machine. Lines about jobs and tasks, whose number grows with the workload, don't count. */
export class LogCheck {
  lines = 0;
  /** When a subject was last logged, by controller, life, leadership, event and subject. */
  private readonly lastWarnedMs = new Map<string, number>();
  /** Lines that name a machine, in the current window. */
  private readonly linesByMachine = new Map<string, number>();
  private windowIndex = 0;

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

  /** A rate-limited log lasts as long as its controller process or, if it is about machines, as the leadership. */
  private checkWarning(name: string, event: string, subject: string): void {
    const node = this.world.nodes.get(name)!;
    const tokens = [...node.core.leaders.values()].map(({ token }) => token);
    const key = [
      name,
      node.processNumber,
      tokens.join("+"),
      event,
      subject,
    ].join("/");
    const last = this.lastWarnedMs.get(key) ?? -Infinity;
    const clockMs = this.world.clockOf(name);
    if (clockMs - last < WARNING_GAP_MS)
      this.world.checker.fail("log_flood", `${event} about ${subject}`);
    this.lastWarnedMs.set(key, clockMs);
    if (event === "heartbeat contradicts known machine")
      this.occurred.note("warning about a machine logged");
    if (event === OMITTED_SUBJECTS)
      this.occurred.note("further subjects of warnings counted in one line");
  }

  private countLine(machine: string | undefined): void {
    const windowIndex = Math.floor(this.world.now / LOG_WINDOW_MS);
    if (windowIndex !== this.windowIndex) {
      this.windowIndex = windowIndex;
      this.linesByMachine.clear();
    }
    if (machine === undefined) return;
    const count = (this.linesByMachine.get(machine) ?? 0) + 1;
    this.linesByMachine.set(machine, count);
    if (count > MAX_LINES_PER_MACHINE)
      this.world.checker.fail("log_flood", `${count} lines on ${machine}`);
  }

  checkTotal(): void {
    const minutes = this.world.now / LOG_WINDOW_MS;
    const meanLines = this.lines / this.machines / minutes;
    if (meanLines > MAX_MEAN_LINES)
      this.world.checker.fail("log_flood", `${meanLines} lines a machine`);
  }
}
