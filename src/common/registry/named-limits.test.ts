import {expect} from 'earl';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type FleetEffect} from '../fleet/types.ts';
import {type ModelProcess} from './fleet-model.test.ts';
import {NamedLimitModel, type NamedLimitOptions} from './named-limits-harness.test.ts';

const limitFrom = 3000;
const runMilliseconds = 16_000;

/** The first backend server announces this limit after some seconds. */
function firstServerNames(limit: number): NamedLimitOptions['limitOf'] {
	return (server, at) => server === 0 && at > limitFrom ? limit : undefined;
}

function modelOf(options: Partial<NamedLimitOptions> & Pick<NamedLimitOptions, 'limitOf'>): NamedLimitModel {
	return new NamedLimitModel({
		vmCount: 126, serverCount: 24, callsPerSecond: 300, seed: 9101, ...options,
	});
}

/** Calls per second and backend servers like those of a large service, 3.5 calls per second for each. */
const largeService = {serverCount: 60, callsPerSecond: 210};

/** Each VM lists others of its own: one in `parts` of them. */
function withSomeMembers(process: ModelProcess, effect: FleetEffect, parts: number): FleetEffect {
	if (effect.type !== 'shares' || effect.shares.members === undefined) {
		return effect;
	}

	const {members} = effect.shares;
	const isListed = (name: string) => name === members.own || testHash(`${process.identity} ${name}`) % parts === 0;
	const byDataCentre = new Map(Array.from(members.byDataCentre, ([dataCentre, names]) => [dataCentre, names.filter(name => isListed(name))]));
	return {...effect, shares: {...effect.shares, vmCount: [...byDataCentre.values()].flat().length, members: {...members, byDataCentre}}};
}

describe('a rate limit that a backend server announces to a large fleet', function () {
	this.timeout(120_000);

	// Guards a backend server in need against VMs that forget its limit together with its entry.
	it('holds when its entry is missing for some seconds while its process lives on', () => {
		const model = modelOf({limitOf: firstServerNames(1.3)});
		model.fleet.timeline.after(9000, () => {
			model.loseEntry(0, 2500);
		});
		expect(model.run(runMilliseconds).worstExcess).toBeLessThanOrEqual(0);
	});

	// Guards a backend server in need against many VMs that each take themselves for owners of its limit.
	it('holds when each VM lists an eighth of the others', () => {
		const excesses = [1.3, 6].map(limit => modelOf({limitOf: firstServerNames(limit), alterEffect: (process, effect) => withSomeMembers(process, effect, 8)}).run(runMilliseconds).worstExcess);
		expect(Math.max(...excesses)).toBeLessThanOrEqual(0);
	});

	// Guards a backend server in need against VMs that share its limit by lists of their own while nobody has the right to grant it.
	const limitedCount = 4;
	for (const [limit, isKilled] of [[1.3, false], [6, false], [6, true]] as const) {
		it(`of ${limit} calls per second holds without the store when each VM lists few of the others${isKilled ? ' and the last holders are killed' : ', and a part of it is used'}`, () => {
			const limitOf: NamedLimitOptions['limitOf'] = (server, at) => server < limitedCount && at > limitFrom ? limit : undefined;
			const model = modelOf({limitOf, alterEffect: (process, effect) => withSomeMembers(process, effect, 16)});
			model.fleet.timeline.after(8000, () => {
				model.fleet.store.isSilentTo = () => true;
			});
			model.fleet.timeline.after(14_000, () => {
				for (const holder of isKilled ? model.fleet.running.filter(({grantedSlots}) => grantedSlots.length > 0) : []) {
					holder.kill();
				}
			});
			model.run(36_000);
			const used = model.servers.slice(0, limitedCount).reduce((sum, {index}) => sum + model.arrivalsBetween(index, 20_000, 36_000), 0) / (16 * limit * limitedCount);
			expect([model.worstExcess <= 0, model.worstOwnerExcess <= 0, isKilled || used >= 0.25]).toEqual([true, true, true]);
		});
	}

	// Guards a backend server in need against errors without the header, which would end its limit.
	it('holds when many answers are errors without the limit', () => {
		const model = modelOf({limitOf: firstServerNames(1.3), errorFraction: 0.4});
		expect(model.run(runMilliseconds).worstExcess).toBeLessThanOrEqual(0);
	});

	// Guards a backend server in need against VMs that go on at a limit which has become lower.
	it('holds when it changes', () => {
		const limitOf: NamedLimitOptions['limitOf'] = (server, at) => server < 3 && at > limitFrom ? [12, 3, 6][Math.floor((at + (server * 1000)) / 4000) % 3] : undefined;
		expect(modelOf({limitOf}).run(runMilliseconds).worstExcess).toBeLessThanOrEqual(0);
	});

	for (const [vmCount, limit, seed] of [[126, 1.3, 1], [126, 6, 2], [311, 1.3, 3]] as const) {
		// Guards backend servers in need against faults that make VMs forget limits, lose holders or use stale tokens, all at once.
		it(`of ${limit} calls per second holds on ${vmCount} VMs through lost entries, restarts, cuts, lost datagrams and an outage of the store, seed ${seed}`, () => {
			const model = modelOf({
				vmCount, seed, limitOf: (server, at) => server < 3 && at > limitFrom ? limit : undefined, errorFraction: 0.1, datagramLossChance: 0.05,
			});
			const {fleet} = model;
			const randomVm = () => fleet.running[Math.floor(fleet.random.next() * fleet.running.length)]!;
			for (const [at, isAway] of [[7000, true], [19_000, false]] as const) {
				fleet.timeline.after(at, () => {
					fleet.store.isSilentTo = () => isAway;
				});
			}

			model.repeat(5000, () => {
				model.loseEntry(0, 2500);
			});
			model.repeat(300, () => {
				const victim = randomVm();
				victim.kill();
				fleet.start(fleet.vmIndexOf(victim.address));
			});
			model.repeat(3000, () => {
				const {address} = randomVm();
				fleet.cutVms.add(address);
				model.excused.add(address);
				fleet.timeline.after(1500, () => {
					fleet.cutVms.delete(address);
				});
			});
			expect(model.run(24_000).worstExcess).toBeLessThanOrEqual(0);
		});
	}

	// Guards a backend server in need against VMs whose process is replaced, and begins without the limits that the VM was told.
	it('holds for VMs that were told it before most of their processes were killed at once', () => {
		const model = modelOf({
			...largeService, callsPerSecond: 420, limitOf: firstServerNames(1), seed: 1,
		});
		model.fleet.timeline.after(16_000, () => {
			for (const victim of model.fleet.running.filter((_, index) => index % 5 > 0)) {
				victim.kill();
				model.fleet.start(model.fleet.vmIndexOf(victim.address));
			}
		});
		expect(model.run(26_000).worstExcess).toBeLessThanOrEqual(0);
	});

	for (const [vmCount, limit] of [[126, 0.7], [126, 6], [311, 1]] as const) {
		// Guards a backend server in need against VMs that learn its limit only by an answer of their own.
		it(`of ${limit} calls per second holds for the calls of all ${vmCount} VMs two seconds after it was first announced`, () => {
			expect(modelOf({vmCount, limitOf: firstServerNames(limit)}).run(runMilliseconds).worstOwnerExcess).toBeLessThanOrEqual(0);
		});
	}

	// Guards a backend server in need against VMs that know only of the end of its first limit.
	it('holds for the calls of all VMs when it ends and is announced again', () => {
		const limitOf: NamedLimitOptions['limitOf'] = (server, at) => server === 0 && at > limitFrom && !(at > 10_000 && at < 14_000) ? 1 : undefined;
		const model = modelOf({...largeService, limitOf}).run(26_000);
		expect([model.worstExcess, model.worstOwnerExcess].map(excess => excess <= 0)).toEqual([true, true]);
	});

	// Guards the capacity of a backend server in need: what it still takes must not be left to calls that have to wait.
	it('is used at least by half where other backend servers have room', () => {
		const used = [1.3, 6].map(limit => modelOf({limitOf: firstServerNames(limit)}).run(runMilliseconds).arrivalsBetween(0, 6000, runMilliseconds) / (limit * 10));
		expect(Math.min(...used)).toBeGreaterThanOrEqual(0.5);
	});

	// Guards against limits so strict that callers are refused although the backend servers would take their calls.
	it('is used to nine tenths by waiting calls', () => {
		const limit = 6;
		const model = modelOf({limitOf: () => limit}).run(runMilliseconds);
		const used = model.servers.map(({index}) => model.arrivalsBetween(index, 8000, runMilliseconds));
		expect([used.reduce((sum, count) => sum + count, 0) / (model.servers.length * limit * 8) >= 0.9, model.worstExcess <= 0]).toEqual([true, true]);
	});
});
