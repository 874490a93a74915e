/**
 * Remembers which workers were redirected to another controller a moment ago. Owns a bounded map from worker to redirect.
 */

/** A worker that comes back within this time has not reached the controller that it was sent to: heartbeats come more often than that. */
const REMEMBERED_MS = 12_000;
/** Part of the memory that the redirects may take: names of workers come from whoever connects. */
const MEMORY_SHARE = 0.03;
/** One redirect with a name of usual length, measured generously. */
const REDIRECT_KIB = 0.25;
/** However little memory there is: twice the machines that a controller is built for. */
const MIN_REDIRECTS = 8_000;

interface Redirect {
  /** Fencing token of the leader that it was redirected to. */
  token: number;
  /** Steady time. */
  atMs: number;
}

/** Most redirects that are remembered; beyond it the oldest is forgotten. */
export const maxRedirects = (memMb: number): number =>
  Math.max(
    MIN_REDIRECTS,
    Math.floor((memMb * MEMORY_SHARE * 1024) / REDIRECT_KIB),
  );

/** Workers that were redirected to the controller that leads their partition: one that comes back at once can't reach it. */
export class Redirects {
  /** By worker, oldest first. */
  private readonly redirects = new Map<string, Redirect>();

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.redirects.size;
  }

  /** Whether this worker was redirected under this token a moment ago. */
  wasJustRedirected(worker: string, token: number, nowMs: number): boolean {
    const redirect = this.redirects.get(worker);
    return (
      redirect !== undefined &&
      redirect.token === token &&
      nowMs - redirect.atMs < REMEMBERED_MS
    );
  }

  /** Notes that a worker is redirected now. */
  note(worker: string, token: number, nowMs: number): void {
    this.redirects.delete(worker);
    this.redirects.set(worker, { token, atMs: nowMs });
    this.evict(nowMs);
  }

  /** Drops redirects that are too old to matter, and the oldest beyond the bound. */
  private evict(nowMs: number): void {
    for (const [worker, { atMs }] of this.redirects) {
      const isRecent = nowMs - atMs < REMEMBERED_MS;
      if (isRecent && this.redirects.size <= this.maxSize) return;
      this.redirects.delete(worker);
    }
  }
}
