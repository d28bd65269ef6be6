import {expect} from 'earl';
import {type RandomSource} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type FleetMembers} from './types.ts';
import {OwnerRateQuota} from './rate-quota.ts';

const rate = 6.15;
/** Attempts a second beyond which a warming backend server of this rate may crash. */
const mostASecond = 14;
const settled = 10_000;
const dataCentres = ['north', 'middle', 'south'];

function fleetOf(vmCount: number): Array<{readonly name: string; readonly dataCentre: string}> {
	return Array.from({length: vmCount}, (_, index) => ({name: `10.0.0.${index}:80`, dataCentre: dataCentres[index % 3]!}));
}

/** What one VM knows of the fleet. */
function membersOf(own: string, fleet: ReturnType<typeof fleetOf>): FleetMembers {
	const byDataCentre = new Map<string, string[]>();
	for (const {name, dataCentre} of fleet) {
		byDataCentre.set(dataCentre, [...byDataCentre.get(dataCentre) ?? [], name]);
	}

	return {own, byDataCentre};
}

/** The quota of each VM; `knows` = whether a VM knows another one. */
function quotasOf(vmCount: number, knows: (index: number, random: RandomSource) => boolean): OwnerRateQuota[] {
	const fleet = fleetOf(vmCount);
	const random = seededRandom(vmCount);
	return fleet.map(({name}, index) => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf(name, fleet.filter(other => other.name === name || knows(index, random))), 0);
		return quota;
	});
}

/** What all VMs together may start in a second at each of 60 backend servers; `knows` = whether a VM knows another one. */
function sums(vmCount: number, knows: (index: number, random: RandomSource) => boolean): number[] {
	const quotas = quotasOf(vmCount, knows);
	return Array.from({length: 60}, (_, index) => {
		const server = {identity: `i-${index}`, dataCentre: dataCentres[index % 3]!};
		return quotas.reduce((sum, quota) => sum + quota.attemptsPerSecond(server, rate, settled), 0);
	});
}

describe('the shares of a warming backend server\'s rate', () => {
	for (const vmCount of [1, 2, 16, 134, 311]) {
		// Guards against a rate that is exceeded by the sum of many VMs, and against a warm-up that nobody does.
		it(`come to the whole rate, with ${vmCount} VMs`, () => {
			expect([...new Set(sums(vmCount, () => true))]).toEqual([Math.floor(rate)]);
		});
	}

	for (const vmCount of [16, 134, 311]) {
		// Guards against VMs that are cut off from the others, or have old lists.
		it(`stay below what crashes it where a fifth of ${vmCount} VMs knows half of the others`, () => {
			expect(Math.max(...sums(vmCount, (index, random) => index % 5 !== 0 || random.next() < 0.5))).toBeLessThanOrEqual(mostASecond);
		});
	}

	it('go to VMs of its data centre, and to others where it has none', () => {
		const [vm] = fleetOf(1);
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf(vm!.name, [vm!, {name: '10.0.9.9:80', dataCentre: 'south'}]), 0);
		const shares = ['north', 'south', 'middle'].map(dataCentre => quota.attemptsPerSecond({identity: dataCentre, dataCentre}, rate, settled));
		expect(shares.slice(0, 2)).toEqual([6, 0]);
		expect(shares[2]).toEqual(3);
	});

	// Guards a cold backend server against a whole fleet that has just started, each VM of which knows only itself.
	it('are nothing for a VM that has just learnt of the others', () => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf('10.0.0.0:80', fleetOf(1)), 0);
		const server = {identity: 'i-1', dataCentre: 'north'};
		expect([quota.attemptsPerSecond(server, rate, 2900), quota.attemptsPerSecond(server, rate, 3000)]).toEqual([0, 6]);
	});

	it('are nothing for a VM that knows of none', () => {
		expect(new OwnerRateQuota(testHash).attemptsPerSecond({identity: 'i-1', dataCentre: 'north'}, rate, settled)).toEqual(0);
	});
});

/** Calls that the fleet may start at one backend server within 4 s, at worst: its shares, and what may start at once. */
function mostInSpan(vmCount: number, limit: number, knows: (index: number, random: RandomSource) => boolean): number {
	const quotas = quotasOf(vmCount, knows);
	const spans = Array.from({length: 20}, (_, index) => {
		const shares = quotas.map(quota => quota.shareOfLimit({identity: `i-${index}`, dataCentre: dataCentres[index % 3]!}, limit, settled));
		return shares.reduce((sum, {callsPerSecond, firstTokens}) => sum + Math.floor(firstTokens + (4 * callsPerSecond)), 0);
	});
	return Math.max(...spans);
}

describe('the shares of a rate limit that a backend server names', () => {
	for (const vmCount of [1, 16, 134, 311]) {
		for (const limit of [0.3, 1.3, 6, 50]) {
			// Guards a backend server in need against the sum over many VMs, each of which may start one attempt at once.
			it(`keep ${vmCount} VMs within what ${limit} a second allows`, () => {
				expect(mostInSpan(vmCount, limit, () => true)).toBeLessThanOrEqual((6 * limit) + 5);
			});

			// Guards against shares that nobody can use: a rate below one attempt in the span for each of many VMs.
			it(`come to the whole of ${limit} a second with ${vmCount} VMs`, () => {
				const shares = quotasOf(vmCount, () => true).map(quota => quota.shareOfLimit({identity: 'i-1', dataCentre: 'north'}, limit, settled).callsPerSecond);
				expect(Math.abs(shares.reduce((sum, share) => sum + share, 0) - limit)).toBeLessThan(0.001);
			});
		}
	}

	for (const limit of [1.3, 6, 50]) {
		// Guards against VMs that have old lists: an even part of the limit for each of 16 they know would be too much for 311.
		it(`keep a fleet within ${limit} a second in which a twentieth of the VMs knows half of the others`, () => {
			const most = [16, 134].map(vmCount => mostInSpan(vmCount, limit, (index, random) => index % 20 !== 0 || random.next() < 0.5));
			expect(Math.max(...most)).toBeLessThanOrEqual((6 * limit) + 5);
		});
	}

	it('are nothing for a VM that has just learnt of the others', () => {
		const quota = new OwnerRateQuota(testHash);
		quota.setMembers(membersOf('10.0.0.0:80', fleetOf(1)), 0);
		expect(quota.shareOfLimit({identity: 'i-1', dataCentre: 'north'}, 10, 100)).toEqual({callsPerSecond: 0, firstTokens: 0});
	});
});
