import {expect} from 'earl';
import {configurationOf, EngineDriver, requestOf} from '../engine-driver.test.ts';
import {DefaultCallEngine} from '../call-engine.ts';
import {seededRandom} from '../../random/random.ts';
import {ServiceOverload} from './service-overload.ts';
import {type ServiceDemand} from './capacity-sharing.ts';

/** Counts per second: of 480 calls, of which 90 are urgent, 300 are answered. */
const fleetDemand: ServiceDemand = {
	demand: [{
		priority: 0, caller: 'a', callers: 1, callsPerSecond: 90,
	}, {
		priority: 1, caller: 'b', callers: 1, callsPerSecond: 390,
	}],
	admittedPerSecond: 400,
	servedPerSecond: 300,
};

/** A VM that has seen 60 calls of each priority within the last second, of which it answered the urgent ones. */
function overloadOf(now: number): ServiceOverload {
	const overload = new ServiceOverload();
	for (let call = 0; call < 60; call++) {
		overload.recordEnd(0, 'a', 'served', now);
		overload.recordEnd(1, 'b', 'unserved', now);
	}

	return overload;
}

describe('a service that may be short of capacity', () => {
	// Guards calls against being refused because others have run out of time.
	it('is short only while calls wait or find no slot, and for a second after that', () => {
		const overload = overloadOf(500);
		expect(overload.decide(1, 'b', 500)).toEqual(undefined);
		overload.recordShortage(500);
		expect([overload.decide(1, 'b', 600)?.figures, overload.decide(1, 'b', 1501)]).toEqual(['own', undefined]);
	});

	it('decides by merged figures for a second from their time, then by its own', () => {
		const overload = overloadOf(500);
		overload.recordShortage(500);
		overload.applySummary(fleetDemand, 300, 600);
		expect([overload.decide(1, 'b', 700)?.figures, overload.decide(1, 'b', 1301)?.figures]).toEqual(['merged', 'own']);
	});

	// Guards VMs with few calls against decisions by chance.
	it('refuses nothing by a handful of own calls', () => {
		const overload = new ServiceOverload();
		overload.recordEnd(0, 'a', 'served', 0);
		overload.recordEnd(1, 'b', 'unserved', 0);
		overload.recordShortage(0);
		expect(overload.decide(1, 'b', 1)).toEqual(undefined);
	});
});

describe('reports of demand', () => {
	function reportsIn(driver: EngineDriver, milliseconds: number): number {
		let reports = 0;
		for (let call = 1; call <= milliseconds; call++) {
			driver.now += 1;
			reports += driver.handle({type: 'call-arrived', request: requestOf(call, {timeoutMilliseconds: 300})}).filter(({type}) => type === 'demand-report').length;
			reports += driver.passTime(0).filter(({type}) => type === 'demand-report').length;
		}

		return reports;
	}

	// Guards the links between VMs against a message for each refused call.
	it('are made at most five times a second, only while short and only if somebody sends them', () => {
		const counts = [true, false].map(reportsDemand => {
			const driver = new EngineDriver(configurationOf(1));
			const engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}, reportsDemand});
			engine.handle({type: 'configured', configuration: configurationOf(1)}, 0);
			Object.assign(driver, {engine});
			return reportsIn(driver, 2000);
		});
		expect(counts[0]! >= 8 && counts[0]! <= 10).toEqual(true);
		expect(counts[1]).toEqual(0);
		expect(reportsIn(new EngineDriver(configurationOf(1)), 10)).toEqual(0);
	});
});
