/** Load scenarios modelled on the two customers: neighbours slow work down several times for half a second, and queues are short. */
import {type CallRule} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ServerBehaviour} from '../policy/model-server.ts';

/** A kind of call to a service. */
export type DemandKind = {
	readonly service: string;
	readonly path: string;
	readonly method: string;
	readonly callsPerSecond: number;
	/** Mean time in a slot while no neighbour is active. */
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
	readonly rule: CallRule;
	/** Value of an answer within the objective, and of a later one. */
	readonly value: number;
	readonly lateValue: number;
	/** Organisation or address; undefined = one caller for all kinds. */
	readonly caller?: string;
	/** Priority of the organisation; undefined = that of the route. */
	readonly priority?: number;
	/** Whether calls of this kind arrive at the VM with this index; undefined = at every VM. */
	readonly arrivesAt?: (vm: number) => boolean;
};

/** Changes that an action may cause during a run. */
export type DemandControl = {
	/** Ends VMs without notice. */
	killVms(isChosen: (vm: number) => boolean): void;
	/** Evacuates a data centre on all VMs. */
	evacuate(dataCentre: string): void;
	/** Sets the priority of the kinds' organisations, as a new version of the configuration does. */
	setPriority(caller: string, priority: number): void;
	/** Replaces the processes of all backend servers; each runs at this speed until it has been warm for the given time. */
	restartServers(speed: number, milliseconds: Milliseconds): void;
};

export type DemandScenario = {
	readonly name: string;
	readonly vms: number;
	readonly dataCentres: number;
	readonly services: ReadonlyArray<{readonly name: string; readonly servers: number}>;
	readonly kinds: readonly DemandKind[];
	/** Slots of each backend server; 6 if undefined. */
	readonly slots?: number;
	readonly behaviour: ServerBehaviour;
	/** Neighbours: during a fraction `share` of the time, in phases of `milliseconds` on average, work takes `slowdown` times as long. */
	readonly neighbours: {readonly share: number; readonly slowdown: number; readonly milliseconds: Milliseconds};
	/** Factor on `callsPerSecond` at an instant; at most 3. */
	readonly loadFactorAt: (instant: Instant) => number;
	readonly milliseconds: Milliseconds;
	/** Delay of the merged figures of demand from reports to all VMs for which the predicate holds; undefined = none are sent. */
	readonly summaries?: {readonly delay: Milliseconds; readonly reach: (vm: number, at: Instant) => boolean};
	readonly actions?: ReadonlyArray<{readonly at: Instant; readonly act: (control: DemandControl) => void}>;
};

const read = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 2,
};
const payment = {
	route: 'orders', isIdempotent: false, timeoutMilliseconds: 800, objectiveMilliseconds: 400, attemptLimit: 2, priority: 1,
};

function makeKinds(reads: number, scale: number): DemandKind[] {
	return [{
		service: 'schedule', path: '/schedule/days', method: 'GET', callsPerSecond: reads, work: 100 * scale, timeout: 1200 * scale, value: 1, lateValue: 0.1,
		rule: {...read, timeoutMilliseconds: read.timeoutMilliseconds * scale, objectiveMilliseconds: read.objectiveMilliseconds * scale},
	}, {
		service: 'payments', path: '/payments', method: 'POST', callsPerSecond: reads * 0.4, work: 130 * scale, timeout: 1500 * scale, value: 2, lateValue: 0.2,
		rule: {...payment, timeoutMilliseconds: payment.timeoutMilliseconds * scale, objectiveMilliseconds: payment.objectiveMilliseconds * scale},
	}];
}

/** 16 VMs, and 18 and 10 backend servers of 6 slots that leave calls beyond their queue limit unanswered. */
const small: DemandScenario = {
	name: 'calm',
	vms: 16,
	dataCentres: 3,
	services: [{name: 'schedule', servers: 18}, {name: 'payments', servers: 10}],
	kinds: makeKinds(200, 1),
	behaviour: {
		queueLimit: 12, isSilentWhenFull: true, kneeSlotFraction: 0.8, kneeSlowdown: 1.7, reportsWorkTime: true,
	},
	neighbours: {share: 0.35, slowdown: 7, milliseconds: 500},
	loadFactorAt: () => 1,
	milliseconds: 12_000,
};

const large: DemandScenario = {
	...small,
	name: 'large-calm',
	vms: 126,
	dataCentres: 4,
	services: [{name: 'schedule', servers: 177}, {name: 'payments', servers: 93}],
	kinds: makeKinds(420, 4),
	neighbours: {share: 0.42, slowdown: 7, milliseconds: 500},
};

/** Backend servers that shed calls beyond their queue limit and are not slower when full; fewer neighbours. */
const roomy: DemandScenario = {
	...small,
	name: 'roomy-calm',
	services: [{name: 'schedule', servers: 19}, {name: 'payments', servers: 9}],
	kinds: makeKinds(150, 1.6),
	behaviour: {
		queueLimit: 24, isSilentWhenFull: false, kneeSlotFraction: 1, kneeSlowdown: 1, reportsWorkTime: true,
	},
	neighbours: {share: 0.25, slowdown: 7, milliseconds: 500},
};

/** Loads at which different decisions matter. At 340 reads per second the slots are used up to the knee while no neighbour is active. */
export const demandScenarios: readonly DemandScenario[] = [
	small,
	{...small, name: 'full', kinds: makeKinds(340, 1)},
	{
		...small, name: 'burst', kinds: makeKinds(300, 1), loadFactorAt: instant => instant > 4000 && instant < 8000 ? 2.2 : 1,
	},
	{...small, name: 'over', kinds: makeKinds(600, 1)},
	roomy,
	{...roomy, name: 'roomy-full', kinds: makeKinds(260, 1.6)},
	{
		...roomy, name: 'roomy-burst', kinds: makeKinds(200, 1.6), loadFactorAt: instant => instant > 4000 && instant < 8000 ? 2 : 1,
	},
	large,
	{...large, name: 'large-full', kinds: makeKinds(800, 4)},
	{
		...large, name: 'large-over', kinds: makeKinds(1400, 4), milliseconds: 8000,
	},
];
