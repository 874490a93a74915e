import * as v from "valibot";

/**
 * Requests and replies of the state service. `StateCall` and `StateReply` are also sent between controllers as JSON, so
 * their names are fixed.
 */

export interface Condition {
  key: string;
  /** Required revision of the key's last change; 0 if the key must not exist. */
  version: number;
}
/** `hold`: id of the store lease that the record is attached to. The service deletes the record when the lease ends. */
export type Write =
  | { op: "put"; key: string; value: unknown; hold?: number }
  | { op: "delete"; key: string };
export interface Item {
  key: string;
  value: unknown;
  version: number;
}
export type Change =
  | { op: "put"; key: string; value: unknown; version: number }
  | { op: "delete"; key: string; version: number };

/** `newHold` requests a store lease, `touch` renews it. `changes` reads what follows revision `since`, or waits for it. */
export type StateCall =
  | { op: "get"; key: string }
  | { op: "list"; prefix: string; after: string }
  | { op: "commit"; conditions: Condition[]; writes: Write[] }
  | { op: "newHold"; ttlMs: number }
  | { op: "touch"; hold: number }
  | { op: "changes"; prefix: string; since: number; waitMs: number };

/**
 * `refused`: the call was certainly not carried out. `unknown`: it may have been, or may still be later. `gone`: the lease
 * has ended, or the changes since that revision are no longer available. `epoch`: revision of the store.
 */
export type StateReply =
  | { is: "item"; item: Item | null }
  | { is: "items"; items: Item[]; more: boolean; epoch: number }
  | { is: "committed"; epoch: number }
  | { is: "conflict" }
  | { is: "hold"; hold: number }
  | { is: "touched" }
  | { is: "gone" }
  | { is: "changes"; epoch: number; changes: Change[] }
  | { is: "refused"; why: string }
  | { is: "unknown"; why: string };

const Int = v.pipe(v.number(), v.integer(), v.minValue(0));
const ListReply = v.object({
  items: v.array(v.object({ k: v.string(), value: v.unknown(), stamp: Int })),
  truncated: v.optional(v.nullable(v.boolean()), false),
  epoch: Int,
});
const ChangesReply = v.object({
  epoch: Int,
  log: v.optional(
    v.nullable(
      v.array(
        v.object({
          put: v.optional(v.string()),
          delete: v.optional(v.string()),
          value: v.optional(v.unknown()),
          stamp: Int,
        }),
      ),
    ),
    [],
  ),
});
const ItemReply = v.object({ k: v.string(), value: v.unknown(), stamp: Int });
/** The service's error for a put attached to a lease that has ended. Any other 400 is a defect of the request. */
export const STORE_LEASE_ENDED = "no such lease";
const LeaseEndedReply = v.object({ error: v.literal(STORE_LEASE_ENDED) });
const CommitReply = v.object({ epoch: Int });
const Lease = v.object({ tenancy: Int });

export function stateRequest(call: StateCall): {
  method: "GET" | "POST";
  path: string;
  body?: string;
} {
  switch (call.op) {
    case "get":
      return { method: "GET", path: `/keys/${call.key}` };
    case "list":
      return {
        method: "GET",
        path: `/keys?under=${call.prefix}&most=1000${call.after ? `&since=${call.after}` : ""}`,
      };
    case "commit":
      return {
        method: "POST",
        path: "/commit",
        body: JSON.stringify({
          if: call.conditions.map((condition) => ({
            k: condition.key,
            stamp: condition.version,
          })),
          writes: call.writes.map((write) =>
            write.op === "put"
              ? {
                  put: write.key,
                  value: write.value,
                  ...(write.hold === undefined ? {} : { tenancy: write.hold }),
                }
              : { delete: write.key },
          ),
        }),
      };
    case "newHold":
      return {
        method: "POST",
        path: "/holds",
        body: JSON.stringify({ ttlMs: call.ttlMs }),
      };
    case "touch":
      return { method: "POST", path: `/holds/${call.hold}/touch`, body: "{}" };
    case "changes":
      return {
        method: "GET",
        path: `/changes?under=${call.prefix}&since=${call.since}&holdMs=${call.waitMs}`,
      };
  }
}

function read<S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
  toReply: (body: v.InferOutput<S>) => StateReply,
): StateReply {
  const parsed = v.safeParse(schema, raw);
  return parsed.success
    ? toReply(parsed.output)
    : { is: "unknown", why: "malformed answer" };
}

export function stateReply(
  call: StateCall,
  status: number,
  raw: unknown,
): StateReply {
  if (status === 429 || status === 503)
    return { is: "refused", why: String(status) };
  switch (call.op) {
    case "get":
      if (status === 404) return { is: "item", item: null };
      if (status === 200)
        return read(ItemReply, raw, (body) => ({
          is: "item",
          item: { key: body.k, value: body.value, version: body.stamp },
        }));
      break;
    case "list":
      if (status === 200)
        return read(ListReply, raw, (body) => ({
          is: "items",
          epoch: body.epoch,
          more: body.truncated ?? false,
          items: body.items.map((item) => ({
            key: item.k,
            value: item.value,
            version: item.stamp,
          })),
        }));
      break;
    case "commit":
      if (status === 200)
        return read(CommitReply, raw, (body) => ({
          is: "committed",
          epoch: body.epoch,
        }));
      if (status === 409) return { is: "conflict" };
      if (status === 400 && v.is(LeaseEndedReply, raw))
        return { is: "refused", why: STORE_LEASE_ENDED };
      break;
    case "newHold":
      if (status === 200)
        return read(Lease, raw, (body) => ({ is: "hold", hold: body.tenancy }));
      break;
    case "touch":
      if (status === 200) return { is: "touched" };
      if (status === 404) return { is: "gone" };
      break;
    case "changes":
      if (status === 410) return { is: "gone" };
      if (status === 200)
        return read(ChangesReply, raw, (body) => ({
          is: "changes",
          epoch: body.epoch,
          changes: (body.log ?? []).flatMap((e): Change[] => {
            if (e.put !== undefined)
              return [
                { op: "put", key: e.put, value: e.value, version: e.stamp },
              ];
            if (e.delete !== undefined)
              return [{ op: "delete", key: e.delete, version: e.stamp }];
            return [];
          }),
        }));
      break;
  }
  // With any other 4xx status, the service did nothing.
  return status >= 400 && status < 500
    ? { is: "refused", why: String(status) }
    : { is: "unknown", why: String(status) };
}
