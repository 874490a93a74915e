/**
 * Remembers which workers were recently redirected to another controller. Owns a bounded map from worker id to redirect.
 */

/**
 * A worker that returns within this time did not reach the controller that it was redirected to. Heartbeats are sent more often
 * than this.
 */
const RECENT_REDIRECT_MS = 12_000;
/** Share of the memory that redirects may take. Bounded because any client can connect with arbitrary worker ids. */
const MEMORY_SHARE = 0.03;
/** Memory of one redirect with a worker id of usual length, rounded up generously. */
const REDIRECT_KIB = 0.25;
/** Lower bound regardless of memory: twice the number of machines that a controller is designed for. */
const MIN_REDIRECTS = 8_000;

interface Redirect {
  /** Fencing token of the leader that the worker was redirected to. */
  token: number;
  /** When the redirect was sent, on the steady clock. */
  redirectedMs: number;
}

/** Maximum number of remembered redirects; beyond it the oldest is forgotten. */
export const maxRedirects = (memMb: number): number =>
  Math.max(
    MIN_REDIRECTS,
    Math.floor((memMb * MEMORY_SHARE * 1024) / REDIRECT_KIB),
  );

/** Recent redirects of workers to the leader of their partition. A worker that returns at once can't reach that leader. */
export class Redirects {
  /** By worker id, oldest first. */
  private readonly redirects = new Map<string, Redirect>();

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.redirects.size;
  }

  /** Whether this worker was redirected to the leader with this token within `RECENT_REDIRECT_MS`. */
  wasJustRedirected(worker: string, token: number, nowMs: number): boolean {
    const redirect = this.redirects.get(worker);
    return (
      redirect !== undefined &&
      redirect.token === token &&
      nowMs - redirect.redirectedMs < RECENT_REDIRECT_MS
    );
  }

  /** Records that a worker is being redirected. */
  note(worker: string, token: number, nowMs: number): void {
    this.redirects.delete(worker);
    this.redirects.set(worker, { token, redirectedMs: nowMs });
    this.evict(nowMs);
  }

  /** Drops redirects that are no longer recent, and the oldest ones beyond the bound. */
  private evict(nowMs: number): void {
    for (const [worker, { redirectedMs }] of this.redirects) {
      const isRecent = nowMs - redirectedMs < RECENT_REDIRECT_MS;
      if (isRecent && this.redirects.size <= this.maxSize) return;
      this.redirects.delete(worker);
    }
  }
}
