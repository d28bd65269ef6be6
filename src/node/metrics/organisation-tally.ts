/** Counts the calls of each organisation in a bounded number of series. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';

/** Organisations with a series of their own: deployments have up to a hundred, on each of up to hundreds of VMs. */
const maxNamed = 10;

/** Name of the series of all other organisations together. Operators cannot give it to an organisation by accident. */
export const otherOrganisations = '(others)';

const windowMilliseconds: Milliseconds = 60_000;

/** Calls of an organisation that ended in one window. */
export type OrganisationCalls = {readonly organisation: string; readonly good: number; readonly bad: number};

type Counts = {good: number; bad: number};

/** Counts calls in windows of one minute. Memory is bounded by the organisations with calls in one window. */
export class OrganisationTally {
	private _current = new Map<string, Counts>();
	private _largest: readonly OrganisationCalls[] = [];
	private _windowStart: Instant = 0;

	record(organisation: string, isGood: boolean, now: Instant): void {
		this._advance(now);
		const counts = this._current.get(organisation) ?? {good: 0, bad: 0};
		this._current.set(organisation, counts);
		counts[isGood ? 'good' : 'bad']++;
	}

	/** The ten organisations with the most calls in the last complete window, and all others together as the last item. */
	largest(now: Instant): readonly OrganisationCalls[] {
		this._advance(now);
		return this._largest;
	}

	/** Name of the series of an organisation: its own if it is among the ten, else that of all others. */
	seriesOf(organisation: string, now: Instant): string {
		return this.largest(now).some(largest => largest.organisation === organisation) ? organisation : otherOrganisations;
	}

	private _advance(now: Instant): void {
		const windows = Math.floor((now - this._windowStart) / windowMilliseconds);
		if (windows > 0) {
			this._largest = windows === 1 ? largestOf(this._current) : [];
			this._current = new Map();
			this._windowStart += windows * windowMilliseconds;
		}
	}
}

function largestOf(counts: ReadonlyMap<string, Counts>): OrganisationCalls[] {
	const all = [...counts].map(([organisation, {good, bad}]) => ({organisation, good, bad}));
	const sorted = all.toSorted((one, other) => (other.good + other.bad) - (one.good + one.bad));
	const others = {organisation: otherOrganisations, good: 0, bad: 0};
	for (const {good, bad} of sorted.slice(maxNamed)) {
		others.good += good;
		others.bad += bad;
	}

	return sorted.length > maxNamed ? [...sorted.slice(0, maxNamed), others] : sorted;
}
