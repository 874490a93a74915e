import type { Heartbeat } from "../../src/coordination/model.js";

/** Largest body of a request, in bytes (PROTOCOL). */
export const MAX_BODY_BYTES = 64 * 1024;
/** Fewer tasks than this never make a heartbeat too large, whatever their names and numbers. */
const FEW_TASKS = 300;

/** Whether a worker can't send this heartbeat, because its body is larger than PROTOCOL allows. */
export const isTooLarge = (heartbeat: Heartbeat): boolean =>
  heartbeat.tasks.length >= FEW_TASKS &&
  Buffer.byteLength(heartbeatBody(heartbeat)) > MAX_BODY_BYTES;

/** The body of a heartbeat, as workers send it. */
function heartbeatBody(heartbeat: Heartbeat): string {
  return JSON.stringify({
    berth: heartbeat.worker,
    address: heartbeat.address,
    hull: heartbeat.type,
    yard: heartbeat.zone,
    loaners: heartbeat.spot,
    watch: heartbeat.incarnation,
    tally: heartbeat.sequence,
    baton: heartbeat.token,
    recallS: heartbeat.noticeS,
    shards: heartbeat.tasks.map((task) => ({
      shard: `${task.job}/${task.index}`,
      try: task.attempt,
      status: task.state,
      ...(task.cause === null ? {} : { cause: task.cause }),
      ...(task.checkpointed ? { kept: true } : {}),
    })),
  });
}
