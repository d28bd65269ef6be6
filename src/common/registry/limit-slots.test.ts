import {expect} from 'earl';
import {type StoreOperation} from '../platform/types.ts';
import {FleetModel} from './fleet-model.test.ts';
import {LimitRun} from './limit-slots-harness.test.ts';
import {type StoreModel} from './store-model.test.ts';

/** Longest time until another VM holds the slot of a lost one: the lease, the interval between two reads of the store, and the claim. */
const takeoverMilliseconds = 10_000 + 3500;

describe('slots of the rate limits', function () {
	this.timeout(60_000);

	// Guards the service of limited organisations after the first start, and the store call budget at that moment.
	it('are claimed by different VMs within a few seconds, with few attempts', () => {
		const run = new LimitRun({vmCount: 40});
		run.settle(3000);
		const holders = new Set(run.holders().flat().map(({address}) => address));
		const {costs} = run.model.store;
		expect([run.grantedCount, holders.size, run.violations.size, (costs.get('compare-and-swap') ?? 0) <= 8]).toEqual([3, 3, 0, true]);
	});

	// Guards small fleets against a slot that waits for VMs that do not exist.
	it('are all claimed by a single VM at once', () => {
		const run = new LimitRun({vmCount: 1});
		run.settle(2000);
		expect(run.grantedCount).toEqual(3);
	});

	it('cost a tenth of a call for each renewal, every 1.5 s', () => {
		const run = new LimitRun().settle();
		const before = run.model.store.costs.get('compare-and-swap');
		run.advance(20_000);
		expect([run.longestGap, run.model.store.costs.get('compare-and-swap')]).toEqual([0, before]);
	});

	// Guards the store against calls of VMs that could not grant.
	it('cause no call to the store on VMs without an endpoint for datagrams', () => {
		const model = new FleetModel({vmCount: 6, serverCount: 4, seed: 1});
		model.startAll();
		model.timeline.advance(10_000);
		expect([model.store.costs.get('compare-and-swap'), model.store.keys('limits/'), model.running.some(({limitSlots}) => limitSlots !== undefined)]).toEqual([undefined, [], false]);
	});

	// Guards limits of backend servers, which they announce at any moment, against slots that nobody holds until then.
	it('are held without further claims while no organisation has a limit', () => {
		const run = new LimitRun().settle();
		run.model.store.put('configuration', '2');
		run.advance(3000);
		const claims = run.model.store.costs.get('compare-and-swap');
		run.advance(9000);
		expect([run.grantedCount, run.model.store.costs.get('compare-and-swap') === claims, run.longestGap]).toEqual([3, true, 0]);
	});

	// Guards against VMs that do not know whom to ask.
	it('are known to all VMs', () => {
		const run = new LimitRun().settle();
		const known = new Set(run.model.running.map(({limitSlots}) => JSON.stringify(limitSlots?.slots)));
		const addresses = run.holders().map(([holder]) => run.model.limitsAddressOf(holder!.address));
		expect([known.size, run.model.running[0]!.limitSlots?.slots.map(({address}) => address)]).toEqual([1, addresses]);
	});

	// Guards a restarted holder against the wait for its predecessor's lease.
	it('are taken over at once by a process that starts at the endpoint of a killed holder', () => {
		const run = new LimitRun().settle();
		const holder = run.holderOf(0);
		holder.kill();
		run.advance(500);
		run.model.start(run.model.vmIndexOf(holder.address), 0);
		run.advance(2500);
		expect([run.holderOf(0).address, run.violations.size]).toEqual([holder.address, 0]);
	});

	// Guards against a slot that nobody claims after its holder is lost.
	it('are claimed by another VM once the lease of a lost holder has ended, and not before', () => {
		const run = new LimitRun().settle();
		run.holderOf(1).kill(true);
		run.advance(7900);
		const during = run.grantedCount;
		run.advance(takeoverMilliseconds - 7900);
		expect([during, run.grantedCount, run.violations.size]).toEqual([2, 3, 0]);
	});

	// Guards against a holder that goes on granting after another VM has claimed its slot.
	it('are given up by a holder that is cut off from the store before another VM claims them', () => {
		const run = new LimitRun().settle();
		const cut = run.holderOf(2);
		run.model.store.isSilentTo = address => address === cut.address;
		run.advance(7000);
		const during = run.holderOf(2);
		run.advance(takeoverMilliseconds - 7000 + 2000);
		expect([during, run.grantedCount, cut.grantedSlots, run.violations.size]).toEqual([cut, 3, [], 0]);
	});

	// Guards limited calls against a store that is away for less than 7.5 s.
	for (const away of [4500, 7500]) {
		it(`are held through ${away} ms without the store`, () => {
			const gaps = [0, 400, 800, 1200, 1600].map(offset => {
				const run = new LimitRun().settle();
				run.advance(offset);
				run.model.store.isSilentTo = () => true;
				run.advance(away);
				run.model.store.isSilentTo = () => false;
				run.advance(8000);
				return run.longestGap + run.violations.size;
			});
			expect(gaps.filter(gap => gap > 100)).toEqual([]);
		});
	}

	// Guards against rights that outlast the lease while nobody can tell who holds it.
	it('are granted by nobody while the store is away for longer, and claimed when it is back', () => {
		const run = new LimitRun().settle();
		run.model.store.isSilentTo = () => true;
		run.advance(9600);
		const during = run.grantedCount;
		run.advance(2400);
		run.model.store.isSilentTo = () => false;
		run.advance(5000);
		expect([during, run.grantedCount, run.violations.size]).toEqual([0, 3, 0]);
	});

	// Guards against a right that is counted from the answer of a slow store, so that it outlasts the lease.
	it('are granted for 9.5 s at most after the renewal was sent, however late its answer is', () => {
		const counts = [0, 300, 600, 900, 1200].map(offset => {
			const run = new LimitRun().settle();
			run.model.store.replyMilliseconds = 1000;
			run.advance(4000 + offset);
			run.model.store.isSilentTo = () => true;
			run.advance(9520);
			return run.grantedCount;
		});
		expect(counts).toEqual([0, 0, 0, 0, 0]);
	});

	it('are granted for 9.5 s at most after the lease was requested, however late the claim is confirmed', () => {
		const run = new LimitRun({vmCount: 1});
		const {store} = run.model;
		run.model.startAll();
		store.replyMilliseconds = 1000;
		while (!store.costs.has('compare-and-swap')) {
			run.advance(20);
		}

		store.isSilentTo = () => true;
		run.advance(1100);
		const during = run.grantedCount;
		run.advance(9500 - 1000 - 1100 + 20);
		expect([during, run.grantedCount]).toEqual([1, 0]);
	});

	for (const isSuspended of [false, true]) {
		// Guards against a holder that wakes with a right whose lease has ended, also if its clock stood still.
		it(`are lost by a holder whose lease ends during a pause (clock stands still: ${isSuspended})`, () => {
			const run = new LimitRun().settle();
			const paused = run.holderOf(0);
			paused.isFrozen = true;
			if (isSuspended) {
				paused.suspend();
			}

			run.advance(takeoverMilliseconds + 1000);
			const during = run.grantedCount;
			paused.wake();
			run.advance(4000);
			expect([during, run.grantedCount, paused.grantedSlots, run.violations.size]).toEqual([3, 3, [], 0]);
		});
	}

	// Guards against grants between the end of a pause and the confirmation that the lease still exists.
	it('are not granted after a pause until a renewal that was sent after it', () => {
		const run = new LimitRun().settle();
		const paused = run.holderOf(0);
		paused.suspend();
		run.advance(5000);
		run.model.store.replyMilliseconds = 200;
		paused.wake();
		const atOnce = paused.grantedSlots;
		run.advance(400);
		expect([atOnce, paused.grantedSlots, run.violations.size]).toEqual([[], [0], 0]);
	});

	// Guards against outdated entries and reused leases in a store that was restored from a backup.
	for (const [name, change] of [
		['that has all entries', () => undefined],
		['from before the slots were claimed', (run: LimitRun) => {
			for (const key of run.model.store.keys('limits/')) {
				run.model.store.remove(key);
			}
		}],
		['that names an earlier holder', (run: LimitRun) => {
			run.model.store.put('limits/0', JSON.stringify({
				address: run.model.limitsAddressOf(run.holderOf(1).address), holder: run.holderOf(1).identity, dataCentre: 'north', era: 1,
			}), '1');
		}],
	] as const) {
		it(`keep their holders when the store is restored from a backup ${name}`, () => {
			const run = new LimitRun().settle();
			const holders = run.holders();
			const backup = run.model.store.backUp();
			// The changed state is known to the backup only.
			const before = run.model.store.backUp();
			run.model.store.isSilentTo = () => true;
			change(run);
			const changed = run.model.store.backUp();
			run.model.store.restore(name === 'that has all entries' ? backup : {...changed, revision: before.revision, lastLease: before.lastLease});
			run.model.store.isSilentTo = () => false;
			run.advance(15_000);
			expect([run.holders().map(([holder]) => holder?.identity), run.longestGap, run.violations.size]).toEqual([holders.map(([holder]) => holder!.identity), 0, 0]);
		});
	}

	/** A run of one VM whose store is restored just before it executes the first operation that is due, with its state of that moment. */
	function restoredBefore(isDue: (operation: StoreOperation, store: StoreModel) => boolean): LimitRun {
		const run = new LimitRun({vmCount: 1});
		const {store} = run.model;
		const execute = store.execute.bind(store);
		let isDone = false;
		store.execute = (vm, operation, onReply) => {
			if (!isDone && isDue(operation, store)) {
				isDone = true;
				store.restore(store.backUp());
				execute(vm, operation, onReply);
				store.isSilentTo = () => true;
			} else {
				execute(vm, operation, onReply);
			}
		};

		run.model.startAll();
		return run;
	}

	// Guards against a claim that a restored store has accepted, though its entries are outdated and another VM may still grant.
	it('are not granted by a claim that was confirmed after a restore', () => {
		const run = restoredBefore(({type}) => type === 'compare-and-swap');
		run.advance(4000);
		expect([run.model.store.keys('limits/').length, run.grantedCount]).toEqual([1, 0]);
	});

	// Guards against a right that is prolonged by a lease of the restored store, which may be another VM's with the same identifier.
	it('are not prolonged by a renewal that was answered after a restore', () => {
		const renewal = {isDue: false, hasRun: false};
		const run = restoredBefore((operation, store) => {
			renewal.hasRun = renewal.isDue && operation.type === 'keep-lease' && operation.leaseId === store.backUp().entries.get('limits/0')?.leaseId;
			return renewal.hasRun;
		});
		run.advance(8000);
		const ends = () => new Map(run.model.running[0]!.limitSlots!.own.map(({slot, until}) => [slot, until]));
		let before = ends().get(0);
		renewal.isDue = true;
		for (let step = 0; step < 3000 && !renewal.hasRun; step++) {
			before = ends().get(0);
			run.advance(1);
		}

		run.advance(500);
		expect([renewal.hasRun, ends().get(0)]).toEqual([true, before]);
	});

	// Guards against a VM that starts after a restore and takes a slot as vacant whose holder the backup does not have.
	it('are not claimed at once by a VM that starts after a restore', () => {
		const run = new LimitRun({vmCount: 2});
		const backup = run.model.store.backUp();
		run.settle();
		run.model.store.isSilentTo = () => true;
		run.model.cutVms.add(run.model.addressOf(0)).add(run.model.addressOf(1));
		run.model.store.restore(backup);
		run.model.store.isSilentTo = address => [0, 1].some(vm => run.model.addressOf(vm) === address);
		run.model.start(2, 0);
		run.advance(25_000);
		expect([run.grantedCount, run.violations.size]).toEqual([3, 0]);
	});

	// Guards against a right that rests on a claim whose outcome is unknown, and against a slot that stays without a holder after it.
	it('are granted after a lost answer to the claim only once a second claim is confirmed', () => {
		const run = new LimitRun({vmCount: 1});
		run.model.startAll();
		const {store} = run.model;
		const execute = store.execute.bind(store);
		let lost = 0;
		store.execute = (vm, operation, onReply) => {
			const isLost = operation.type === 'compare-and-swap' && lost++ === 0;
			execute(vm, operation, isLost
				? () => {
					run.model.timeline.after(2000, () => {
						onReply({type: 'unknown'});
					});
				}
				: onReply);
		};

		run.advance(2000);
		const during = [store.keys('limits/').length, run.grantedCount];
		run.advance(7000);
		expect([during, run.grantedCount, run.violations.size]).toEqual([[1, 0], 3, 0]);
	});

	// Guards against a wait for leases after a loss of power.
	it('are claimed at once by the same VMs after all VMs have lost power', () => {
		const run = new LimitRun().settle();
		for (const process of run.model.running) {
			process.kill(true);
		}

		run.advance(1000);
		run.model.startAll();
		run.advance(2000);
		expect([run.grantedCount, run.violations.size]).toEqual([3, 0]);
	});

	// Guards calls below the limit during planned stops of one VM after the other.
	it('are claimed by another VM within a few seconds of a planned stop', () => {
		const run = new LimitRun().settle();
		const stopped = run.holderOf(0);
		stopped.handle({type: 'stop-requested', by: 'signal'});
		const atOnce = stopped.grantedSlots;
		run.advance(4000);
		expect([atOnce, run.grantedCount, run.violations.size]).toEqual([[], 3, 0]);
	});
});
