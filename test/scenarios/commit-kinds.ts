import type { Write } from "../../src/protocol/state.js";
import { parseKey, readJob, readFinal } from "../../src/storage/records.js";
import type { CommitCall, World } from "../simulation/world.js";

/** Kinds of commits, named as in the table of commits in docs/design/meetings.md. */
export const COMMIT_KINDS = [
  "accept",
  "withdraw or end of a line",
  "end of a job",
  "finished ranges",
  "release",
  "move",
  "parts of limits",
  "claim for a guarantee",
  "roster",
  "room",
  "ready",
  "attempt",
  "belief",
  "group taken",
  "group given up",
  "claim of a group",
  "sweep",
] as const;
export type CommitKind = (typeof COMMIT_KINDS)[number];

/** The kinds of a transaction, derived from its writes and conditions. */
export function kindsOf(world: World, commit: CommitCall): Set<CommitKind> {
  const kinds = new Set<CommitKind>();
  const endsJob = commit.writes.some(
    (w) => w.op === "put" && parseKey(w.key)?.kind === "past",
  );
  for (const write of commit.writes) {
    const kind =
      write.op === "put"
        ? kindOfPut(world, commit, write)
        : kindOfDelete(write, endsJob);
    if (kind) kinds.add(kind);
  }
  return kinds;
}

function kindOfPut(
  world: World,
  commit: CommitCall,
  write: Extract<Write, { op: "put" }>,
): CommitKind | null {
  switch (parseKey(write.key)?.kind) {
    case "job":
      return kindOfJobWrite(world, commit, write.key);
    case "past":
      return readFinal(write.value)?.status === "done"
        ? "end of a job"
        : "withdraw or end of a line";
    case "fin":
      return "finished ranges";
    case "limits":
      return "parts of limits";
    case "reclaim":
      return "claim for a guarantee";
    case "roster":
      return "roster";
    case "room":
      return "room";
    case "ready":
      return "ready";
    case "gang":
      return "attempt";
    case "belief":
      return "belief";
    case "group":
      return "group taken";
    case "claim":
      return "claim of a group";
    default:
      return null;
  }
}

function kindOfJobWrite(
  world: World,
  commit: CommitCall,
  key: string,
): CommitKind {
  const isNew = commit.conditions.some((c) => c.key === key && c.version === 0);
  if (isNew) return "accept";
  const before = readJob(world.state.data.get(key)?.value);
  return before && before.dependsOn.length > 0 ? "release" : "move";
}

function kindOfDelete(write: Write, endsJob: boolean): CommitKind | null {
  const kind = parseKey(write.key)?.kind;
  if (kind === "group") return "group given up";
  return endsJob || kind === "job" ? null : "sweep";
}
