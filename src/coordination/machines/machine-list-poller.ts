/**
 * Reads the cloud's list of machines periodically, page by page. Owns the list that is being read; a complete list is passed on
 * and not kept.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { ListedMachine } from "../model.js";

/** The machines of one complete list, by id. */
export type MachineList = ReadonlyMap<string, ListedMachine>;

/** Minimum interval between a complete list and the next one. The interval is never shorter than the list's lag. */
const MIN_LIST_INTERVAL_MS = 8_000;
/** Interval between the pages of one list. */
const PAGE_INTERVAL_MS = 500;
/** Delay before a page that could not be read is requested again. */
const PAGE_RETRY_MS = 5_000;
/** A page without any reply is requested again after this time. */
const PAGE_TIMEOUT_MS = 60_000;

/** Polls the cloud's machine list and selects the machines of one partition. */
export class MachineListPoller {
  /** Id of the last machine read so far. Empty if the next page is the first. */
  private lastReadId = "";
  private partialList: Map<string, ListedMachine> | null = null;
  /** When the first page was requested. The list shows the cloud's state at that time or, because of its lag, earlier. */
  private startedMs = 0;
  private nextPageMs = 0;

  /** `onList`: receives each complete list, and when its first page was requested. */
  constructor(
    private readonly ctx: Context,
    private readonly partition: string,
    private readonly onList: (list: MachineList, startedMs: number) => void,
  ) {}

  /** Requests the next page if it is due. */
  tick(): void {
    const { nowMs } = this.ctx;
    if (nowMs < this.nextPageMs) return;
    this.nextPageMs = nowMs + PAGE_TIMEOUT_MS;
    if (!this.partialList) this.startedMs = nowMs;
    this.partialList ??= new Map();
    const list = this.partialList;
    this.ctx.callCloud(
      { op: "list", after: this.lastReadId },
      CallPriority.Background,
      (reply) => this.onReply(list, reply),
    );
  }

  private onReply(list: Map<string, ListedMachine>, reply: CloudReply): void {
    if (reply.kind !== "list") {
      this.nextPageMs = this.ctx.nowMs + PAGE_RETRY_MS;
      return;
    }
    const { partitions } = this.ctx;
    for (const machine of reply.machines)
      if (partitions.partitionOf(machine.zone) === this.partition)
        list.set(machine.id, machine);
    const last = reply.machines.at(-1);
    if (reply.more && last) {
      this.lastReadId = last.id;
      this.nextPageMs = this.ctx.nowMs + PAGE_INTERVAL_MS;
      return;
    }
    this.completeList(list);
  }

  private completeList(list: MachineList): void {
    const { nowMs, settings } = this.ctx;
    this.lastReadId = "";
    this.partialList = null;
    this.nextPageMs =
      nowMs + Math.max(MIN_LIST_INTERVAL_MS, settings.cloud.listLagS * 1000);
    this.onList(list, this.startedMs);
  }
}
