/**
 * Priorities and fair sharing under overload, in virtual time: the engines of several VMs share backend servers with two
 * slots and eight queue places that answer 300 calls per second. The bounds are those of docs/design/heavy-load.md.
 */
import {expect} from 'earl';
import {DemandRun} from '../../../../benchmark/demand/demand-run.ts';
import {type DemandKind, type DemandScenario, demandScenarios} from '../../../../benchmark/demand/scenarios.ts';

const capacity = 300;
const from = 2000;
const until = 7000;

/** Requirements of the page. */
const urgentInTime = 0.95;
const capacityInTime = 0.9;
const floorFraction = 1 / 3;

/** Calls of 100 ms work with an objective of 400 ms. */
function kind(caller: string, callsPerSecond: number, priority: number | undefined, changes: Partial<DemandKind> = {}): DemandKind {
	return {
		service: 'schedule', path: '/schedule/days', method: 'GET', caller, callsPerSecond, work: 100, timeout: 1200, value: 1, lateValue: 0,
		...(priority === undefined ? {} : {priority}),
		rule: {
			route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 400, attemptLimit: 2, priority: 5,
		},
		...changes,
	};
}

const base: DemandScenario = {
	...demandScenarios[0]!,
	vms: 16,
	dataCentres: 1,
	slots: 2,
	services: [{name: 'schedule', servers: 15}],
	behaviour: {
		queueLimit: 8, isSilentWhenFull: true, kneeSlotFraction: 1, kneeSlowdown: 1, reportsWorkTime: true,
	},
	neighbours: {share: 0.0001, slowdown: 1, milliseconds: 500},
	summaries: {delay: 5, reach: () => true},
	milliseconds: until,
};

const {summaries: _, ...ownFigures} = base;

const urgentAndOthers = [kind('urgent', 90, 0), kind('other', 390, 1)];
const oneLarge = [...Array.from({length: 9}, (_, index) => kind(`small-${index}`, 16, 1)), kind('large', 350, 1)];

type Outcome = {readonly callers: number; readonly others: number; readonly total: number};

/** In time: fractions of the calls of the chosen callers and of the others, and calls of all as a fraction of the capacity. */
function run(scenario: DemandScenario, isChosen: (caller: string) => boolean, start = from): Outcome {
	const simulation = new DemandRun(scenario, {}, 1);
	simulation.run();
	const callers = simulation.outcomes(({caller}) => isChosen(caller!), start, until);
	const others = simulation.outcomes(({caller}) => !isChosen(caller!), start, until);
	return {
		callers: callers.inTime,
		others: others.inTime,
		total: ((callers.inTime * callers.sent) + (others.inTime * others.sent)) * 1000 / (until - start) / capacity,
	};
}

function expectBounds({callers, others, total}: Outcome, overall: number): void {
	const figures = [['urgent', callers, urgentInTime], ['total', total, capacityInTime], ['others', others, floorFraction * overall]] as const;
	expect(figures.filter(([, value, bound]) => value < bound).map(([name, value]) => `${name} ${value.toFixed(3)}`)).toEqual([]);
}

const isUrgent = (caller: string) => caller === 'urgent';
const isSmall = (caller: string) => caller.startsWith('small');

describe('priorities at 1.6 times the capacity, 90 urgent and 390 other calls per second', () => {
	const overall = capacity / 480;

	// Guards urgent calls against being refused like all others, and the capacity against being left unused.
	it('serve the urgent calls with 16 VMs, merged figures and silent backend servers', () => {
		expectBounds(run({...base, kinds: urgentAndOthers}, isUrgent), overall);
	});

	it('serve the urgent calls with 16 VMs, merged figures and backend servers that shed calls', () => {
		expectBounds(run({...base, kinds: urgentAndOthers, behaviour: {...base.behaviour, isSilentWhenFull: false}}, isUrgent), overall);
	});

	it('serve the urgent calls with 16 VMs that have only their own figures', () => {
		expectBounds(run({...ownFigures, kinds: urgentAndOthers}, isUrgent), overall);
	});

	it('serve the urgent calls with 130 VMs and merged figures', () => {
		expectBounds(run({...base, vms: 130, kinds: urgentAndOthers}, isUrgent), overall);
	});

	// Guards the capacity that urgent calls leave free against VMs that see none of the others.
	it('serve the urgent calls if half of the VMs see only those, with merged figures', () => {
		const kinds = [kind('urgent', 90, 0), kind('other', 390, 1, {arrivesAt: vm => vm % 2 === 0})];
		expectBounds(run({...base, kinds}, isUrgent), overall);
	});

	// Guards an organisation's priority against that of the route, which is the same for all.
	it('go by the organisation before the route', () => {
		const rule = {...urgentAndOthers[0]!.rule, priority: 9};
		expectBounds(run({...base, kinds: [kind('urgent', 90, 0, {rule}), kind('other', 390, undefined)]}, isUrgent), overall);
	});

	// Guards against figures that no longer apply: two VMs get none after 3 s.
	it('hold with two VMs whose summary is outdated', () => {
		const summaries = {delay: 5, reach: (vm: number, at: number) => vm > 1 || at < 3000};
		expectBounds(run({...base, summaries, kinds: urgentAndOthers}, isUrgent), overall);
	});

	it('hold from the second after half of the VMs were killed', () => {
		const actions: DemandScenario['actions'] = [{
			at: 3000, act(control) {
				control.killVms(vm => vm % 2 === 0);
			},
		}];
		expectBounds(run({...base, actions, kinds: urgentAndOthers}, isUrgent, 4000), overall);
	});

	it('hold from the second after a data centre was evacuated that leaves capacity for 300 calls per second', () => {
		const actions: DemandScenario['actions'] = [{
			at: 3000, act(control) {
				control.evacuate('hall-1');
			},
		}];
		const services = [{name: 'schedule', servers: 30}];
		expectBounds(run({
			...base, dataCentres: 2, services, actions, kinds: urgentAndOthers,
		}, isUrgent, 4000), overall);
	});

	it('follow a version that exchanges the priorities, from the second after it', () => {
		const actions: DemandScenario['actions'] = [{
			at: 3000, act(control) {
				control.setPriority('other', 0);
				control.setPriority('urgent', 1);
			},
		}];
		const kinds = [kind('other', 90, 1), kind('urgent', 390, 0)];
		expectBounds(run({...base, actions, kinds}, caller => caller === 'other', 4000), overall);
	});

	it('hold from 2 s after all backend servers came back cold, five times slower for 500 ms', () => {
		const actions: DemandScenario['actions'] = [{
			at: 3000, act(control) {
				control.restartServers(0.2, 500);
			},
		}];
		expectBounds(run({...base, actions, kinds: urgentAndOthers}, isUrgent, 5000), overall);
	});
});

describe('nine callers of 16 calls per second beside one of 350, with capacity for 300', () => {
	const overall = capacity / 494;

	// Guards small organisations against one at twenty times its usual rate.
	it('are served with 16 VMs and merged figures', () => {
		expectBounds(run({...base, kinds: oneLarge}, isSmall), overall);
	});

	it('are served with 16 VMs that have only their own figures', () => {
		expectBounds(run({...ownFigures, kinds: oneLarge}, isSmall), overall);
	});

	it('are served with 130 VMs and merged figures', () => {
		expectBounds(run({...base, vms: 130, kinds: oneLarge}, isSmall), overall);
	});
});

describe('one priority and callers of equal size', () => {
	// Guards services without priorities against refusals that the queue and the placement would not make.
	it('are served as without sharing at 1.6 times the capacity', () => {
		const kinds = Array.from({length: 10}, (_, index) => kind(`small-${index}`, 48, 1));
		const single = run({...base, kinds: [kind('all', 480, 1)]}, () => true).callers;
		expect(run({...base, kinds}, isSmall).callers).toBeGreaterThanOrEqual(0.95 * single);
	});
});
