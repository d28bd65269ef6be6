/** Loads and faults under which the policies are compared. */
import {type Instant} from '../../src/common/model/units.ts';
import {
	type CallKind, type Scenario, type ScenarioControl,
} from './types.ts';

/** A read with a short timeout: a late answer is useless. */
const read: CallKind = {
	path: '/spectrum/spans/17', method: 'GET', share: 1, work: 10, timeout: 250,
};

/** A write: never hedged, and retried only if it provably did not run. */
const order: CallKind = {...read, path: '/orders', method: 'POST'};

const plain: Scenario = {
	name: 'plain',
	services: [{name: 'spectrum', servers: 20, load: 0.7}],
	kinds: [read],
	loadFactorAt: () => 1,
	heavyCallerFraction: 0,
	hasReportsOnAnswers: true,
	reportLag: 0,
	isOverloaded: false,
	scheduleFaults() {
		// No faults.
	},
	milliseconds: 2400,
};

function constantLoad(load: number): Scenario {
	return {
		...plain,
		name: `load-${load}`,
		services: [{name: 'spectrum', servers: 20, load}],
		isOverloaded: load > 1,
	};
}

/** Each backend server alternates independently between full speed and slow phases of random duration with the given means. */
function alternateSpeeds(control: ScenarioControl, phases: {readonly full: number; readonly slow: number; readonly speed: number}): void {
	for (const server of control.servers) {
		const change = (at: Instant, isSlow: boolean): void => {
			control.at(at, () => {
				server.setSpeed(isSlow ? phases.speed : 1);
				const duration = -Math.log(1 - control.random.next()) * (isSlow ? phases.slow : phases.full);
				if (at < plain.milliseconds) {
					change(at + duration, !isSlow);
				}
			});
		};

		change(-Math.log(1 - control.random.next()) * phases.full, true);
	}
}

/** Few calls, so that a VM learns little from its own calls; no reports on answers; bursts of foreign calls that take half a second. */
function neighbours(name: string, kind: CallKind): Scenario {
	return {
		...plain,
		name,
		services: [{name: 'spectrum', servers: 20, load: 0.05}],
		kinds: [kind],
		hasReportsOnAnswers: false,
		scheduleFaults(control) {
			for (const server of control.servers) {
				for (let at = 0; at < 15_000; at += -Math.log(1 - control.random.next()) * 10_000) {
					control.at(at, () => {
						server.addForeignCalls(150, 20);
					});
				}
			}
		},
		milliseconds: 15_000,
	};
}

/** From 700 ms on, one backend server answers every call with 500 at once. */
function failFast(name: string, kind: CallKind): Scenario {
	return {
		...plain,
		name,
		kinds: [kind],
		scheduleFaults(control) {
			control.at(700, () => {
				control.servers[3]!.setFailingFast(true);
			});
		},
		milliseconds: 3600,
	};
}

/** Backend servers crash and restart with cold caches, which take about one second to warm up. */
function coldStart(name: string, kind: CallKind, indices: readonly number[]): Scenario {
	return {
		...plain,
		name,
		kinds: [kind],
		scheduleFaults(control) {
			for (const index of indices) {
				const server = control.servers[index]!;
				control.at(800, () => {
					server.crash();
				});
				control.at(1200, () => {
					server.restart();
					server.setSpeed(0.15);
				});
				for (let step = 1; step <= 17; step++) {
					control.at(1200 + (step * 60), () => {
						server.setSpeed(0.15 + (step * 0.05));
					});
				}
			}
		},
	};
}

/** All scenarios, in the order in which they run. */
export const scenarios: readonly Scenario[] = [
	constantLoad(0.7),
	constantLoad(0.9),
	constantLoad(1.2),
	constantLoad(2),
	{
		...plain,
		name: 'bursts',
		services: [{name: 'spectrum', servers: 20, load: 0.5}],
		// Twice a second, a burst of 60 ms at 1.5 times the capacity.
		loadFactorAt: instant => instant % 500 < 60 ? 3 : 1,
	},
	{
		...plain,
		name: 'skewed-callers',
		services: [{name: 'spectrum', servers: 20, load: 0.8}],
		heavyCallerFraction: 0.4,
	},
	{
		...plain,
		name: 'greedy-caller',
		services: [{name: 'spectrum', servers: 20, load: 1.3}],
		heavyCallerFraction: 0.6,
		isOverloaded: true,
	},
	{
		...plain,
		name: 'priorities',
		services: [
			{
				name: 'ordering', servers: 20, load: 0.5, priority: 8,
			},
			{
				name: 'spectrum', servers: 20, load: 1, priority: 3,
			},
		],
		sharesServers: true,
		isOverloaded: true,
	},
	{
		...plain,
		name: 'skewed-services',
		services: [
			{name: 'spectrum', servers: 20, load: 0.3},
			{name: 'ordering', servers: 10, load: 0.9},
			{name: 'documents', servers: 6, load: 0.5},
		],
	},
	{
		...plain,
		name: 'slow',
		scheduleFaults(control) {
			control.at(700, () => {
				control.servers[3]!.setSpeed(0.1);
			});
		},
	},
	failFast('fail-fast', read),
	failFast('fail-fast-orders', order),
	{
		...plain,
		name: 'swinging',
		services: [{name: 'spectrum', servers: 20, load: 0.5}],
		scheduleFaults(control) {
			alternateSpeeds(control, {full: 400, slow: 60, speed: 0.1});
		},
	},
	{
		...plain,
		name: 'swinging-silent',
		services: [{name: 'spectrum', servers: 20, load: 0.5}],
		hasReportsOnAnswers: false,
		scheduleFaults(control) {
			alternateSpeeds(control, {full: 1500, slow: 400, speed: 0.25});
		},
	},
	neighbours('neighbours', read),
	neighbours('neighbours-orders', order),
	{
		...plain,
		name: 'long-and-short',
		kinds: [
			{...read, share: 0.98},
			{
				path: '/reports/88/file', method: 'GET', share: 0.02, work: 400, timeout: 10_000,
			},
		],
	},
	{
		...plain,
		name: 'rolling',
		scheduleFaults(control) {
			for (let index = 0; index < 16; index++) {
				control.at(700 + (index * 130), () => {
					control.replaceVm(index);
				});
			}
		},
	},
	coldStart('cold-start', read, [5]),
	coldStart('cold-start-orders', order, [2, 5, 8, 9, 13]),
	{
		...plain,
		name: 'lagging',
		reportLag: 300,
		scheduleFaults(control) {
			alternateSpeeds(control, {full: 1500, slow: 300, speed: 0.25});
		},
		services: [{name: 'spectrum', servers: 20, load: 0.6}],
	},
	{
		...plain,
		name: 'misleading',
		scheduleFaults(control) {
			for (const index of [4, 11]) {
				control.servers[index]!.setReportOverride(actual => ({...actual, inFlight: 0, queued: 0}));
				control.at(700, () => {
					control.servers[index]!.setSpeed(0.2);
				});
			}
		},
	},
];
