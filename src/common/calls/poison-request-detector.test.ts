import {expect} from 'earl';
import {PoisonRequestDetector} from './poison-request-detector.ts';
import {
	EngineDriver, configurationOf, linesOf, reportOf, requestOf,
} from './engine-driver.test.ts';
import {type CallEffect, type LoadUpdate} from './types.ts';

function updatesIn(effects: readonly CallEffect[]): LoadUpdate[] {
	return effects.filter(effect => effect.type === 'tell-peers').map(effect => effect.update);
}

/** Several VMs that receive one another's updates without delay. */
class Fleet {
	readonly vms: EngineDriver[];
	private _nextCallId = 1;

	constructor(count: number) {
		this.vms = Array.from({length: count}, (_, index) => new EngineDriver(configurationOf(6), {}, index + 1));
	}

	/** Places each call through one of the VMs on the backend server and resets its connection, as in a crash. */
	crash(identity: string, fingerprints: readonly string[], incarnation: number): void {
		for (const [index, fingerprint] of fingerprints.entries()) {
			const vm = this.vms[index % this.vms.length]!;
			vm.handle({
				type: 'peer-updates', updates: [{
					identity, report: reportOf(`${identity}-${incarnation}`), ageMilliseconds: 0, suspects: [], crash: undefined,
				}],
			});
			const attemptId = this._placeOn(vm, identity, fingerprint);
			this.sendUpdates(vm, vm.fail(attemptId, 'reset-after-sending'));
		}
	}

	sendUpdates(from: EngineDriver, effects: readonly CallEffect[]): void {
		const updates = updatesIn(effects);
		for (const vm of this.vms) {
			if (vm !== from && updates.length > 0) {
				vm.handle({type: 'peer-updates', updates});
			}
		}
	}

	quarantinedAt(index: number): string[] {
		const vm = this.vms[index]!;
		return vm.engine.status(vm.now).quarantined.map(entry => entry.fingerprint);
	}

	/** Sends the call repeatedly until it is placed on the backend server; its caller cancels the other tries. */
	private _placeOn(vm: EngineDriver, identity: string, fingerprint: string): number {
		for (;;) {
			const start = vm.start(requestOf(this._nextCallId++, {fingerprint}))!;
			if (start.identity === identity) {
				vm.sent(start.attemptId);
				return start.attemptId;
			}

			vm.handle({type: 'caller-gone', callId: start.callId});
		}
	}
}

describe('calls that crash backend servers', () => {
	it('quarantines only the call that is common to two crashes, on every VM', () => {
		// A caller repeats a call that crashes every backend server, through any VM. Each VM sees one reset, along with resets
		// of other calls, and cannot identify the harmful call alone; the crashes of all VMs have only that call in common.
		const fleet = new Fleet(4);
		fleet.crash('identity-1', ['killer', 'innocent-1', 'innocent-2'], 1);
		expect(fleet.quarantinedAt(0)).toEqual([]);
		fleet.crash('identity-4', ['innocent-3', 'killer', 'innocent-4'], 1);
		expect(fleet.vms.map((_, index) => fleet.quarantinedAt(index))).toEqual([['killer'], ['killer'], ['killer'], ['killer']]);
		const effects = fleet.vms[3]!.handle({type: 'call-arrived', request: requestOf(9000, {fingerprint: 'killer'})});
		expect(linesOf(effects)).toEqual(['refuse quarantined not-run 403', 'call-ended']);
	});

	it('clears a frequent call that was in flight at two crashes once it is answered', () => {
		// A frequent harmless call is in flight at both crashes, together with the harmful one. With two calls in common,
		// neither is quarantined. An answer clears the harmless call, which leaves the harmful one.
		const fleet = new Fleet(2);
		fleet.crash('identity-1', ['killer', 'schedule'], 1);
		fleet.crash('identity-4', ['schedule', 'killer'], 1);
		expect(fleet.quarantinedAt(0)).toEqual([]);
		const vm = fleet.vms[0]!;
		const start = vm.start(requestOf(9000, {fingerprint: 'schedule'}))!;
		vm.sent(start.attemptId);
		vm.answer(start.attemptId);
		expect(fleet.quarantinedAt(0)).toEqual(['killer']);
	});

	it('counts a crash that several VMs report once, and ends the quarantine in time', () => {
		// Sixteen VMs report the same crash of one process. Counted sixteen times, it would quarantine all calls in flight.
		// The quarantine must end, since the backend servers may have been repaired.
		const suspects = new PoisonRequestDetector(1000);
		for (let vm = 0; vm < 16; vm++) {
			suspects.addSuspects(PoisonRequestDetector.crashIdentity('identity-1', 'process-1'), ['a', 'b'], vm);
		}

		expect(suspects.quarantined(20)).toEqual([]);
		suspects.addSuspects(PoisonRequestDetector.crashIdentity('identity-2', 'process-9'), ['a', 'c'], 20);
		expect(suspects.isQuarantined('a', 30)).toEqual(true);
		expect(suspects.isQuarantined('a', 1100)).toEqual(false);
	});

	it('bounds its memory when callers send many fingerprints', () => {
		// A thousand crashes with different calls in flight. Guards against memory that grows with the calls of callers.
		const suspects = new PoisonRequestDetector(1_000_000);
		for (let crash = 0; crash < 1000; crash++) {
			suspects.addSuspects(`crash-${crash}`, Array.from({length: 100}, (_, index) => `print-${crash}-${index}`), crash);
		}

		expect(suspects.isSuspect('print-0-0')).toEqual(false);
		expect(suspects.isSuspect('print-999-0')).toEqual(true);
		expect(suspects.size).toBeLessThanOrEqual(256 * 64);
	});

	it('places no other call on a backend server that runs a suspect', () => {
		// If the suspect crashes the backend server, other calls there would be lost and become suspects as well.
		const driver = new EngineDriver(configurationOf(3));
		driver.handle({
			type: 'peer-updates', updates: [{
				identity: 'identity-9', report: undefined, ageMilliseconds: 0, suspects: ['suspect', 'other'], crash: 'identity-9/process-1',
			}],
		});
		const suspect = driver.start(requestOf(1, {fingerprint: 'suspect'}))!;
		const beside = Array.from({length: 30}, (_, index) => driver.start(requestOf(10 + index))!.identity);
		expect(beside.includes(suspect.identity)).toEqual(false);
		const other = driver.start(requestOf(100, {fingerprint: 'other'}))!;
		expect(other.identity === suspect.identity).toEqual(false);
	});
});
