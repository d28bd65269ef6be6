/** Types of the fault matrix. */

/** Steps of a call, as a relay between a VM and a backend server detects them. */
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
	/** `--only` selects rows whose names contain its text. */
	readonly name: string;
} & (
	| {readonly subject: 'call'; readonly kind: 'read' | 'order' | 'download'; readonly step: CallStep; readonly faults: readonly FaultName[]}
	| {readonly subject: 'change'; readonly step: ChangeStep; readonly faults: readonly FaultName[]}
	| {readonly subject: 'stop'; readonly party: 'backend server' | 'VM'; readonly step: CallStep}
	| {readonly subject: 'two operators'}
);

/** Result of a row. `not run`: the step was not reached, so no fault was injected. */
export type RowResult = {
	readonly name: string;
	readonly result: 'pass' | 'fail' | 'not run';
	readonly milliseconds: number;
	/** Answers to callers or operators, and violations. */
	readonly notes: readonly string[];
};
