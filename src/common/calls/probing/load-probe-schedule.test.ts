import {expect} from 'earl';
import fc from 'fast-check';
import {backendServerSchema, serviceSchema} from '../../model/resources.ts';
import {seededRandom} from '../../random/random.ts';
import {DefaultCallEngine} from '../call-engine.ts';
import {type CallConfiguration, type FleetShares} from '../types.ts';
import {LoadProbeSchedule} from './load-probe-schedule.ts';

const seed = 20_261_203;
const windowMilliseconds = 1000;
const slots = 6;

type Budget = {readonly callsPerWindow: number; readonly tailWeight: number};

function configurationOf({callsPerWindow, tailWeight}: Budget): CallConfiguration {
	const service = serviceSchema.parse({kind: 'service', name: 'reads', measuring: {callsPerWindow, windowMilliseconds, tailWeight}});
	const server = backendServerSchema.parse({
		kind: 'backend-server', name: 'reads-1', service: 'reads', address: '127.0.0.1', port: 9000, dataCentre: 'north',
	});
	return {
		version: 1, services: new Map([['reads', service]]), backendServers: new Map([['identity-1', server]]), sharingRules: [],
	};
}

/** Send times of one VM that starts before its share is valid and gets ticks at irregular times, also after pauses. */
function measuringTimes(configuration: CallConfiguration, shares: FleetShares, seedOfVm: number, pauses: readonly number[]): number[] {
	const random = seededRandom(seedOfVm);
	const engine = new DefaultCallEngine({random, settings: {dataCentre: 'north'}});
	const startedAt = Math.max(0, shares.loadProbesFrom - 1400);
	engine.handle({type: 'shares', shares}, startedAt);
	engine.handle({type: 'configured', configuration}, startedAt);
	const times: number[] = [];
	let callId = 1;
	for (let now = startedAt, turn = 0; now < shares.loadProbesUntil + 2500; now += pauses[turn++ % pauses.length]!) {
		for (const effect of engine.handle({type: 'tick'}, now)) {
			if (effect.type === 'measure') {
				// It arrives within its time limit or not at all.
				times.push(now + (random.next() * effect.timeoutMilliseconds));
			}
		}

		// A burst of calls must not raise the number of load probes.
		engine.handle({
			type: 'call-arrived', request: {
				callId: callId++, service: 'reads', caller: 'a', method: 'GET', fingerprint: 'f', timeoutMilliseconds: 50, bodyBytes: 0, idempotencyKey: undefined, mayRetry: true,
			},
		}, now);
	}

	return times;
}

function maxInWindow(times: readonly number[]): number {
	const sorted = times.toSorted((a, b) => a - b);
	let max = 0;
	for (let first = 0, last = 0; last < sorted.length; last++) {
		while (sorted[last]! - sorted[first]! > windowMilliseconds) {
			first++;
		}

		max = Math.max(max, last - first + 1);
	}

	return max;
}

/** Mostly short event loop turns, some pauses. */
const turnArbitrary = fc.oneof(
	{weight: 9, arbitrary: fc.integer({min: 1, max: 40})},
	{weight: 1, arbitrary: fc.integer({min: 300, max: 1500})},
);
const pausesArbitrary = fc.array(turnArbitrary, {minLength: 5, maxLength: 30});

describe('the measuring budget', () => {
	it('is kept in every window by the sum of all VMs while they are replaced, paused and in a burst of calls', function () {
		// During a rollout old and new VMs run side by side, some are paused and wake up, and all measure the same backend
		// server while a burst begins. Each holds one of six share slots, and the next holder may start only after a whole
		// window. The backend server must not get more calls than declared in any window.
		this.timeout(60_000);
		fc.assert(
			fc.property(
				fc.integer({min: 0, max: 100}),
				fc.constantFrom(1, 1, 0.5),
				fc.array(fc.tuple(fc.integer({min: 0, max: 1500}), pausesArbitrary), {minLength: slots, maxLength: slots}),
				(callsPerWindow, tailWeight, vms) => {
					const configuration = configurationOf({callsPerWindow, tailWeight});
					const times = vms.flatMap(([handover, pauses], index) => {
						const shares = {loadProbeFraction: 1 / slots, connectionFraction: 1 / slots, vmCount: slots};
						const former = measuringTimes(configuration, {...shares, loadProbesFrom: 0, loadProbesUntil: 1500 + handover}, index, pauses);
						const next = measuringTimes(configuration, {
							...shares, loadProbesFrom: 1500 + handover + windowMilliseconds + 50, loadProbesUntil: 6000,
						}, index + 100, pauses);
						return [...former, ...next];
					});
					expect(maxInWindow(times)).toBeLessThanOrEqual(callsPerWindow);
				},
			),
			{seed, numRuns: 300},
		);
	});

	it('is used, with the smaller tail weight at most a tenth as much as with the larger one', () => {
		// Two operators declare the same budget, one for the shortest tail and one for small, crowded backend servers. A
		// schedule that never sends a call would pass the first test too.
		const shares = {
			loadProbeFraction: 0.5, connectionFraction: 0.5, vmCount: 2, loadProbesFrom: 0, loadProbesUntil: 60_000,
		};
		const spent = [1, 0].map(tailWeight => measuringTimes(configurationOf({callsPerWindow: 20, tailWeight}), shares, 1, [7]).length);
		expect(spent[0]!).toBeGreaterThanOrEqual(500);
		expect(spent[1]!).toBeGreaterThanOrEqual(1);
		expect(spent[1]!).toBeLessThanOrEqual(spent[0]! / 10);
	});

	it('is hardly used for an idle service, and at the full rate soon after its first call', () => {
		// Guards backend servers that are not called through this VM against being measured at the full rate.
		const configuration = configurationOf({callsPerWindow: 60, tailWeight: 1});
		const engine = new DefaultCallEngine({random: seededRandom(seed), settings: {dataCentre: 'north'}});
		const shares: FleetShares = {
			loadProbeFraction: 1 / slots, loadProbesFrom: 0, loadProbesUntil: 1e9, connectionFraction: 1, vmCount: slots,
		};
		engine.handle({type: 'shares', shares}, 0);
		engine.handle({type: 'configured', configuration}, 0);
		const counts = {idle: 0, called: 0};
		for (let now = 0; now < 120_000; now += 20) {
			const isCalled = now >= 60_000;
			if (isCalled && now % 1000 === 0) {
				engine.handle({
					type: 'call-arrived', request: {
						callId: now, service: 'reads', caller: 'a', method: 'GET', fingerprint: 'f', timeoutMilliseconds: 50, bodyBytes: 0, idempotencyKey: undefined, mayRetry: true,
					},
				}, now);
			}

			const measured = engine.handle({type: 'tick'}, now).filter(({type}) => type === 'measure').length;
			counts.idle += now < 60_000 ? measured : 0;
			counts.called += now >= 61_000 ? measured : 0;
		}

		// Ten calls per window of one second are allowed: 590 in the 59 s after the first second.
		expect(counts.idle).toBeGreaterThanOrEqual(10);
		expect(counts.idle).toBeLessThanOrEqual(20);
		expect(counts.called).toBeGreaterThanOrEqual(400);
	});

	it('refuses a measuring call before the next one is due, whatever its reason', () => {
		// Guards the measuring budget against a second code path that sends load probes.
		const schedule = new LoadProbeSchedule();
		const budget = {callsPerWindow: 60, windowMilliseconds, tailWeight: 1};
		const shares: FleetShares = {
			loadProbeFraction: 1 / slots, loadProbesFrom: 0, loadProbesUntil: 10_000, connectionFraction: 1, vmCount: slots,
		};
		const answers = Array.from({length: 1000}, (_, now) => schedule.trySpend(budget, shares, now));
		expect(answers.filter(Boolean).length).toEqual(10);
		expect(schedule.trySpend(budget, shares, 10_000)).toEqual(false);
	});
});
