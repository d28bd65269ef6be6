import {expect} from 'earl';
import {DefaultCallEngine} from '../calls/call-engine.ts';
import {FleetCoordinator} from '../fleet/fleet-coordinator.ts';
import {FakeStore} from '../fleet/fake-store.test.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type FleetSettings} from '../fleet/types.ts';
import {resourceSchema} from '../model/resources.ts';
import {type Instant} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {EntryVm} from './entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from './types.ts';

const settings: FleetSettings = {
	identity: 'vm-1', peerAddress: 'vm-1:1', callAddress: 'vm-1:2', dataCentre: 'north', seeds: [], defaultPeerPort: 1,
	shareSlots: 24, shareLeaseMilliseconds: 9000, addressTtlMilliseconds: 3000, minSubsetSize: 16,
};

type Recorded = {readonly event: EntryVmEvent; readonly at: Instant};

/** An entry VM whose store replies at once; records all events that the VM handles and all its effects. */
class RecordedVm {
	readonly recorded: Recorded[] = [];
	readonly effects: EntryVmEffect[] = [];
	private readonly _store = new FakeStore();
	private readonly _vm: EntryVm;
	private _now: Instant = 0;

	constructor(seed: number) {
		const random = seededRandom(seed);
		this._vm = new EntryVm(new DefaultCallEngine({random, settings: {dataCentre: 'north'}}), new FleetCoordinator(settings, random, testHash));
	}

	handle(event: EntryVmEvent): void {
		this.recorded.push({event, at: this._now});
		const effects = this._vm.handle(event, this._now);
		this.effects.push(...effects);
		for (const effect of effects) {
			if (effect.type === 'store' && effect.operation.type !== 'watch') {
				this.handle({type: 'store-replied', requestId: effect.requestId, reply: this._store.execute(effect.operation, this._now)});
			}
		}
	}

	run(milliseconds: number): void {
		const end = this._now + milliseconds;
		for (let at = this._vm.nextWakeUp(); at !== undefined && at <= end; at = this._vm.nextWakeUp()) {
			this._now = Math.max(this._now, at);
			this.handle({type: 'tick'});
		}

		this._now = end;
	}

	replay(recorded: readonly Recorded[]): void {
		for (const {event, at} of recorded) {
			this.effects.push(...this._vm.handle(event, at));
		}
	}
}

function declare(vm: RecordedVm): void {
	const resources = [
		{kind: 'service', name: 'spans'},
		...[1, 2].map(number => ({
			kind: 'backend-server', name: `spans-${number}`, service: 'spans', address: '10.0.0.1', port: 7000 + number, dataCentre: 'north',
		})),
	];
	vm.handle({
		type: 'operator-change',
		requestId: 1,
		change: {
			operationId: 'operation-1', who: 'anna', note: '', when: '2026-12-02T00:00:00Z',
			mutations: resources.map((resource, index) => ({
				type: 'put', resource: resourceSchema.parse(resource), expectedVersion: 0, newResourceIdentity: `identity-of-number-${index}.`.padEnd(22, 'x'),
			})),
		},
	});
}

function call(vm: RecordedVm, callId: number): void {
	vm.handle({
		type: 'call-arrived',
		request: {
			callId, service: 'spans', caller: 'portal', method: 'GET', fingerprint: `f${callId}`, timeoutMilliseconds: 1000, bodyBytes: 0,
			idempotencyKey: undefined, mayRetry: true,
		},
	});
}

function portsOfAttempts(vm: RecordedVm): number[] {
	return vm.effects.flatMap(effect => effect.type === 'start-attempt' ? [effect.port] : []);
}

function started(seed: number): RecordedVm {
	const vm = new RecordedVm(seed);
	vm.handle({type: 'started'});
	declare(vm);
	vm.run(10);
	return vm;
}

describe('EntryVm', () => {
	/*
	 * Guards against a run that cannot be reproduced, which happens if an engine reads the clock, draws unseeded random
	 * numbers or does I/O. Two entry VMs with the same seed and the same external events must return the same effects.
	 */
	it('returns the same effects for the same events and seed', () => {
		const first = started(20_261_202);
		for (let callId = 1; callId <= 50; callId += 1) {
			call(first, callId);
			first.run(3);
		}

		first.run(3000);
		const second = new RecordedVm(20_261_202);
		second.replay(first.recorded);
		expect(second.effects).toEqual(first.effects);
		expect(portsOfAttempts(first).length).toBeGreaterThanOrEqual(12);
	});

	/*
	 * Guards against calls to a backend server that is stopping. The server marks one answer as leaving, and the mark takes
	 * effect only for the call that received it. Later calls must go to other servers, and the fleet engine must receive the sign.
	 */
	it('forwards a leaving mark on an answer to both engines', () => {
		const vm = started(7);
		call(vm, 1);
		const [leaving] = portsOfAttempts(vm);
		const report = {
			inFlight: 1, queued: 0, slots: 6, instance: 'process-1', isLeaving: true,
		};
		vm.handle({type: 'attempt-sent', attemptId: 1});
		vm.handle({
			type: 'attempt-head', attemptId: 1, status: 200, report, isDeclaredNotRun: false, isReplayable: true, validator: undefined,
		});
		vm.handle({type: 'attempt-done', attemptId: 1});
		for (let callId = 2; callId <= 40; callId += 1) {
			call(vm, callId);
			vm.run(5);
		}

		expect(portsOfAttempts(vm).slice(1).filter(port => port === leaving)).toEqual([]);
	});
});
