import {expect} from 'earl';
import {seededRandom} from '../../random/random.ts';
import {
	EngineDriver, configurationOf, linesOf, reportOf, requestOf,
} from '../engine-driver.test.ts';
import {type CallEffect, type LoadUpdate} from '../types.ts';
import {PoisonRequestDetector, type PoisonRequestListener} from './poison-request-detector.ts';

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

	/**
	 * Places each call through one of the VMs on the backend server and resets its connection, as in a crash. Then another
	 * process reports.
	 */
	crash(identity: string, fingerprints: readonly string[], incarnation: number): void {
		this.passTime(500);
		for (const [index, fingerprint] of fingerprints.entries()) {
			const vm = this.vms[index % this.vms.length]!;
			this._report(vm, identity, incarnation);
			const attemptId = this._placeOn(vm, identity, fingerprint);
			this.sendUpdates(vm, vm.fail(attemptId, 'reset-after-sending'));
		}

		for (const vm of this.vms.slice(0, fingerprints.length)) {
			this.sendUpdates(vm, this._report(vm, identity, incarnation + 1));
		}
	}

	passTime(milliseconds: number): void {
		for (const vm of this.vms) {
			vm.now += milliseconds;
		}
	}

	sendUpdates(from: EngineDriver, effects: readonly CallEffect[]): void {
		const updates = updatesIn(effects);
		for (const vm of this.vms) {
			if (vm !== from && updates.length > 0) {
				this.sendUpdates(vm, vm.handle({type: 'peer-updates', updates}));
			}
		}
	}

	quarantinedAt(index: number): string[] {
		const vm = this.vms[index]!;
		return vm.engine.status(vm.now).quarantined.map(entry => entry.fingerprint);
	}

	private _report(vm: EngineDriver, identity: string, incarnation: number): readonly CallEffect[] {
		return vm.handle({
			type: 'peer-updates', updates: [{
				identity, report: reportOf(`${identity}-${incarnation}`), ageMilliseconds: 0, suspects: [], crash: undefined,
			}],
		});
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

/** A detector without listeners, or with those given. */
function detectorOf(retentionMilliseconds: number, listener: Partial<PoisonRequestListener> = {}): PoisonRequestDetector {
	return new PoisonRequestDetector(retentionMilliseconds, {
		onChange: () => undefined, onCrashEvidence: () => undefined, onCleared: () => undefined, ...listener,
	});
}

describe('calls that crash backend servers', () => {
	// Guards against each VM seeing one reset, along with those of harmless calls, and none of them seeing what is common.
	it('quarantines only the call that is common to three crashes, on every VM', () => {
		const fleet = new Fleet(4);
		fleet.crash('identity-1', ['killer', 'innocent-1', 'innocent-2'], 1);
		fleet.crash('identity-4', ['innocent-3', 'killer', 'innocent-4'], 1);
		expect(fleet.vms.map((_, index) => fleet.quarantinedAt(index))).toEqual([[], [], [], []]);
		fleet.crash('identity-2', ['innocent-5', 'innocent-6', 'killer'], 1);
		expect(fleet.vms.map((_, index) => fleet.quarantinedAt(index))).toEqual([['killer'], ['killer'], ['killer'], ['killer']]);
		const refusalAfter = (milliseconds: number) => {
			fleet.passTime(milliseconds);
			return linesOf(fleet.vms[3]!.handle({type: 'call-arrived', request: requestOf(9000 + milliseconds, {fingerprint: 'killer'})}));
		};

		expect([refusalAfter(0), refusalAfter(1000)]).toEqual([['refuse suspected not-run 503', 'call-ended'], ['refuse quarantined not-run 400', 'call-ended']]);
	});

	// Guards against a harmless call that is in flight at the same crashes: with two calls in common, neither is quarantined.
	it('clears a frequent call that was in flight at all crashes once it is answered, on every VM', () => {
		const fleet = new Fleet(2);
		fleet.crash('identity-1', ['killer', 'schedule'], 1);
		fleet.crash('identity-4', ['schedule', 'killer'], 1);
		fleet.crash('identity-2', ['killer', 'schedule'], 1);
		expect([fleet.quarantinedAt(0), fleet.quarantinedAt(1)]).toEqual([[], []]);
		fleet.passTime(500);
		const vm = fleet.vms[0]!;
		const start = vm.start(requestOf(9000, {fingerprint: 'schedule'}))!;
		vm.sent(start.attemptId);
		vm.head(start.attemptId);
		fleet.sendUpdates(vm, vm.handle({type: 'attempt-done', attemptId: start.attemptId}));
		expect([fleet.quarantinedAt(0), fleet.quarantinedAt(1)]).toEqual([['killer'], ['killer']]);
	});

	// Guards against one crash that counts once for each VM that reports it, and against a quarantine without an end.
	it('counts a crash that several VMs report once, and ends the quarantine in time', () => {
		const suspects = detectorOf(1000);
		for (let vm = 0; vm < 16; vm++) {
			suspects.applyPeerCrash({crash: 'identity-1', server: 'identity-1', suspects: ['a', `b-${vm}`]}, vm, vm);
		}

		suspects.applyPeerCrash({crash: 'identity-2', server: 'identity-2', suspects: ['a', 'c']}, 20, 20);
		expect(suspects.quarantined(20)).toEqual([]);
		suspects.applyPeerCrash({crash: 'identity-3', server: 'identity-3', suspects: ['a', 'd']}, 25, 25);
		expect(suspects.isQuarantined('a', 30)).toEqual(true);
		expect(suspects.isQuarantined('a', 1100)).toEqual(false);
	});

	// Guards against memory that grows with the calls of callers.
	it('bounds its memory when callers send many fingerprints', () => {
		const suspects = detectorOf(1_000_000);
		for (let crash = 0; crash < 1000; crash++) {
			suspects.applyPeerCrash({
				crash: `crash-${crash}`, server: 'server', suspects: Array.from({length: 100}, (_, index) => `print-${crash}-${index}`),
			}, crash, crash);
		}

		expect(suspects.isSuspect('print-0-0')).toEqual(false);
		expect(suspects.isSuspect('print-999-0')).toEqual(true);
		expect(suspects.size).toBeLessThanOrEqual(256 * 64);
	});

	// Guards against a quarantine that is forgotten because many other backend servers crash.
	it('keeps the crashes that support a quarantine when others fill its memory', () => {
		const suspects = detectorOf(1_000_000);
		for (let crash = 0; crash < 600; crash++) {
			suspects.applyPeerCrash({crash: `crash-${crash}`, server: 'server', suspects: crash < 3 ? ['killer'] : [`print-${crash}`]}, crash, crash);
		}

		expect([suspects.isQuarantined('killer', 700), suspects.isSuspect('killer')]).toEqual([true, true]);
	});

	// Guards against calls that are lost, and come under suspicion, since they run beside a suspect.
	it('places no other call on a backend server that runs a suspect', () => {
		const driver = new EngineDriver(configurationOf(3));
		driver.handle({
			type: 'peer-updates', updates: [{
				identity: 'identity-9', report: undefined, ageMilliseconds: 0, suspects: ['suspect', 'other'], crash: 'identity-9/process-1', isCrashCertain: true,
			}],
		});
		const suspect = driver.start(requestOf(1, {fingerprint: 'suspect'}))!;
		const beside = Array.from({length: 30}, (_, index) => driver.start(requestOf(10 + index))!.identity);
		expect(beside.includes(suspect.identity)).toEqual(false);
		const other = driver.start(requestOf(100, {fingerprint: 'other'}))!;
		expect(other.identity === suspect.identity).toEqual(false);
	});

	// Guards against a caller with several addresses, which would need three crashes for each.
	it('quarantines a call for all callers if it came from several and was answered to none', () => {
		const suspects = detectorOf(100_000);
		for (const caller of [1, 2, 3]) {
			suspects.applyPeerCrash({crash: `crash-${caller}`, server: 'server', suspects: [`call.${caller}`, `other-${caller}.7`]}, caller, caller);
		}

		expect([suspects.isQuarantined('call.9', 5), suspects.isQuarantined('other-1.7', 5)]).toEqual([true, false]);
	});

	// Guards against a caller with several addresses, whose calls would run beside one another on one VM.
	it('holds back the same call of another caller while one that is likely harmful runs', () => {
		const suspects = detectorOf(100_000);
		for (const caller of [1, 2]) {
			suspects.applyPeerCrash({crash: `crash-${caller}`, server: 'server', suspects: [`call.${caller}`]}, caller, caller);
		}

		suspects.recordStart('call.3');
		expect([suspects.isHeld('call.4', 1000), suspects.isHeld('other.4', 1000)]).toEqual([true, false]);
		suspects.recordEnd('call.3');
		expect(suspects.isHeld('call.4', 1000)).toEqual(false);
	});

	// Guards against calls that wait in vain, since only the same call of any caller is quarantined and not that of their own.
	it('refuses waiting calls at once when the same call of any caller is quarantined', () => {
		const driver = new EngineDriver(configurationOf(3));
		driver.handle({type: 'placing-held', isHeld: true});
		driver.handle({type: 'call-arrived', request: requestOf(1, {fingerprint: 'call.4'})});
		const effects = driver.handle({
			type: 'peer-updates', updates: [1, 2, 3].map(caller => ({
				identity: `gone-${caller}`, report: undefined, ageMilliseconds: 0, suspects: [`call.${caller}`], crash: `gone-${caller}`, isCrashCertain: true,
			})),
		});
		expect(linesOf(effects).filter(line => line.startsWith('refuse'))).toEqual(['refuse suspected not-run 503']);
	});

	// Guards against a harmless call that is refused, or clears the harmful one, since another caller sends the same.
	it('tells callers apart once the same call of another caller was answered', () => {
		const suspects = detectorOf(100_000);
		suspects.applyPeerCrash({crash: 'crash-1', server: 'server', suspects: ['call.harmful']}, 1, 1);
		suspects.recordAnswer('call.harmless', 1500);
		suspects.applyPeerCrash({crash: 'crash-2', server: 'server', suspects: ['call.harmful']}, 3000, 3000);
		suspects.recordAnswer('call.harmless', 4500);
		suspects.applyPeerCrash({crash: 'crash-3', server: 'server', suspects: ['call.harmful']}, 6000, 6000);
		expect([suspects.isQuarantined('call.harmful', 6500), suspects.isQuarantined('call.harmless', 6500)]).toEqual([true, false]);
	});

	// Guards against a call that is harmful only since a release: all its callers were answered before.
	it('quarantines a call for all callers although it was answered to them before its crashes', () => {
		const suspects = detectorOf(100_000);
		for (const caller of [1, 2, 3, 4]) {
			suspects.recordAnswer(`call.${caller}`, 0);
		}

		for (const caller of [1, 2, 3]) {
			suspects.applyPeerCrash({crash: `crash-${caller}`, server: 'server', suspects: [`call.${caller}`]}, 5000, 5000);
		}

		expect([1, 2, 3, 4, 5].map(caller => suspects.isQuarantined(`call.${caller}`, 5001))).toEqual([true, true, true, false, true]);
	});

	// Guards against a reset that counts as a crash although the backend server goes on.
	it('forgets a reset once its backend server responds to something sent later', () => {
		const suspects = detectorOf(1000);
		suspects.recordReset('identity-1', 'identity-1', 'a', 10);
		suspects.refuteCrash('identity-1', 5);
		expect(suspects.isSuspect('a')).toEqual(true);
		suspects.refuteCrash('identity-1', 11);
		expect(suspects.isSuspect('a')).toEqual(false);
	});

	// Guards against a call that crashes one backend server after another while no sign confirms that they have ended.
	it('holds a call back while two of its resets are undecided, for two seconds', () => {
		const suspects = detectorOf(100_000);
		suspects.recordReset('identity-1', 'identity-1', 'a', 10);
		expect(suspects.isHeld('a', 20)).toEqual(false);
		suspects.recordReset('identity-2', 'identity-2', 'a', 20);
		expect([suspects.isHeld('a', 30), suspects.isHeld('a', 3000)]).toEqual([true, false]);
	});

	// Guards against a quarantine that outlasts its grounds: the harmful call was found only later.
	it('ends a quarantine on later evidence that another call was in flight at the same crashes and more', () => {
		const changes: string[] = [];
		const suspects = detectorOf(100_000, {
			onChange(change) {
				changes.push(change.kind === 'crash' ? change.kind : `${change.kind} ${change.fingerprint}`);
			},
		});
		for (const crash of [1, 2, 3]) {
			suspects.applyPeerCrash({crash: `crash-${crash}`, server: 'server', suspects: ['innocent']}, crash, crash);
		}

		expect(suspects.isQuarantined('innocent', 5)).toEqual(true);
		for (const crash of [4, 3, 2, 1]) {
			suspects.applyPeerCrash({crash: `crash-${crash}`, server: 'server', suspects: ['killer']}, crash, 10);
		}

		suspects.applyPeerCrash({crash: 'crash-5', server: 'server', suspects: ['killer']}, 11, 11);
		suspects.applyPeerCrash({crash: 'crash-6', server: 'server', suspects: ['killer']}, 12, 12);
		expect([suspects.isQuarantined('innocent', 13), suspects.isQuarantined('killer', 13)]).toEqual([false, true]);
		expect(changes.filter(change => change !== 'crash')).toEqual(['quarantined innocent', 'cleared innocent', 'quarantined killer']);
	});

	// Guards against VMs that reach different verdicts, since the same evidence came to them in another order.
	it('reaches the same verdicts whatever the order of the evidence', () => {
		const different: number[] = [];
		for (let seed = 1; seed <= 60; seed++) {
			const random = seededRandom(seed);
			const evidence = Array.from({length: 12}, (_, crash) => Array.from({length: 1 + Math.floor(random.next() * 4)}, () => ({
				crash: `crash-${crash}`, server: 'server', suspects: [`call-${Math.floor((random.next() ** 2) * 8)}`],
			}))).flat();
			const verdicts = [1, 2, 3].map(() => {
				const suspects = detectorOf(100_000);
				for (const one of evidence.map(item => ({item, place: random.next()})).toSorted((left, right) => left.place - right.place)) {
					suspects.applyPeerCrash(one.item, 1, 1);
				}

				return suspects.quarantined(2).map(({fingerprint}) => fingerprint).toSorted().join(' ');
			});
			if (new Set(verdicts).size > 1) {
				different.push(seed);
			}
		}

		expect(different).toEqual([]);
	});
});
