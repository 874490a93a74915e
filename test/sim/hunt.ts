import { night, pipelines, troubles, users } from "./days.js";
import {
  draw,
  drawMore,
  gap,
  type MetMore,
  noneMet,
  play,
  playMore,
  shrink,
} from "./meetings.js";
import { World } from "./world.js";

// Looks for seeds that break a rule: node target/test-build/test/sim/hunt.js KIND FROM TO, KIND: upgrade (days that begin with one),
// nights, gap (the state service refuses the leader, then everybody), meetings (two to four troubles at once) or more (the same of all that the
// operators name, with tight limits on every third day). Of meetings it prints the
// fewest troubles that still break the rule, and at the end how often each really occurred and on how many days.
const kind = process.argv[2];
const [from, to] = process.argv.slice(3).map(Number);

function upgrade(seed: number): World {
  const w = new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, 150_000);
  w.rollout(w.rng.real(10_000, 30_000), w.rng.real(3_000, 12_000));
  w.at(w.rng.real(75_000, 110_000), () => (w.limitsFell = true));
  pipelines(w, 75_000, 170_000);
  troubles(w, 190_000);
  w.at(275_000, () => w.checker.remembers(200_000));
  w.run(330_000);
  return w;
}

const met = noneMet();
const days = noneMet();
let longestMs = 0;
let confirmed = 0;

function played(seed: number): World {
  if (kind === "nights") return night(seed);
  if (kind === "upgrade") return upgrade(seed);
  const p =
    kind === "gap"
      ? gap(seed)
      : kind === "more"
        ? playMore(seed, drawMore(seed))
        : play(seed, draw(seed));
  for (const k of Object.keys(met) as (keyof MetMore)[]) {
    met[k] += p.met[k];
    if (p.met[k] > 0) days[k]++;
  }
  return p.world;
}

for (let seed = from!; seed < to!; seed++) {
  const w = played(seed);
  const open = w.checker.unfinished();
  longestMs = Math.max(longestMs, w.checker.longestAfterMs);
  confirmed += w.checker.cancelledOn;
  // Meetings end before what was submitted last has had its time.
  const rests =
    kind === "nights" || kind === "upgrade" ? open.length > 2 : false;
  if (w.checker.broken.length > 0 || rests)
    console.log(
      seed,
      w.checker.broken,
      "open",
      open.length,
      open.slice(0, 4),
      "starts",
      w.starts,
    );
  if (w.checker.broken.length > 0 && kind === "meetings")
    console.log(
      seed,
      "fewest troubles:",
      JSON.stringify(shrink(seed, draw(seed))),
    );
  if (w.checker.broken.length > 0 && kind === "more")
    console.log(
      seed,
      "fewest troubles:",
      JSON.stringify(shrink(seed, drawMore(seed), playMore)),
    );
}
console.log(
  `${to! - from!} days of ${kind}; ${confirmed} tasks on machines when their cancellation was confirmed, the longest for ${longestMs / 1000} s`,
);
if (kind === "gap" || kind === "meetings" || kind === "more")
  console.log("occurred", met, "on days", days);
