/** Counts the faults that a run has caused, and the pairs of faults that were active at the same time. */

/** Faults that the fuzzed worlds can cause. */
export const faultNames = [
	'backend server killed',
	'backend server frozen',
	'backend server slow',
	'backend server fails fast',
	'backend server sheds',
	'backend server leaves',
	'backend server returns',
	'misleading health',
	'silent connections',
	'killer call',
	'VM killed',
	'VM paused',
	'VM suspended',
	'VM replaced',
	'VM stops as planned',
	'cut',
	'one-way cut',
	'store down',
	'store slow',
	'store answer lost',
	'store write lost',
	'store stale',
	'lagging list',
	'two operators',
] as const;
export type FaultName = typeof faultNames[number];

const pairName = (one: FaultName, other: FaultName): string => [one, other].toSorted().join(' + ');

export class FaultCoverage {
	private readonly _possible: readonly FaultName[];
	private readonly _counts = new Map<FaultName, number>();
	private readonly _coveredPairs = new Set<string>();
	private _commands = 0;
	private _histories = 0;

	/** `possible` lists the faults that the fuzzed world can cause. */
	constructor(possible: readonly FaultName[]) {
		this._possible = possible;
	}

	/** Counts a fault that begins while the `active` faults are present. */
	countFault(fault: FaultName, active: Iterable<FaultName>): void {
		this._counts.set(fault, (this._counts.get(fault) ?? 0) + 1);
		for (const other of active) {
			if (other !== fault) {
				this._coveredPairs.add(pairName(fault, other));
			}
		}
	}

	countCommand(): void {
		this._commands++;
	}

	countHistory(): void {
		this._histories++;
	}

	/** Possible faults that have not occurred in the run. */
	uncovered(): readonly FaultName[] {
		return this._possible.filter(fault => !this._counts.has(fault));
	}

	/** Summary as text lines: numbers of histories and commands, and the covered and uncovered faults and pairs. */
	report(): readonly string[] {
		const pairs = this._possible.flatMap((one, position) => this._possible.slice(position + 1).map(other => pairName(one, other)));
		const uncovered = this.uncovered();
		const uncoveredPairs = pairs.filter(pair => !this._coveredPairs.has(pair));
		return [
			`${this._histories} histories, ${this._commands} commands`,
			`faults covered: ${this._possible.length - uncovered.length} of ${this._possible.length} (${Array.from(this._counts, ([fault, count]) => `${fault} ${count}`).join(', ')})`,
			`faults not covered: ${uncovered.join(', ') || 'none'}`,
			`pairs of faults covered: ${pairs.length - uncoveredPairs.length} of ${pairs.length}`,
			`pairs not covered: ${uncoveredPairs.join('; ') || 'none'}`,
		];
	}
}
