import {expect} from 'earl';
import {CrashSuspects} from './crash-suspects.ts';
import {
	EngineDriver, configurationOf, linesOf, reportOf, requestOf,
} from './engine-driver.test.ts';
import {type CallEffect, type LoadUpdate} from './types.ts';

function updatesIn(effects: readonly CallEffect[]): LoadUpdate[] {
	return effects.filter(effect => effect.type === 'tell-peers').map(effect => effect.update);
}

/** Several VMs that receive each other's updates at once. */
class Fleet {
	readonly vms: EngineDriver[];
	private _nextCallId = 1;

	constructor(count: number) {
		this.vms = Array.from({length: count}, (_, index) => new EngineDriver(configurationOf(6), {}, index + 1));
	}

	/** Places calls on one VM each, then crashes a backend server under those that were placed on it. */
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
				vm.handle({type: 'peer-updates', updates: updates});
			}
		}
	}

	quarantinedAt(index: number): string[] {
		const vm = this.vms[index]!;
		return vm.engine.status(vm.now).quarantined.map(entry => entry.fingerprint);
	}

	/** Sends the call until chance places it there; the others come through as calls of other fingerprints. */
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
	it('convicts the call that two crashes have in common, at every VM, and none that was beside it', () => {
		// A caller sends a call that crashes whichever backend server runs it, again and again, through any
		// VM. Each VM sees one reset, beside those of other calls in flight. One VM alone could convict
		// nobody; two crashes told among all leave only the guilty one in common.
		const fleet = new Fleet(4);
		fleet.crash('identity-1', ['killer', 'innocent-1', 'innocent-2'], 1);
		expect(fleet.quarantinedAt(0)).toEqual([]);
		fleet.crash('identity-4', ['innocent-3', 'killer', 'innocent-4'], 1);
		expect(fleet.vms.map((_, index) => fleet.quarantinedAt(index))).toEqual([['killer'], ['killer'], ['killer'], ['killer']]);
		const effects = fleet.vms[3]!.handle({type: 'call-arrived', request: requestOf(9000, {fingerprint: 'killer'})});
		expect(linesOf(effects)).toEqual(['refuse quarantined not-run 403', 'call-ended']);
	});

	it('clears a popular call that was beside the killer twice, once it comes through', () => {
		// Everybody asks for today's schedule, so it is in flight at both crashes, with the killer. Two calls
		// in common accuse neither. As soon as the schedule is answered anywhere it is cleared, which
		// leaves the killer.
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

	it('counts one crash once, however often and by whomever it is told, and forgets in time', () => {
		// Sixteen VMs tell of the same crash of one process. Counted sixteen times it would convict all that
		// were in flight. A backend server that was mended must get the call again some day.
		const suspects = new CrashSuspects(1000);
		for (let vm = 0; vm < 16; vm++) {
			suspects.accuse(CrashSuspects.crashIdentity('identity-1', 'process-1'), ['a', 'b'], vm);
		}

		expect(suspects.quarantined(20)).toEqual([]);
		suspects.accuse(CrashSuspects.crashIdentity('identity-2', 'process-9'), ['a', 'c'], 20);
		expect(suspects.isQuarantined('a', 30)).toEqual(true);
		expect(suspects.isQuarantined('a', 1100)).toEqual(false);
	});

	it('keeps bounded memory under a flood of fingerprints', () => {
		// A caller sends a thousand calls, each with its own body, through crashing backend servers. The
		// memory for suspicion must not grow with what callers send.
		const suspects = new CrashSuspects(1_000_000);
		for (let crash = 0; crash < 1000; crash++) {
			suspects.accuse(`crash-${crash}`, Array.from({length: 100}, (_, index) => `print-${crash}-${index}`), crash);
		}

		expect(suspects.isSuspect('print-0-0')).toEqual(false);
		expect(suspects.isSuspect('print-999-0')).toEqual(true);
		expect(suspects.size).toBeLessThanOrEqual(256 * 64);
	});

	it('places no other call beside one that may crash its backend server', () => {
		// A suspect read is tried again: had it company, the company would be lost if it kills, and look as
		// guilty as it does the second time.
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
