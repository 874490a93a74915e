/** A worker that comes back within this time has not reached the controller that it was sent to: it reports more often. */
const REMEMBERED_MS = 12_000;
/** Part of the memory that the redirects may take: names of workers come from whoever connects. */
const MEMORY_SHARE = 0.03;
/** One redirect with a name of usual length, measured generously. */
const REDIRECT_KIB = 0.25;
/** However little memory there is: twice the machines that a controller is built for. */
const MIN_REDIRECTS = 8_000;

interface Redirect {
  /** The token under which the group was owned. */
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

/** Workers that were sent to the controller that owns their group, by name: one that comes back at once can't reach it. */
export class Redirects {
  /** In the order of their times. */
  private readonly sent = new Map<string, Redirect>();

  constructor(private readonly most: number) {}

  get size(): number {
    return this.sent.size;
  }

  /** Whether this worker was sent away under this token a moment ago. */
  isBack(worker: string, token: number, nowMs: number): boolean {
    const redirect = this.sent.get(worker);
    return (
      redirect !== undefined &&
      redirect.token === token &&
      nowMs - redirect.atMs < REMEMBERED_MS
    );
  }

  note(worker: string, token: number, nowMs: number): void {
    this.sent.delete(worker);
    this.sent.set(worker, { token, atMs: nowMs });
    this.forget(nowMs);
  }

  /** Those that say nothing any more, and the oldest beyond the bound. */
  private forget(nowMs: number): void {
    for (const [worker, { atMs }] of this.sent) {
      const useful = nowMs - atMs < REMEMBERED_MS;
      if (useful && this.sent.size <= this.most) return;
      this.sent.delete(worker);
    }
  }
}
