import * as v from "valibot";
import type { ListedMachine, MachineType } from "../coordination/model.js";

/** Bodies and paths of the cloud platform's interface. Its names are mapped to those of the core here. */

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
const RentReply = v.object({ berths: v.array(text) });
const MachineListPage = v.object({
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
  const parsed = v.safeParse(Catalog, raw);
  if (!parsed.success) return null;
  return parsed.output.hulls.map((type) => ({
    name: type.name,
    cpus: type.cores ?? 0,
    gpus: type.accelerators ?? 0,
    memGb: type.memoryGb ?? 0,
    cacheGb: type.localGb ?? 0,
    fetchGbPerS: type.pullGbPerS || 1,
    price: type.price ?? 0,
    spotPrice: type.marketPrice || (type.price ?? 0),
    bootS: type.startupS ?? 0,
    zones: type.yards,
  }));
}

export function parseRented(raw: unknown): string[] | null {
  const parsed = v.safeParse(RentReply, raw);
  return parsed.success ? parsed.output.berths : null;
}

export function parseList(
  raw: unknown,
): { machines: ListedMachine[]; more: boolean } | null {
  const parsed = v.safeParse(MachineListPage, raw);
  if (!parsed.success) return null;
  return {
    more: parsed.output.truncated ?? false,
    machines: parsed.output.berths.map((machine) => ({
      id: machine.id,
      address: machine.address ?? "",
      type: machine.hull,
      zone: machine.yard,
      spot: machine.loaners ?? false,
      state: machine.status,
      ageS: machine.ageS ?? 0,
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
