/** Bounds the number of metric series by organisation: the largest have one of their own, all others share one. */

/** Organisations with a series of their own. */
const maxSeries = 20;

/** Name of the series for all other organisations. */
const othersName = 'others';

/** The organisations with most calls, by the space-saving algorithm (Metwally et al., 2005) with four times as many counters as series. */
export class OrganisationSeries {
	private readonly _counts = new Map<string, number>();
	private readonly _named = new Set<string>();

	/** Counts a call and returns the name for its series. Names are never withdrawn, since counters must not fall. */
	nameFor(organisation: string): string {
		const count = this._counts.get(organisation);
		if (count === undefined && this._counts.size >= 4 * maxSeries) {
			const [smallest] = [...this._counts].toSorted(([, one], [, other]) => one - other);
			this._counts.delete(smallest![0]);
			this._counts.set(organisation, smallest![1] + 1);
		} else {
			this._counts.set(organisation, (count ?? 0) + 1);
		}

		if (this._named.size < maxSeries && this._isLarge(organisation)) {
			this._named.add(organisation);
		}

		return this._named.has(organisation) ? organisation : othersName;
	}

	private _isLarge(organisation: string): boolean {
		const own = this._counts.get(organisation)!;
		let larger = 0;
		for (const count of this._counts.values()) {
			larger += count > own ? 1 : 0;
		}

		return larger < maxSeries;
	}
}
