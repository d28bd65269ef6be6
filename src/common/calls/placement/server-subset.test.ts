import {expect} from 'earl';
import xxhash from 'xxhash-wasm';
import {DemandRun} from '../../../../benchmark/demand/demand-run.ts';
import {type DemandScenario, demandScenarios} from '../../../../benchmark/demand/scenarios.ts';
import {
	configurationOf, loadProbesIn, reportOf, requestOf,
} from '../engine-driver.test.ts';
import {DefaultCallEngine} from '../call-engine.ts';
import {seededRandom} from '../../random/random.ts';
import {type CallEffect, type CallRule} from '../types.ts';
import {balancedOrder, ServerSubset} from './server-subset.ts';

const {h32: hash} = await xxhash();
const vmNames = Array.from({length: 43}, (_, index) => `10.0.0.${index}:80`);
const serversOf = (count: number) => Array.from({length: count}, (_, index) => ({identity: `server-${index}`, takesNewAttempts: true}));
const membersOf = (own: string, names: readonly string[] = vmNames) => ({own, byDataCentre: new Map([['north', names]])});
const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

describe('the subset of backend servers that a VM uses first', () => {
	// Guards backend servers that join shortly after a ranking against getting no calls until the next change.
	it('includes changed backend servers once the interval between two rankings is over', () => {
		const members = membersOf(vmNames[0]!);
		const subset = new ServerSubset(hash);
		const before = subset.select(serversOf(10), members, 'north', 0);
		const servers = serversOf(97);
		const postponed = subset.select(servers, members, 'north', 1000);
		const after = subset.select(servers, members, 'north', 3100);
		const fresh = new ServerSubset(hash).select(servers, members, 'north', 3100);
		const identities = (chosen: ReadonlySet<{readonly identity: string}> | undefined) => [...chosen ?? []].map(({identity}) => identity);
		expect([identities(postponed), identities(after)]).toEqual([identities(before), identities(fresh)]);
	});

	for (const serverCount of [26, 37, 80]) {
		// Guards backend servers against more calls than others get, and against getting none.
		it(`covers ${serverCount} backend servers evenly over 43 VMs`, () => {
			const identities = serversOf(serverCount).map(({identity}) => identity);
			for (const count of [6, 10]) {
				const taken = new Map(identities.map(identity => [identity, 0]));
				for (const own of vmNames) {
					const order = balancedOrder(own, vmNames, identities, {count, hash});
					expect(new Set(order).size).toEqual(count);
					for (const identity of order) {
						taken.set(identity, taken.get(identity)! + 1);
					}
				}

				expect(Math.max(...taken.values()) - Math.min(...taken.values())).toBeLessThanOrEqual(2);
			}
		});

		// Guards calls against backend servers that are full because too many VMs prefer them.
		it(`loads ${serverCount} backend servers with two slots as evenly as placement without subsets`, () => {
			const base = demandScenarios.find(({name}) => name === 'large-calm')!;
			const scenario: DemandScenario = {
				...base,
				vms: 43,
				dataCentres: 1,
				slots: 2,
				services: [{name: 'schedule', servers: serverCount}],
				kinds: [{...base.kinds[0]!, work: 250, callsPerSecond: serverCount * 2.3}],
				behaviour: {
					...base.behaviour, queueLimit: 8, kneeSlotFraction: 1, kneeSlowdown: 1,
				},
				neighbours: {share: 0.33, slowdown: 7, milliseconds: 500},
				milliseconds: 20_000,
			};
			const all = new DemandRun(scenario, {}, 1).run();
			const subset = new DemandRun(scenario, {}, 1, hash).run();
			expect(subset.earned).toBeGreaterThanOrEqual(all.earned - 0.01);
			expect(subset.maxLoadRatio).toBeLessThanOrEqual(all.maxLoadRatio + 0.2);
			expect(subset.connectionsACall).toBeLessThanOrEqual(0.8);
		});
	}

	// Guards connections against being opened anew by all VMs whenever one VM joins or leaves.
	it('keeps most of its backend servers when a VM joins', () => {
		const identities = serversOf(80).map(({identity}) => identity);
		let kept = 0;
		for (const own of vmNames) {
			const before = balancedOrder(own, vmNames, identities, {count: 10, hash});
			const after = new Set(balancedOrder(own, [...vmNames, '10.0.0.99:80'], identities, {count: 10, hash}));
			kept += before.filter(identity => after.has(identity)).length;
		}

		expect(kept / (vmNames.length * 10)).toBeGreaterThanOrEqual(0.75);
	});

	// Guards connections against changing with each call.
	it('grows with the rate of uses, keeps its size for a similar rate, and shrinks for a much lower one', () => {
		const subset = new ServerSubset(hash);
		const servers = serversOf(200);
		let now = 0;
		const sizeAfter = (usesPerSecond: number, seconds: number) => {
			const sizes = new Set<number>();
			for (let step = 0; step < seconds * 10; step++) {
				now += 100;
				subset.recordUses(usesPerSecond / 10, now);
				sizes.add(subset.select(servers, membersOf(vmNames[0]!), 'north', now)!.size);
			}

			return [...sizes];
		};

		const first = sizeAfter(30, 200).at(-1)!;
		const similar = sizeAfter(27, 100);
		const lower = sizeAfter(4, 200).at(-1)!;
		expect([first >= 30 && first <= 42, similar, lower <= 9]).toEqual([true, [first], true]);
	});

	it('does not exist in a small deployment or without known members', () => {
		const subset = new ServerSubset(hash);
		expect([
			subset.select(serversOf(6), membersOf(vmNames[0]!), 'north', 0),
			subset.select(serversOf(80), undefined, 'north', 0),
			subset.select(serversOf(80), membersOf(vmNames[0]!), 'north', 0)?.size,
		]).toEqual([undefined, undefined, 6]);
	});

	// Guards calls against waiting or being refused while backend servers outside the subset have capacity.
	it('is left for all others if its backend servers have no capacity', () => {
		const engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}, memberHash: hash});
		engine.handle({
			type: 'shares', shares: {
				loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 0.2, vmCount: 43, members: membersOf(vmNames[0]!),
			},
		}, 0);
		engine.handle({type: 'configured', configuration: configurationOf(60, {measuring: {mode: 'on-demand', callsPerWindow: 100_000}})}, 0);
		const rounds: number[] = [];
		const probed = new Set<string>();
		let effects: readonly CallEffect[] = engine.handle({
			type: 'call-arrived', request: requestOf(1, {
				method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
			}),
		}, 0);
		for (let probes = loadProbesIn(effects); probes.length > 0; probes = loadProbesIn(effects)) {
			rounds.push(probes.length);
			effects = probes.flatMap(({identity, loadProbeId}) => {
				probed.add(identity);
				return [...engine.handle({type: 'measured', loadProbeId, report: reportOf('p', {inFlight: 6, queued: 2})}, 1)];
			});
		}

		const subset = new Set(balancedOrder(vmNames[0]!, vmNames, Array.from({length: 60}, (_, index) => `identity-${index}`), {count: 6, hash}));
		expect([rounds, [...probed].filter(identity => subset.has(identity)).length]).toEqual([[4, 2, 4], 6]);
	});
});
