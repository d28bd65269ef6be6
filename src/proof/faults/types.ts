/** Rows of the fault matrix. */

/** Steps of a call's life, as a relay between a VM and a backend server sees them. */
export const callSteps = ['connecting', 'head sent', 'half the body sent', 'waiting', 'half the answer', 'last byte'] as const;
export type CallStep = typeof callSteps[number];

/** Steps of a configuration change. */
export const changeSteps = ['before the write', 'during the write', 'after the write', 'before the answer'] as const;
export type ChangeStep = typeof changeSteps[number];

export const faultNames = [
	'cut', 'cut everywhere', 'silent', 'slow', 'kill backend server', 'freeze backend server', 'kill VM', 'freeze VM', 'store down', 'store answer lost',
] as const;
export type FaultName = typeof faultNames[number];

export type Row = {
	/** What `--only` is compared with. */
	readonly name: string;
} & (
	| {readonly subject: 'call'; readonly kind: 'read' | 'order' | 'download'; readonly step: CallStep; readonly faults: readonly FaultName[]}
	| {readonly subject: 'change'; readonly step: ChangeStep; readonly faults: readonly FaultName[]}
	| {readonly subject: 'stop'; readonly party: 'backend server' | 'VM'; readonly step: CallStep}
	| {readonly subject: 'two operators'}
);

/** What came of a row. `not run` = the step was never met. */
export type RowResult = {
	readonly name: string;
	readonly result: 'pass' | 'fail' | 'not run';
	readonly milliseconds: number;
	/** What callers or operators were told, and broken promises. */
	readonly notes: readonly string[];
};
