import {expect} from 'earl';
import {type RandomSource} from '../../model/units.ts';
import {seededRandom} from '../../random/random.ts';
import {testHash} from '../../fleet/test-utilities.test.ts';
import {type FleetMembers} from '../types.ts';
import {OwnerRateQuota} from './rate-quota.ts';

const rate = 6.15;
/** Attempts per second beyond which a warming backend server of this rate may crash. */
const crashRate = 14;
const settledAt = 10_000;
const dataCentres = ['north', 'middle', 'south'];

function fleetOf(vmCount: number): Array<{readonly name: string; readonly dataCentre: string}> {
	return Array.from({length: vmCount}, (_, index) => ({name: `10.0.0.${index}:80`, dataCentre: dataCentres[index % 3]!}));
}

/** The member list of one VM. */
function membersOf(own: string, fleet: ReturnType<typeof fleetOf>): FleetMembers {
	const byDataCentre = new Map<string, string[]>();
	for (const {name, dataCentre} of fleet) {
		byDataCentre.set(dataCentre, [...byDataCentre.get(dataCentre) ?? [], name]);
	}

	return {own, byDataCentre};
}

/** The quota of each VM; `hasEntryOf` = whether a VM's member list contains another VM. */
function quotasOf(vmCount: number, hasEntryOf: (index: number, random: RandomSource) => boolean): OwnerRateQuota[] {
	const fleet = fleetOf(vmCount);
	const random = seededRandom(vmCount);
	return fleet.map(({name}, index) => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf(name, fleet.filter(other => other.name === name || hasEntryOf(index, random))), 0);
		return quota;
	});
}

/**
 * Attempts per second of all VMs together at each of 60 backend servers; `hasEntryOf` = whether a VM's member list
 * contains another VM.
 */
function summedRates(vmCount: number, hasEntryOf: (index: number, random: RandomSource) => boolean): number[] {
	const quotas = quotasOf(vmCount, hasEntryOf);
	return Array.from({length: 60}, (_, index) => {
		const server = {identity: `i-${index}`, dataCentre: dataCentres[index % 3]!};
		return quotas.reduce((sum, quota) => sum + quota.attemptsPerSecond(server, rate, settledAt), 0);
	});
}

describe('the shares of a warming backend server\'s rate', () => {
	for (const vmCount of [1, 2, 16, 134, 311]) {
		// Guards against a sum over many VMs that exceeds the rate, and against a warm-up in which no VM sends calls.
		it(`add up to the whole rate with ${vmCount} VMs`, () => {
			expect([...new Set(summedRates(vmCount, () => true))]).toEqual([Math.floor(rate)]);
		});
	}

	for (const vmCount of [16, 134, 311]) {
		// Guards against VMs that are partitioned from the others or have old member lists.
		it(`stay below the crash rate if a fifth of ${vmCount} VMs list only half of the others`, () => {
			expect(Math.max(...summedRates(vmCount, (index, random) => index % 5 !== 0 || random.next() < 0.5))).toBeLessThanOrEqual(crashRate);
		});
	}

	it('go to VMs of its data centre, and to others if it has none', () => {
		const [vm] = fleetOf(1);
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf(vm!.name, [vm!, {name: '10.0.9.9:80', dataCentre: 'south'}]), 0);
		const shares = ['north', 'south', 'middle'].map(dataCentre => quota.attemptsPerSecond({identity: dataCentre, dataCentre}, rate, settledAt));
		expect(shares.slice(0, 2)).toEqual([6, 0]);
		expect(shares[2]).toEqual(3);
	});

	// Guards a cold backend server against a whole fleet that has just started, in which each VM has only its own entry.
	it('are zero for a VM that has just received its member list', () => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf('10.0.0.0:80', fleetOf(1)), 0);
		const server = {identity: 'i-1', dataCentre: 'north'};
		expect([quota.attemptsPerSecond(server, rate, 2900), quota.attemptsPerSecond(server, rate, 3000)]).toEqual([0, 6]);
	});

	it('are zero for a VM without a member list', () => {
		expect(new OwnerRateQuota(testHash).attemptsPerSecond({identity: 'i-1', dataCentre: 'north'}, rate, settledAt)).toEqual(0);
	});
});

/**
 * Calls that the fleet may start at one backend server within 4 s in the worst case: its shares, and the initial tokens.
 */
function maxInSpan(vmCount: number, limit: number, hasEntryOf: (index: number, random: RandomSource) => boolean): number {
	const quotas = quotasOf(vmCount, hasEntryOf);
	const spans = Array.from({length: 20}, (_, index) => {
		const shares = quotas.map(quota => quota.limitShareOf({identity: `i-${index}`, dataCentre: dataCentres[index % 3]!}, limit, settledAt));
		return shares.reduce((sum, {callsPerSecond, initialTokens}) => sum + Math.floor(initialTokens + (4 * callsPerSecond)), 0);
	});
	return Math.max(...spans);
}

describe('the shares of a rate limit that a backend server announces', () => {
	for (const vmCount of [1, 16, 134, 311]) {
		for (const limit of [0.3, 1.3, 6, 50]) {
			// Guards an overloaded backend server against the sum over many VMs, each of which may start one attempt at once.
			it(`keep ${vmCount} VMs within a limit of ${limit} calls per second`, () => {
				expect(maxInSpan(vmCount, limit, () => true)).toBeLessThanOrEqual((6 * limit) + 5);
			});

			// Guards against unusable shares: less than one attempt within the span for each of many VMs.
			it(`add up to the whole limit of ${limit} calls per second with ${vmCount} VMs`, () => {
				const shares = quotasOf(vmCount, () => true).map(quota => quota.limitShareOf({identity: 'i-1', dataCentre: 'north'}, limit, settledAt).callsPerSecond);
				expect(Math.abs(shares.reduce((sum, share) => sum + share, 0) - limit)).toBeLessThan(0.001);
			});
		}
	}

	for (const limit of [1.3, 6, 50]) {
		// Guards against VMs with old member lists: an even share of the limit for each of 16 listed VMs would be too much
		// for 311.
		it(`keep a fleet within ${limit} calls per second if a twentieth of the VMs list only half of the others`, () => {
			const most = [16, 134].map(vmCount => maxInSpan(vmCount, limit, (index, random) => index % 20 !== 0 || random.next() < 0.5));
			expect(Math.max(...most)).toBeLessThanOrEqual((6 * limit) + 5);
		});
	}

	it('are zero for a VM that has just received its member list', () => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf('10.0.0.0:80', fleetOf(1)), 0);
		expect(quota.limitShareOf({identity: 'i-1', dataCentre: 'north'}, 10, 100)).toEqual({callsPerSecond: 0, initialTokens: 0});
	});
});
