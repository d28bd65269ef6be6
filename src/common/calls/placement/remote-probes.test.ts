import {expect} from 'earl';
import {
	configurationOf, EngineDriver, loadProbesIn, reportOf, requestOf,
} from '../engine-driver.test.ts';
import {type CallConfiguration, type CallEffect, type LoadReport} from '../types.ts';

const rule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

/** Two backend servers in the data centre of the VM, and eight in another. */
function twoDataCentres(): CallConfiguration {
	const configuration = configurationOf(10, {measuring: {mode: 'on-demand', callsPerWindow: 100_000}});
	return {
		...configuration,
		backendServers: new Map(Array.from(configuration.backendServers, ([identity, server], index) => [identity, {...server, slots: 2, dataCentre: index < 2 ? 'north' : 'south'}])),
	};
}

/** Numbers of probes in each round for one call; all backend servers give the same report. */
function roundsOf(report: LoadReport): number[] {
	const driver = new EngineDriver(twoDataCentres());
	const rounds: number[] = [];
	let effects: readonly CallEffect[] = driver.handle({
		type: 'call-arrived', request: requestOf(1, {
			method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
		}),
	});
	for (let probes = loadProbesIn(effects); probes.length > 0; probes = loadProbesIn(effects)) {
		rounds.push(probes.length);
		effects = probes.flatMap(({loadProbeId}) => [...driver.handle({type: 'measured', loadProbeId, report})]);
	}

	return rounds;
}

const oneSlotFree = reportOf('p', {inFlight: 1, slots: 2, workTimeFactor: 1});
const full = reportOf('p', {
	inFlight: 2, queued: 3, slots: 2, workTimeFactor: 1,
});

describe('load probes of other data centres', () => {
	// Guards the traffic between data centres, and connections, against calls whose own data centre has capacity.
	it('are not sent while a local backend server has a free slot and is likely to answer in time', () => {
		expect(roundsOf(oneSlotFree)).toEqual([2]);
	});

	// Guards calls against waiting for a full data centre while another one has capacity.
	it('are sent if the local backend servers are full', () => {
		expect(roundsOf(full).length).toEqual(3);
	});
});
