/** Rows of the fault matrix. */
import {
	callSteps, changeSteps, type FaultName, type Row,
} from './types.ts';

const singleCallFaults: readonly FaultName[] = [
	'cut', 'silent', 'slow', 'kill backend server', 'freeze backend server', 'kill VM', 'freeze VM', 'store down',
];

/** Pairs of faults that are injected at the same time. */
const pairsOfCallFaults: ReadonlyArray<readonly FaultName[]> = [
	['cut everywhere', 'store down'], ['kill backend server', 'store down'], ['freeze VM', 'kill backend server'],
];

const callFaults = [...singleCallFaults.map(fault => [fault]), ...pairsOfCallFaults];

const callRows: readonly Row[] = (['read', 'order'] as const).flatMap(kind => callSteps
	// A read has no request body.
	.filter(step => kind === 'order' || step !== 'half the body sent')
	.flatMap(step => callFaults.map((faults): Row => ({
		name: `${kind}, ${step}, ${faults.join(' and ')}`, subject: 'call', kind, step, faults,
	}))));

const downloadRows: readonly Row[] = singleCallFaults.map(fault => ({
	name: `download, half the answer, ${fault}`, subject: 'call', kind: 'download', step: 'half the answer', faults: [fault],
}));

const changeFaults: ReadonlyArray<readonly FaultName[]> = [
	['store down'], ['store answer lost'], ['freeze VM'], ['kill VM'], ['store answer lost', 'freeze VM'],
];

const changeRows: readonly Row[] = changeSteps.flatMap(step => changeFaults.map((faults): Row => ({
	name: `change, ${step}, ${faults.join(' and ')}`, subject: 'change', step, faults,
})));

const stopRows: readonly Row[] = (['backend server', 'VM'] as const).flatMap(party => (['waiting', 'half the answer', 'last byte'] as const).map((step): Row => ({
	name: `stop of a ${party}, ${step}`, subject: 'stop', party, step,
})));

export const rows: readonly Row[] = [
	...callRows, ...downloadRows, ...changeRows, {name: 'two operators at once', subject: 'two operators'}, ...stopRows,
];

/** Names of the rows that run in the test suite. */
export const quickRows: readonly string[] = [
	'order, head sent, cut',
	'order, half the body sent, kill backend server',
	'read, half the answer, kill backend server',
	'read, connecting, cut',
	'change, after the write, store answer lost',
	'two operators at once',
];
