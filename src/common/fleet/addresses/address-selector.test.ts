import {expect} from 'earl';
import {seededRandom} from '../../random/random.ts';
import {testHash} from '../test-utilities.test.ts';
import {AddressSelector, type AddressCandidate} from './address-selector.ts';

const settings = {
	identity: 'vm', peerAddress: 'vm:1', callAddress: 'vm:2', dataCentre: 'dc-0', seeds: [], defaultPeerPort: 1, shareSlots: 24,
	shareLeaseMilliseconds: 9000, addressTtlMilliseconds: 5000, minSubsetSize: 16,
};

function vms(count: number, utilisation: (index: number) => number = () => 0): AddressCandidate[] {
	return Array.from({length: count}, (_, index) => ({
		record: {
			identity: `vm-${index}`, callAddress: `vm-${index}`, dataCentre: `dc-${index % 3}`, utilisation: utilisation(index),
		},
	}));
}

function createSelector(seed: number): AddressSelector {
	return new AddressSelector(settings, seededRandom(seed), testHash);
}

/** Number of callers per address if 3,000 callers query once each and use the first address. */
function firstChoices(candidates: readonly AddressCandidate[], dataCentre?: string): Map<string, number> {
	const answers = createSelector(1);
	const counts = new Map<string, number>();
	for (let caller = 0; caller < 3000; caller += 1) {
		const first = answers.answer('reads', {revision: 1, vms: candidates}, 0, dataCentre).addresses[0]!.address;
		counts.set(first, (counts.get(first) ?? 0) + 1);
	}

	return counts;
}

function shareOf(counts: ReadonlyMap<string, number>, isCounted: (index: number) => boolean): number {
	let sum = 0;
	for (const [address, count] of counts) {
		sum += isCounted(Number(address.slice(3))) ? count : 0;
	}

	return sum / 3000;
}

describe('address answers', () => {
	// Guards against overload of one VM while others idle, when all callers query at once and use the first address.
	it('spread callers over all VMs', () => {
		const counts = firstChoices(vms(16));
		expect(counts.size).toEqual(16);
		expect(Math.max(...counts.values())).toBeLessThan(3000 / 16 * 1.4);
	});

	it('prefer the caller\'s data centre while it has spare capacity, and spread callers as its load rises', function () {
		const share = (load: number): string => shareOf(firstChoices(vms(15, index => (index % 3 === 0 ? load : 0.2)), 'dc-0'), index => index % 3 === 0).toFixed(1);
		expect({
			idle: share(0), busy: share(0.8), busier: share(0.9), full: share(1), unknownCaller: shareOf(firstChoices(vms(15)), index => index % 3 === 0).toFixed(1),
		}).toMatchSnapshot(this);
	});

	it('send fewer callers, but not none, to a busy VM, because its utilisation may be out of date', () => {
		const counts = firstChoices(vms(16, index => (index === 5 ? 1 : 0)));
		const part = counts.get('vm-5')! / (3000 / 16);
		expect(part > 0.15 && part < 0.4).toEqual(true);
	});

	// Guards the number of services per VM: at the target size no VM can serve every service. If VMs returned different
	// subsets, more VMs than planned would serve each service; if the loss of a VM changed all subsets, all VMs would have
	// to start serving new services at once.
	it('name the same subset on all VMs, grow it with the load, and change one place when a VM is lost', () => {
		const all = vms(200);
		const subsetOf = (candidates: readonly AddressCandidate[], calls: number, seed: number): Set<string> => {
			const named = new Set<string>();
			const answers = createSelector(seed);
			for (let time = 0; time < 400; time += 1) {
				for (const {address} of answers.answer('reads', {revision: 1, vms: candidates}, calls, undefined).addresses) {
					named.add(address);
				}
			}

			return named;
		};

		const small = subsetOf(all, 0, 1);
		const elsewhere = subsetOf(all.toReversed(), 0, 2);
		const large = subsetOf(all, 6000, 3);
		const lost = [...small][0]!;
		const without = subsetOf(all.filter(({record}) => record.callAddress !== lost), 0, 4);
		expect([small.size, elsewhere.size, large.size, without.size]).toEqual([16, 16, 45, 16]);
		expect([...small].every(address => elsewhere.has(address) && large.has(address))).toEqual(true);
		expect([...small].filter(address => !without.has(address))).toEqual([lost]);
	});

	// Guards against a subset that is cached beyond a change of the VMs and so contains a VM that has left.
	it('reflect a change of the VMs at once, and their current utilisation', () => {
		const answers = createSelector(5);
		const addressesFor = (revision: number, candidates: readonly AddressCandidate[]) => answers.answer('reads', {revision, vms: candidates}, 0, undefined).addresses;
		const all = vms(40);
		const first = addressesFor(1, all)[0]!.address;
		const rest = all.filter(({record}) => record.callAddress !== first);
		const later = Array.from({length: 50}, () => addressesFor(2, rest)).flat();
		expect(later.some(({address}) => address === first)).toEqual(false);
		const loaded = {record: {...rest[0]!.record}};
		const single = [loaded];
		const before = addressesFor(3, single)[0]!.weight;
		loaded.record = {...loaded.record, utilisation: 1};
		expect([before, addressesFor(3, single)[0]!.weight]).toEqual([1, 0.25]);
	});

	it('expire at different times, never later than the setting', () => {
		const answers = createSelector(9);
		const times = Array.from({length: 200}, () => answers.answer('reads', {revision: 1, vms: vms(3)}, 0, undefined).keepForMilliseconds);
		expect(Math.max(...times)).toBeLessThanOrEqual(5000);
		expect(Math.min(...times)).toBeGreaterThan(3999);
		expect(new Set(times).size).toBeGreaterThan(100);
	});
});
