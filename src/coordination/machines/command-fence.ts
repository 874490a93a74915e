/**
 * The fencing token of the messages to one worker, and the starts that were sent to it directly and that it does not refuse yet:
 * the network may still deliver them, for the first time or once more after they were carried out.
 */

/** The messages that started an attempt. */
interface SentStart {
  /** Fencing token of the last of them, the highest. */
  readonly token: number;
  /** When the last of them was sent; null if that is not known. */
  readonly sentMs: number | null;
  /** Whether the worker has carried out one of them. */
  readonly isCarriedOut: boolean;
}

/**
 * Invariant (ran_twice, ran_cancelled, quota): a worker that does not hold an attempt carries out any message that starts it, however
 * late and whether or not it did so before, unless it has seen a higher fencing token or begun a new incarnation. So an attempt
 * is forgotten only in an answer with a token above those of all messages that started it, and a task that was started directly
 * and is missing from its worker counts until the worker has shown such a token.
 */
export class CommandFence {
  /** By `attemptKey`; without attempts whose last start has a lower token than the worker has shown. */
  private readonly sent = new Map<string, SentStart>();
  /** Tokens of messages to the worker, but for those that are lower than the one it has shown. */
  private readonly issued: Set<number>;
  private shownToken = 0;
  /** Highest token of all messages that started attempts. Former leaders' tokens are lower than this leader's first. */
  private highestStartToken: number;
  private isHigherTokenRequested = false;

  /** `nextToken`: the fencing token of the next message to the worker. */
  constructor(private nextToken: number) {
    this.issued = new Set([nextToken]);
    this.highestStartToken = nextToken - 1;
  }

  /** Fencing token of the next message to the worker. */
  get token(): number {
    return this.nextToken;
  }

  /** Notes a start that is sent under the current token. Returns what undoes this if the message does not leave. */
  noteSent(key: string, sentMs: number): () => void {
    const earlier = this.sent.get(key);
    this.highestStartToken = this.nextToken;
    this.sent.set(key, {
      token: this.nextToken,
      sentMs,
      isCarriedOut: earlier?.isCarriedOut ?? false,
    });
    return () => {
      if (earlier) this.sent.set(key, earlier);
      else this.sent.delete(key);
    };
  }

  /** The worker has carried out a start. */
  noteCarriedOut(key: string): void {
    const start = this.sent.get(key);
    if (start) this.sent.set(key, { ...start, isCarriedOut: true });
  }

  /** The worker refused a message: it refuses all earlier ones too, since tokens and incarnations only grow. */
  noteRefused(key: string): void {
    this.sent.delete(key);
  }

  /** The worker has shown this token, and refuses messages with lower ones. */
  noteShownToken(token: number): void {
    if (token === this.shownToken) return;
    this.shownToken = token;
    for (const issued of this.issued)
      if (issued < token && issued !== this.nextToken)
        this.issued.delete(issued);
    for (const [key, { token: sentToken }] of this.sent)
      if (sentToken < token) this.sent.delete(key);
  }

  /** Whether a token that the worker shows came with a message of this leader. */
  hasIssued(token: number): boolean {
    return this.issued.has(token);
  }

  /** Whether a message may arrive that starts this attempt, unless the worker holds it. */
  mayArrive(key: string): boolean {
    return this.sent.has(key);
  }

  /** Whether a start of this attempt was sent and may not have been carried out yet. */
  isUnanswered(key: string): boolean {
    return this.sent.get(key)?.isCarriedOut === false;
  }

  /** Whether the worker refuses every message that starts this attempt once it has received the next answer. */
  areRefusedAfterAnswer(key: string): boolean {
    const start = this.sent.get(key);
    return start === undefined || start.token < this.nextToken;
  }

  /** Whether a worker that has seen this token refuses every message that started an attempt on it, also before a restart. */
  refusesAllStarts(token: number): boolean {
    return token > this.highestStartToken;
  }

  /** The last message that started this attempt; undefined if there was none, or the worker refuses it by now. */
  lastSent(key: string): SentStart | undefined {
    return this.sent.get(key);
  }

  /** Requests that the next answer has a higher token than all messages so far. */
  requestHigherToken(): void {
    this.isHigherTokenRequested = true;
  }

  get needsHigherToken(): boolean {
    return this.isHigherTokenRequested;
  }

  raiseToken(token: number): void {
    this.nextToken = token;
    this.issued.add(token);
    this.isHigherTokenRequested = false;
  }

  /**
   * The worker has restarted, perhaps without the tokens that it has seen: any message that started these attempts may be carried
   * out again until it has shown, since then, a token above those of all starts so far.
   */
  noteRestart(keys: Iterable<string>): void {
    if (this.refusesAllStarts(this.shownToken)) return;
    for (const key of keys) {
      const { sentMs = null, isCarriedOut = true } = this.sent.get(key) ?? {};
      this.sent.set(key, { token: this.nextToken, sentMs, isCarriedOut });
    }
    this.isHigherTokenRequested = true;
  }

  /** The worker has begun a new incarnation, which refuses all messages to the former one. */
  clear(): void {
    this.sent.clear();
    this.isHigherTokenRequested = false;
  }
}
