/**
 * Groups waiting jobs by what they ask of a place while machines are planned. Thousands of jobs ask for few different
 * things: looking through the places of hundreds of machines for each job took longer than a tick may. Lives for one plan.
 */
import type { JobSpec, Tuning } from "../model.js";
import {
  fitCount,
  requestKeyOf,
  startsWhole,
} from "../scheduling/placement.js";
import { isShort } from "../scheduling/scheduling-round.js";
import type { Place } from "./capacity-offers.js";

/** Jobs of one plan that ask for the same. */
export interface RequestKind {
  /** The last job of this kind found neither a free place nor an offer: the next need not look. */
  foundNothing: boolean;
  /** Places where a task of this kind still fits. */
  placesWithRoom(spec: JobSpec, places: readonly Place[]): readonly Place[];
}

/** Candidate places of one request, and how many of the plan's places were looked at to find them. */
interface Candidates {
  seen: number;
  places: Place[];
}

/** The request kinds met while one plan is made. The list of places may only grow, and their free resources only shrink. */
export class RequestKinds {
  private readonly kinds = new Map<string, RequestKind>();
  private readonly candidates = new Map<string, Candidates>();

  constructor(
    private readonly tuning: Tuning,
    private readonly serves: (spec: JobSpec, place: Place) => boolean,
  ) {}

  /**
   * The kind of a job that asks for `taskCount` places. `activeCount`: its tasks that run now, which may bind the rest to
   * their zone.
   */
  kindOf(spec: JobSpec, taskCount: number, activeCount: number): RequestKind {
    const short = isShort(spec, this.tuning);
    const placeKey = `${requestKeyOf(spec)}/${short}`;
    const shapeKey = shapeKeyOf(spec, taskCount, activeCount);
    // What jobs with a deadline ask for depends on the work that is due: their kind is never marked as `foundNothing`.
    const key = `${placeKey}/${spec.deadlineS === null}/${shapeKey}`;
    let kind = this.kinds.get(key);
    if (!kind) {
      kind = {
        foundNothing: false,
        placesWithRoom: (askingSpec, places) =>
          this.placesWithRoom(askingSpec, short, placeKey, places),
      };
      this.kinds.set(key, kind);
    }
    return kind;
  }

  private placesWithRoom(
    spec: JobSpec,
    short: boolean,
    placeKey: string,
    places: readonly Place[],
  ): readonly Place[] {
    let candidates = this.candidates.get(placeKey);
    if (!candidates) {
      candidates = { seen: 0, places: [] };
      this.candidates.set(placeKey, candidates);
    }
    const fitting = candidates.places.filter(
      (place) => fitCount(spec, place.free) > 0,
    );
    for (const place of places.slice(candidates.seen))
      if (
        (short || !place.isReserved) &&
        this.serves(spec, place) &&
        fitCount(spec, place.free) > 0
      )
        fitting.push(place);
    candidates.places = fitting;
    candidates.seen = places.length;
    return fitting;
  }
}

/** What the zones of a job's tasks depend on, for jobs whose tasks can't be placed one by one; empty for others. */
function shapeKeyOf(
  spec: JobSpec,
  taskCount: number,
  activeCount: number,
): string {
  const boundBy = activeCount > 0 ? spec.id : "";
  if (spec.spread) return `spread/${spec.tasks}/${taskCount}/${boundBy}`;
  if (startsWhole(spec))
    return `${spec.kind}/${spec.samePlace}/${taskCount}/${boundBy}`;
  return "";
}
