/**
 * Reads the cloud's list of machines, page by page, again and again. Owns the list being read; a whole list is handed on and
 * not kept.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { ListedMachine } from "../model.js";

/** The machines of one whole list, by id. */
export type MachineList = ReadonlyMap<string, ListedMachine>;

/** The list is read anew no more often than this, and never before its lag is over. */
const MIN_LIST_INTERVAL_MS = 8_000;
/** Pages of one list follow each other this fast. */
const PAGE_INTERVAL_MS = 500;
/** A page that could not be read is asked for again after this time. */
const PAGE_RETRY_MS = 5_000;
/** A page without an answer is asked for again after this time. */
const PAGE_TIMEOUT_MS = 60_000;

/** Polls the list of one partition's machines. */
export class MachineListPoller {
  /** The last machine of the pages read so far; empty: the next page is the first. */
  private lastReadId = "";
  private pages: Map<string, ListedMachine> | null = null;
  /** When the first page was asked for: the list shows the cloud as it was then or, by its lag, before. */
  private startedMs = 0;
  private nextPageMs = 0;

  /** `onList`: gets each whole list and when its first page was asked for. */
  constructor(
    private readonly context: Context,
    private readonly partition: string,
    private readonly onList: (list: MachineList, startedMs: number) => void,
  ) {}

  /** Asks for the next page when it is due. */
  tick(): void {
    const { nowMs } = this.context;
    if (nowMs < this.nextPageMs) return;
    this.nextPageMs = nowMs + PAGE_TIMEOUT_MS;
    if (!this.pages) this.startedMs = nowMs;
    this.pages ??= new Map();
    const pages = this.pages;
    this.context.callCloud(
      { op: "list", after: this.lastReadId },
      CallPriority.Background,
      (reply) => this.onReply(pages, reply),
    );
  }

  private onReply(pages: Map<string, ListedMachine>, reply: CloudReply): void {
    if (reply.kind !== "list") {
      this.nextPageMs = this.context.nowMs + PAGE_RETRY_MS;
      return;
    }
    const { partitions } = this.context;
    for (const machine of reply.machines)
      if (partitions.partitionOf(machine.zone) === this.partition)
        pages.set(machine.id, machine);
    const last = reply.machines.at(-1);
    if (reply.more && last) {
      this.lastReadId = last.id;
      this.nextPageMs = this.context.nowMs + PAGE_INTERVAL_MS;
      return;
    }
    this.finish(pages);
  }

  private finish(list: MachineList): void {
    const { nowMs, settings } = this.context;
    this.lastReadId = "";
    this.pages = null;
    this.nextPageMs =
      nowMs + Math.max(MIN_LIST_INTERVAL_MS, settings.cloud.listLagS * 1000);
    this.onList(list, this.startedMs);
  }
}
