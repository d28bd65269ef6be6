import {expect} from 'earl';
import * as fastCheck from 'fast-check';
import {
	backendServerSchema, serviceSchema, type BackendServer, type Service,
} from '../model/resources.ts';
import {BurnCopies} from './burn-copies.ts';
import {BurnLedger} from './burn-ledger.ts';
import {makeBurnReport, type BurnInput} from './burn-report.ts';
import {burnWindows} from './burn-windows.ts';
import {burnReportSchema, type ProcessCounts} from './types.ts';

const minute = 60_000;
const hour = 60 * minute;
const day = 24 * hour;
const ordering: Service = serviceSchema.parse({kind: 'service', name: 'ordering', objective: {successShare: 0.999}});
const server: BackendServer = backendServerSchema.parse({
	kind: 'backend-server', name: 'ordering-1', service: 'ordering', address: '10.0.0.1', port: 9000, dataCentre: 'gdansk-1',
});

function processCounts(identity: string, ledger: BurnLedger, now: number, ageMilliseconds = 0): ProcessCounts {
	return {
		identity, vm: identity, ageMilliseconds, services: ledger.buckets(now, new Map([['ordering', 7]])),
	};
}

function reportOf(input: Partial<BurnInput>) {
	const report = makeBurnReport({
		services: [ordering], backendServers: [server, server], reported: [], copies: [], vmsCounted: [], vmsMissing: [], ...input,
	});
	expect(burnReportSchema.safeParse(report).success).toEqual(true);
	return report;
}

/** Counts 10,000 calls spread evenly between two instants; every `badEvery`-th is bad, none if 0. */
function fill(ledger: BurnLedger, from: number, to: number, badEvery: number): void {
	const calls = 10_000;
	for (let index = 0; index < calls; index++) {
		ledger.count('ordering', badEvery === 0 || index % badEvery !== 0, from + ((to - from) * index / calls));
	}
}

describe('burn', () => {
	it('counts each call in every window until the call leaves it, to within one bucket', () => {
		const call = fastCheck.record({gap: fastCheck.double({min: 0, max: 2 * day, noNaN: true}), isGood: fastCheck.boolean()});
		fastCheck.assert(fastCheck.property(fastCheck.array(call, {maxLength: 200}), fastCheck.double({min: -1e9, max: 1e9, noNaN: true}), (calls, start) => {
			const ledger = new BurnLedger();
			const times: number[] = [];
			let now = start;
			for (const {gap, isGood} of calls) {
				now += gap;
				times.push(now);
				ledger.count('ordering', isGood, now);
			}

			const [line] = reportOf({reported: [processCounts('a', ledger, now)]}).services;
			for (const [index, window] of burnWindows.entries()) {
				const {good, bad} = line!.windows[index]!;
				const within = (span: number) => times.filter(time => now - time < span).length;
				expect(good + bad).toBeGreaterThanOrEqual(within(window.milliseconds));
				expect(good + bad).toBeLessThanOrEqual(within(window.milliseconds + window.bucketMilliseconds));
			}
		}), {seed: 20_261_202, numRuns: 300});
	});

	it('requires a high burn rate over the short and the long window', function () {
		const histories: ReadonlyArray<readonly [string, (ledger: BurnLedger) => void]> = [
			['no calls', () => undefined],
			['all good', ledger => {
				fill(ledger, 0, day, 0);
			}],
			['2% bad for an hour', ledger => {
				fill(ledger, 0, day - hour, 0);
				fill(ledger, day - hour, day, 50);
			}],
			['2% bad until ten minutes ago', ledger => {
				fill(ledger, 0, day - hour, 0);
				fill(ledger, day - hour, day - (10 * minute), 50);
				fill(ledger, day - (10 * minute), day, 0);
			}],
			['0.7% bad for six hours', ledger => {
				fill(ledger, 0, day - (6 * hour), 0);
				fill(ledger, day - (6 * hour), day, 143);
			}],
			['0.2% bad for an hour, no counts before', ledger => {
				fill(ledger, day - hour, day, 500);
			}],
			['0.2% bad for a day', ledger => {
				fill(ledger, 0, day, 500);
			}],
		];
		const lines = histories.map(([name, fillLedger]) => {
			const ledger = new BurnLedger();
			fillLedger(ledger);
			const [line] = reportOf({reported: [processCounts('a', ledger, day)]}).services;
			return [name, line!.verdict, line!.windows.map(window => window.burnRate?.toFixed(2) ?? null).join(' '), line!.budgetLeft?.toFixed(2)].join(' | ');
		});
		expect(lines).toMatchSnapshot(this);
	});

	it('reports a fast burn without a rate for a bad call where the objective allows none', () => {
		const strict: Service = {...ordering, objective: {successShare: 1, latencyMilliseconds: 250}};
		const ledger = new BurnLedger();
		ledger.count('ordering', true, 0);
		expect(reportOf({services: [strict], reported: [processCounts('a', ledger, 1)]}).services[0]!.verdict).toEqual('within-objective');
		ledger.count('ordering', false, 1);
		const [line] = reportOf({services: [strict], reported: [processCounts('a', ledger, 2)]}).services;
		expect([line!.verdict, line!.budgetLeft, line!.windows[0]!.burnRate]).toEqual(['fast-burn', null, null]);
	});

	// Fails if a call is counted once for each copy of a failed VM's counts.
	it('counts each process once, by its newest counts', function () {
		const living = new BurnLedger();
		fill(living, 0, hour, 100);
		const ended = new BurnLedger();
		fill(ended, 0, hour / 2, 100);
		const early = processCounts('ended', ended, hour / 2, hour / 2);
		fill(ended, hour / 2, hour, 100);
		const late = processCounts('ended', ended, hour, minute);
		const copies = [early, late, processCounts('living', living, hour, minute)];
		const report = reportOf({
			reported: [processCounts('living', living, hour)], copies, vmsCounted: ['10.0.0.1:7001'], vmsMissing: ['10.0.0.2:7001'],
		});
		expect(report).toMatchSnapshot(this);
		const reversed = reportOf({
			reported: [processCounts('living', living, hour)], copies: copies.toReversed(), vmsCounted: ['10.0.0.1:7001'], vmsMissing: ['10.0.0.2:7001'],
		});
		expect(reversed).toEqual(report);
	});

	// Fails if the five-minute window still includes the counts of a VM that failed long ago.
	it('drops the buckets of a copy from each window as they age', () => {
		const ledger = new BurnLedger();
		fill(ledger, 0, minute, 2);
		const copies = new BurnCopies();
		copies.keep(processCounts('ended', ledger, minute), 1000);
		expect(reportOf({copies: copies.all(1000)}).services[0]!.measuring).toEqual({spent: 0, allowed: 480});
		const badIn = (now: number) => reportOf({copies: copies.all(now)}).services[0]!.windows.map(window => window.bad);
		expect(badIn(1000)).toEqual([5000, 5000, 5000, 5000]);
		expect(badIn(1000 + (20 * minute))).toEqual([0, 5000, 5000, 5000]);
		expect(badIn(1000 + (7 * hour))).toEqual([0, 0, 0, 5000]);
		expect(badIn(1000 + (31 * day))).toEqual([0, 0, 0, 0]);
	});

	it('stores the newest copy of each process and evicts the oldest process beyond the limit', () => {
		const copies = new BurnCopies();
		const ledger = new BurnLedger();
		copies.keep(processCounts('a', ledger, 0, 500), 0);
		copies.keep(processCounts('a', ledger, 0, 2000), 1000);
		expect(copies.all(1000).map(copy => copy.ageMilliseconds)).toEqual([1500]);
		copies.keep(processCounts('a', ledger, 0, 0), 1000);
		expect(copies.all(1000).map(copy => copy.ageMilliseconds)).toEqual([0]);
		for (let index = 0; index < 64; index++) {
			copies.keep(processCounts(`b${index}`, ledger, 0), 2000 + index);
		}

		expect(copies.all(3000).map(copy => copy.identity).includes('a')).toEqual(false);
		expect(copies.all(3000).length).toEqual(64);
	});

	it('reports measuring calls of a service without calls', () => {
		const [line] = reportOf({reported: [processCounts('a', new BurnLedger(), 0)]}).services;
		expect([line!.verdict, line!.measuring]).toEqual(['no-calls', {spent: 7, allowed: 480}]);
	});

	it('removes the counts of services that are no longer declared', () => {
		const ledger = new BurnLedger();
		ledger.count('ordering', true, 0);
		ledger.count('archive', true, 0);
		ledger.retain(new Set(['ordering']));
		expect(ledger.buckets(1).map(account => account.service)).toEqual(['ordering']);
	});
});
