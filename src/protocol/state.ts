import * as v from "valibot";

/** The state service's interface. */

export interface Condition {
  key: string;
  /** Revision of the key's last change; 0: must not exist. */
  version: number;
}
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

export type StateCall =
  | { op: "get"; key: string }
  | { op: "list"; prefix: string; after: string }
  | { op: "commit"; conditions: Condition[]; writes: Write[] }
  | { op: "newHold"; ttlMs: number }
  | { op: "touch"; hold: number }
  | { op: "changes"; prefix: string; since: number; waitMs: number };

/** `refused`: certainly not carried out. `unknown`: it may have been, or may yet be. */
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
const Items = v.object({
  items: v.array(v.object({ k: v.string(), value: v.unknown(), stamp: Int })),
  truncated: v.optional(v.nullable(v.boolean()), false),
  epoch: Int,
});
const Log = v.object({
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
const Got = v.object({ k: v.string(), value: v.unknown(), stamp: Int });
/** Why a put attached to a hold that has ended is refused; every other 400 is a mistake in the request. */
export const STORE_LEASE_ENDED = "no such lease";
const Refused = v.object({ error: v.literal(STORE_LEASE_ENDED) });
const Epoch = v.object({ epoch: Int });
const Hold = v.object({ tenancy: Int });

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
          if: call.conditions.map((c) => ({ k: c.key, stamp: c.version })),
          writes: call.writes.map((w) =>
            w.op === "put"
              ? {
                  put: w.key,
                  value: w.value,
                  ...(w.hold === undefined ? {} : { tenancy: w.hold }),
                }
              : { delete: w.key },
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

function ok<S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
  then: (o: v.InferOutput<S>) => StateReply,
): StateReply {
  const got = v.safeParse(schema, raw);
  return got.success
    ? then(got.output)
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
        return ok(Got, raw, (o) => ({
          is: "item",
          item: { key: o.k, value: o.value, version: o.stamp },
        }));
      break;
    case "list":
      if (status === 200)
        return ok(Items, raw, (o) => ({
          is: "items",
          epoch: o.epoch,
          more: o.truncated ?? false,
          items: o.items.map((i) => ({
            key: i.k,
            value: i.value,
            version: i.stamp,
          })),
        }));
      break;
    case "commit":
      if (status === 200)
        return ok(Epoch, raw, (o) => ({ is: "committed", epoch: o.epoch }));
      if (status === 409) return { is: "conflict" };
      if (status === 400 && v.is(Refused, raw))
        return { is: "refused", why: STORE_LEASE_ENDED };
      break;
    case "newHold":
      if (status === 200)
        return ok(Hold, raw, (o) => ({ is: "hold", hold: o.tenancy }));
      break;
    case "touch":
      if (status === 200) return { is: "touched" };
      if (status === 404) return { is: "gone" };
      break;
    case "changes":
      if (status === 410) return { is: "gone" };
      if (status === 200)
        return ok(Log, raw, (o) => ({
          is: "changes",
          epoch: o.epoch,
          changes: (o.log ?? []).flatMap((e): Change[] => {
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
  // A 400 and whatever else is no success: the service did nothing.
  return status >= 400 && status < 500
    ? { is: "refused", why: String(status) }
    : { is: "unknown", why: String(status) };
}
