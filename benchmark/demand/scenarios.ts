/** Loads of the two customers' kind: neighbours that make work several times as long for half a second, and little room. */
import {type CallRule} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ServerBehaviour} from '../policy/model-server.ts';

/** One kind of call and the service that it goes to. */
export type DemandKind = {
	readonly service: string;
	readonly path: string;
	readonly method: string;
	readonly perSecond: number;
	/** Mean work in a quiet slot. */
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
	readonly rule: CallRule;
	/** What an answer within the objective is worth, and a later one. */
	readonly worth: number;
	readonly lateWorth: number;
};

export type DemandScenario = {
	readonly name: string;
	readonly vms: number;
	readonly dataCentres: number;
	readonly services: ReadonlyArray<{readonly name: string; readonly servers: number}>;
	readonly kinds: readonly DemandKind[];
	readonly behaviour: ServerBehaviour;
	/** Neighbours: part of the time for which work takes `factor` times as long, in pieces of `milliseconds`. */
	readonly neighbours: {readonly share: number; readonly factor: number; readonly milliseconds: Milliseconds};
	/** Load at an instant as a factor. */
	readonly factorAt: (instant: Instant) => number;
	readonly milliseconds: Milliseconds;
};

const read = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 2,
};
const payment = {
	route: 'orders', isIdempotent: false, timeoutMilliseconds: 800, objectiveMilliseconds: 400, attemptLimit: 2, priority: 1,
};

function kinds(reads: number, scale: number): DemandKind[] {
	return [{
		service: 'schedule', path: '/schedule/days', method: 'GET', perSecond: reads, work: 100 * scale, timeout: 1200 * scale, worth: 1, lateWorth: 0.1,
		rule: {...read, timeoutMilliseconds: read.timeoutMilliseconds * scale, objectiveMilliseconds: read.objectiveMilliseconds * scale},
	}, {
		service: 'payments', path: '/payments', method: 'POST', perSecond: reads * 0.4, work: 130 * scale, timeout: 1500 * scale, worth: 2, lateWorth: 0.2,
		rule: {...payment, timeoutMilliseconds: payment.timeoutMilliseconds * scale, objectiveMilliseconds: payment.objectiveMilliseconds * scale},
	}];
}

/** Sixteen VMs, 18 and 10 backend servers of 6 slots that fall silent when they are over-full. */
const small: DemandScenario = {
	name: 'calm',
	vms: 16,
	dataCentres: 3,
	services: [{name: 'schedule', servers: 18}, {name: 'payments', servers: 10}],
	kinds: kinds(200, 1),
	behaviour: {
		queueLimit: 12, isSilentWhenFull: true, kneeAt: 0.8, kneeFactor: 1.7, tellsWorkTime: true,
	},
	neighbours: {share: 0.35, factor: 7, milliseconds: 500},
	factorAt: () => 1,
	milliseconds: 12_000,
};

const large: DemandScenario = {
	...small,
	name: 'large-calm',
	vms: 126,
	dataCentres: 4,
	services: [{name: 'schedule', servers: 177}, {name: 'payments', servers: 93}],
	kinds: kinds(420, 4),
	neighbours: {share: 0.42, factor: 7, milliseconds: 500},
};

/** Backend servers that shed what they cannot queue and are no slower when full, with fewer neighbours. */
const roomy: DemandScenario = {
	...small,
	name: 'roomy-calm',
	services: [{name: 'schedule', servers: 19}, {name: 'payments', servers: 9}],
	kinds: kinds(150, 1.6),
	behaviour: {
		queueLimit: 24, isSilentWhenFull: false, kneeAt: 1, kneeFactor: 1, tellsWorkTime: true,
	},
	neighbours: {share: 0.25, factor: 7, milliseconds: 500},
};

/** Each load at which decisions differ; 340 calls a second fill the quiet slots to their knee. */
export const demandScenarios: readonly DemandScenario[] = [
	small,
	{...small, name: 'full', kinds: kinds(340, 1)},
	{
		...small, name: 'burst', kinds: kinds(300, 1), factorAt: instant => instant > 4000 && instant < 8000 ? 2.2 : 1,
	},
	{...small, name: 'over', kinds: kinds(600, 1)},
	roomy,
	{...roomy, name: 'roomy-full', kinds: kinds(260, 1.6)},
	{
		...roomy, name: 'roomy-burst', kinds: kinds(200, 1.6), factorAt: instant => instant > 4000 && instant < 8000 ? 2 : 1,
	},
	large,
	{...large, name: 'large-full', kinds: kinds(800, 4)},
	{
		...large, name: 'large-over', kinds: kinds(1400, 4), milliseconds: 8000,
	},
];
