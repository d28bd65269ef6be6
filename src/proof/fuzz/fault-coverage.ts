/** Which faults a run has met, and which pairs of them at one time. */

/** Faults of the brief that the fuzzed worlds bring about. */
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
	private readonly _met = new Map<FaultName, number>();
	private readonly _pairs = new Set<string>();
	private _commands = 0;
	private _histories = 0;

	/** Takes the faults that the fuzzed world can bring about. */
	constructor(possible: readonly FaultName[]) {
		this._possible = possible;
	}

	/** A fault begins while the others last. */
	meet(fault: FaultName, lasting: Iterable<FaultName>): void {
		this._met.set(fault, (this._met.get(fault) ?? 0) + 1);
		for (const other of lasting) {
			if (other !== fault) {
				this._pairs.add(pairName(fault, other));
			}
		}
	}

	countCommand(): void {
		this._commands++;
	}

	countHistory(): void {
		this._histories++;
	}

	/** Faults that no command has brought about. */
	unmet(): readonly FaultName[] {
		return this._possible.filter(fault => !this._met.has(fault));
	}

	/** Lines for people: how much was run, and what never was. */
	report(): readonly string[] {
		const pairs = this._possible.flatMap((one, position) => this._possible.slice(position + 1).map(other => pairName(one, other)));
		const unmet = this.unmet();
		const unmetPairs = pairs.filter(pair => !this._pairs.has(pair));
		return [
			`${this._histories} histories, ${this._commands} commands`,
			`faults met: ${this._possible.length - unmet.length} of ${this._possible.length} (${Array.from(this._met, ([fault, count]) => `${fault} ${count}`).join(', ')})`,
			`faults never met: ${unmet.join(', ') || 'none'}`,
			`pairs of faults met: ${pairs.length - unmetPairs.length} of ${pairs.length}`,
			`pairs never met: ${unmetPairs.join('; ') || 'none'}`,
		];
	}
}
