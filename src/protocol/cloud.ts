import * as v from "valibot";
import type { ListedMachine, MachineType } from "../coordination/model.js";

/** The cloud's interface. */

const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const amount = v.optional(
  v.nullable(v.pipe(v.number(), v.finite(), v.minValue(0))),
  0,
);

const Catalog = v.object({
  hulls: v.array(
    v.object({
      name: text,
      cores: amount,
      accelerators: amount,
      memoryGb: amount,
      localGb: amount,
      pullGbPerS: amount,
      price: amount,
      marketPrice: amount,
      startupS: amount,
      yards: v.array(text),
    }),
  ),
});
const Rented = v.object({ berths: v.array(text) });
const Listed = v.object({
  berths: v.array(
    v.object({
      id: text,
      address: v.optional(v.nullable(v.string()), ""),
      hull: text,
      yard: text,
      loaners: v.optional(v.nullable(v.boolean()), false),
      status: v.picklist(["starting", "running", "failed"]),
      ageS: amount,
    }),
  ),
  truncated: v.optional(v.nullable(v.boolean()), false),
});

export function parseCatalog(raw: unknown): MachineType[] | null {
  const got = v.safeParse(Catalog, raw);
  if (!got.success) return null;
  return got.output.hulls.map((h) => ({
    name: h.name,
    cpus: h.cores ?? 0,
    gpus: h.accelerators ?? 0,
    memGb: h.memoryGb ?? 0,
    cacheGb: h.localGb ?? 0,
    fetchGbPerS: h.pullGbPerS || 1,
    price: h.price ?? 0,
    spotPrice: h.marketPrice || (h.price ?? 0),
    bootS: h.startupS ?? 0,
    zones: h.yards,
  }));
}

export function parseRented(raw: unknown): string[] | null {
  const got = v.safeParse(Rented, raw);
  return got.success ? got.output.berths : null;
}

export function parseList(
  raw: unknown,
): { machines: ListedMachine[]; more: boolean } | null {
  const got = v.safeParse(Listed, raw);
  if (!got.success) return null;
  return {
    more: got.output.truncated ?? false,
    machines: got.output.berths.map((m) => ({
      id: m.id,
      address: m.address ?? "",
      type: m.hull,
      zone: m.yard,
      spot: m.loaners ?? false,
      state: m.status,
      ageS: m.ageS ?? 0,
    })),
  };
}

export const rentBody = (
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): object => ({
  charter: request,
  hull: type,
  yard: zone,
  loaners: spot,
  number: count,
});
export const returnBody = (machines: readonly string[]): object => ({
  berths: machines,
});
export const listPath = (after: string): string =>
  `/hosts?most=500${after ? `&since=${encodeURIComponent(after)}` : ""}`;
