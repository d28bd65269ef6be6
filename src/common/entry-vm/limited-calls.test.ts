import {expect} from 'earl';
import {DefaultCallEngine} from '../calls/call-engine.ts';
import {type CallConfiguration} from '../calls/types.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {Limits} from '../limits/limits.ts';
import {backendServerSchema, serviceSchema} from '../model/resources.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {seededRandom} from '../random/random.ts';
import {EntryVm, type FleetDecider} from './entry-vm.ts';
import {type EntryVmEffect} from './types.ts';

const server = backendServerSchema.parse({
	kind: 'backend-server', name: 'reads-1', service: 'reads', address: '10.0.0.1', port: 7001, dataCentre: 'north',
});
const configuration: CallConfiguration = {
	version: 1,
	services: new Map([['reads', serviceSchema.parse({kind: 'service', name: 'reads'})]]),
	backendServers: new Map([['reads-1', server]]),
	sharingRules: [],
	organisations: new Map([['bank', {name: 'bank', limit: {callsPerSecond: 3, burst: 3}}], ['free', {name: 'free'}]]),
};

/** Returns the effects that the test has put into it. */
class ScriptedFleet implements FleetDecider {
	readonly next: FleetEffect[] = [];

	handle(_event: FleetEvent): FleetEffect[] {
		return this.next.splice(0);
	}

	nextWakeUp(): undefined {
		return undefined;
	}
}

class TestVm {
	now = 0;
	private readonly _fleet = new ScriptedFleet();
	private readonly _vm: EntryVm<ScriptedFleet>;

	constructor(limits?: Limits) {
		const random = seededRandom(5);
		this._vm = new EntryVm(new DefaultCallEngine({random, settings: {dataCentre: 'north'}}), this._fleet, limits);
		this.fromFleet({type: 'configured', configuration});
	}

	handle(event: Parameters<EntryVm['handle']>[0]): EntryVmEffect[] {
		return [...this._vm.handle(event, this.now)];
	}

	fromFleet(...effects: FleetEffect[]): EntryVmEffect[] {
		this._fleet.next.push(...effects);
		return this.handle({type: 'started'});
	}

	call(callId: number, organisation: string | undefined): EntryVmEffect[] {
		return this.handle({
			type: 'call-arrived',
			request: {
				callId,
				service: 'reads',
				caller: 'c',
				method: 'GET',
				fingerprint: `f${callId}`,
				timeoutMilliseconds: 1000,
				bodyBytes: 0,
				idempotencyKey: undefined,
				mayRetry: true,
				...(organisation === undefined ? {} : {organisation}),
			},
		});
	}

	wait(milliseconds: number): EntryVmEffect[] {
		const effects: EntryVmEffect[] = [];
		const end = this.now + milliseconds;
		for (let at = this._vm.nextWakeUp(); at !== undefined && at <= end; at = this._vm.nextWakeUp()) {
			this.now = Math.max(this.now, at);
			effects.push(...this.handle({type: 'tick'}));
		}

		this.now = end;
		return effects;
	}
}

function newVm(): TestVm {
	return new TestVm(new Limits({dataCentre: 'north', random: seededRandom(6), hash: testHash}));
}

const remote: FleetEffect = {type: 'limit-slots', slots: [{slot: 0, address: '10.0.0.2:9', dataCentre: 'north'}], own: []};

function ownSlot(from: number): FleetEffect {
	return {type: 'limit-slots', slots: [{slot: 0, address: '10.0.0.1:9', dataCentre: 'north'}], own: [{slot: 0, from, until: from + 9500}]};
}

function described(effects: readonly EntryVmEffect[]): unknown[] {
	return effects.flatMap((effect): unknown[] => {
		switch (effect.type) {
			case 'refuse': {
				return [`${effect.callId} ${effect.status} ${effect.reason} ${effect.outcome} ${effect.retryAfterMilliseconds === undefined ? 'no retry' : 'retry'}`];
			}

			case 'call-ended': {
				return [`${effect.callId} ended ${effect.summary.outcome} after ${effect.summary.milliseconds} ms`];
			}

			case 'start-attempt': {
				return [`${effect.callId} starts with ${effect.timeoutMilliseconds} ms`];
			}

			default: {
				return [];
			}
		}
	});
}

describe('calls of organisations in the entry VM', () => {
	// Guards against a call of a limited organisation that runs without a token, and against waits for calls without a limit.
	it('holds only calls of organisations with a limit until they have a token', () => {
		const vm = newVm();
		vm.fromFleet(remote);
		const starts = [...vm.call(1, undefined), ...vm.handle({type: 'caller-gone', callId: 1}), ...vm.call(2, 'free'), ...vm.handle({type: 'caller-gone', callId: 2})];
		expect(starts.filter(effect => effect.type === 'start-attempt').length).toEqual(2);
		const [ask, ...others] = vm.call(3, 'bank');
		expect([ask?.type, others]).toEqual(['send-datagram', []]);
		vm.now = 20;
		const id = ask?.type === 'send-datagram' ? ask.message.id : 0;
		const started = vm.handle({
			type: 'datagram', from: '10.0.0.2:9', message: {
				kind: 'grant', id, slot: 0, grants: [['bank', 1, 0]],
			},
		});
		expect(described(started)).toEqual(['3 starts with 980 ms']);
	});

	// Guards against limits that do not hold on a VM that was wired without an endpoint.
	it('refuses calls of limited organisations without Limits', () => {
		expect(described(new TestVm().call(1, 'bank'))).toEqual(['1 503 limits-unavailable not-run retry', '1 ended not-run after 0 ms']);
	});

	// Guards against calls without a limit by a configuration newer than the one that identified the caller.
	it('refuses calls of organisations that the configuration no longer has', () => {
		expect(described(newVm().call(1, 'gone'))).toEqual(['1 503 limits-unavailable not-run retry', '1 ended not-run after 0 ms']);
	});

	it('refuses with 503 if no holder answers, and with 429 above the limit', () => {
		const vm = newVm();
		vm.fromFleet(remote);
		vm.call(1, 'bank');
		expect(described(vm.wait(250))).toEqual(['1 503 limits-unavailable not-run retry', '1 ended not-run after 250 ms']);
		vm.fromFleet(ownSlot(250));
		expect(described(vm.call(2, 'bank'))).toEqual(['2 429 over-limit not-run retry', '2 ended not-run after 0 ms']);
	});

	// Guards against a call that runs after its caller has disconnected, and against one that still waits for a token when the process ends.
	it('ends the wait when the caller leaves and when the process ends', () => {
		const vm = newVm();
		vm.fromFleet(remote);
		vm.call(1, 'bank');
		vm.call(2, 'bank');
		vm.now = 10;
		expect(described(vm.handle({type: 'caller-gone', callId: 1}))).toEqual(['1 ended not-run after 10 ms']);
		expect(described(vm.fromFleet({type: 'stage', stage: 'refusing'}))).toEqual(['2 503 stopping not-run retry', '2 ended not-run after 10 ms']);
		expect(described(vm.wait(300))).toEqual([]);
	});

	// Guards against tokens that are lost when a backend server refuses the connection.
	it('uses the token of a call that did not run for the next call', () => {
		const vm = newVm();
		vm.fromFleet(ownSlot(0));
		vm.now = 1000;
		expect(described(vm.call(1, 'bank')).length).toEqual(1);
		const ended = vm.handle({type: 'caller-gone', callId: 1}).find(effect => effect.type === 'call-ended');
		expect([ended?.summary.outcome, ended?.summary.limit]).toEqual(['not-run', {
			waitedMilliseconds: 0, slot: 0, refusedBy: [], unansweredBy: [],
		}]);
		expect(described(vm.call(2, 'bank')).length).toEqual(1);
		expect(described(vm.call(3, 'bank'))[0]).toEqual('3 429 over-limit not-run retry');
	});
});
