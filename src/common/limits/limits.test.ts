import {expect} from 'earl';
import {type OrganisationInForce} from '../organisations/types.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {seededRandom} from '../random/random.ts';
import {Limits} from './limits.ts';
import {type LimitMessage} from './messages.ts';
import {type LimitEffect} from './types.ts';

const organisations = new Map<string, OrganisationInForce>([
	['bank', {name: 'bank', limit: {callsPerSecond: 30, burst: 30}}],
	...Array.from({length: 40}, (_, index): [string, OrganisationInForce] => [`o${index}`, {name: `o${index}`, limit: {callsPerSecond: 9, burst: 9}}]),
]);
const slots = [0, 1, 2].map(slot => ({slot, address: `vm-${slot}:9`, dataCentre: `dc-${slot}`}));

class Vm {
	now = 0;
	private _nextCall = 0;
	private readonly _limits = new Limits({dataCentre: 'dc-1', random: seededRandom(3), hash: testHash});

	constructor() {
		this.handle({type: 'configured', version: 1, organisations});
		this.handle({type: 'limit-slots', slots, own: []});
	}

	handle(event: Parameters<Limits['handle']>[0]): LimitEffect[] {
		return [...this._limits.handle(event, this.now)];
	}

	call(organisation = 'bank'): LimitEffect[] {
		this._nextCall += 1;
		return this.handle({
			type: 'token-wanted', callId: this._nextCall, organisation, withinMilliseconds: 5000,
		});
	}

	wait(milliseconds: number): LimitEffect[] {
		const effects: LimitEffect[] = [];
		const end = this.now + milliseconds;
		for (let at = this._limits.nextWakeUp(); at !== undefined && at <= end; at = this._limits.nextWakeUp()) {
			this.now = Math.max(this.now, at);
			effects.push(...this.handle({type: 'tick'}));
		}

		this.now = end;
		return effects;
	}

	/** Answers the ask in `effects`. */
	answer(effects: readonly LimitEffect[], count: number, retryAfter = 0): LimitEffect[] {
		const {to, message} = asks(effects)[0]!;
		return this.handle({
			type: 'datagram', from: to, message: {
				kind: 'grant', id: message.id, slot: message.slot, grants: message.wants.map(([name]) => [name, count, retryAfter]),
			},
		});
	}
}

type Sent = {readonly to: string; readonly message: Extract<LimitMessage, {kind: 'ask'}>};

function asks(effects: readonly LimitEffect[]): Sent[] {
	return effects.flatMap(effect => effect.type === 'send-datagram' && effect.message.kind === 'ask' ? [{to: effect.to, message: effect.message}] : []);
}

function results(effects: readonly LimitEffect[]): unknown[][] {
	return effects.flatMap((effect): unknown[][] => {
		if (effect.type === 'call-allowed') {
			return [[effect.callId, 'allowed', effect.record.slot]];
		}

		return effect.type === 'call-refused' ? [[effect.callId, effect.reason, effect.record.refusedBy, effect.record.unansweredBy]] : [];
	});
}

describe('Limits', () => {
	it('asks the holder in its own data centre, one request at a time, and runs the calls that got tokens', () => {
		const vm = new Vm();
		const first = vm.call();
		expect(asks(first).map(({to, message}) => [to, message.wants])).toEqual([['vm-1:9', [['bank', 1, 0]]]]);
		expect([...vm.call(), ...vm.call()]).toEqual([]);
		const answered = vm.answer(first, 1);
		expect(results(answered)).toEqual([[1, 'allowed', 1]]);
		expect(asks(answered)[0]!.message.wants).toEqual([['bank', 2, 0]]);
	});

	// Guards against calls that are refused while another holder has a token, and against waits above the limit.
	it('refuses a call once all holders have refused it, and further ones without a request', () => {
		const vm = new Vm();
		const second = vm.answer(vm.call(), 0, 90);
		const third = vm.answer(second, 0, 40);
		expect(new Set([...asks(second), ...asks(third)].map(({to}) => to))).toEqual(new Set(['vm-0:9', 'vm-2:9']));
		const refused = vm.answer(third, 0, 70);
		expect(results(refused)).toEqual([[1, 'over-limit', [1, asks(second)[0]!.message.slot, asks(third)[0]!.message.slot], []]]);
		expect(refused.map(effect => effect.type === 'call-refused' && effect.retryAfterMilliseconds)).toEqual([40]);
		expect(vm.call().map(effect => effect.type === 'call-refused' && Math.round(effect.retryAfterMilliseconds))).toEqual([73]);
		vm.wait(41);
		expect(asks(vm.call()).length).toEqual(1);
	});

	// Guards against calls that wait for a dead holder, and against an outcome other than "not run, try again".
	it('goes on to another holder after 60 ms, and refuses the call after 250 ms without any answer', () => {
		const vm = new Vm();
		const first = vm.call();
		expect(asks(vm.wait(59))).toEqual([]);
		const next = vm.wait(1);
		expect([asks(first)[0]!.to, asks(next).length]).toEqual(['vm-1:9', 1]);
		const end = vm.wait(190);
		expect(results(end).map(([callId, reason, refusedBy]) => [callId, reason, refusedBy])).toEqual([[1, 'limits-unavailable', []]]);
	});

	// Guards against tokens that are lost with a slow answer, and against answers that are used twice.
	it('uses a late answer once', () => {
		const vm = new Vm();
		const first = vm.call();
		vm.wait(70);
		expect(results(vm.answer(first, 1))).toEqual([[1, 'allowed', 1]]);
		vm.call();
		expect(results(vm.answer(first, 1))).toEqual([]);
	});

	// Guards against tokens that are lost with calls that left or did not run.
	it('uses the token of a call that did not run for the next call, or returns it', () => {
		const vm = new Vm();
		vm.answer(vm.call(), 1);
		vm.handle({type: 'call-ended', callId: 1, hasRun: false});
		expect(results(vm.call())).toEqual([[2, 'allowed', 1]]);
		vm.handle({type: 'call-ended', callId: 2, hasRun: false});
		vm.handle({type: 'call-ended', callId: 2, hasRun: false});
		expect(asks(vm.wait(250))[0]!.message.wants).toEqual([['bank', 0, 1]]);
	});

	it('prefetches tokens for the calls of the next 100 ms and returns those that it does not use', () => {
		const vm = new Vm();
		let wanted = 0;
		for (let call = 0; call < 60 || wanted < 4; call += 1) {
			const effects = vm.call();
			wanted = asks(effects)[0]?.message.wants[0]![1] ?? 0;
			if (wanted > 0) {
				vm.answer(effects, wanted);
			}

			vm.wait(25);
		}

		expect(asks(vm.wait(400)).map(({message}) => message.wants)).toEqual([[['bank', 0, wanted - 1]]]);
	});

	// Guards against datagrams that do not fit a frame and are lost.
	it('splits requests for many organisations', () => {
		const vm = new Vm();
		const first = vm.call('bank');
		for (let index = 0; index < 40; index += 1) {
			vm.call(`o${index}`);
		}

		const {message} = asks(vm.answer(first, 1))[0]!;
		expect(message.wants.length).toEqual(32);
		expect(JSON.stringify(message).length).toBeLessThanOrEqual(1200);
	});

	// Guards against grants after the lease of a slot ended, and after a pause in which it may have ended unnoticed.
	it('grants only within its right, and after a pause only with a renewed right', () => {
		const vm = new Vm();
		const askOwn = (id: number) => vm.handle({
			type: 'datagram', from: 'vm-9:9', message: {
				kind: 'ask', id, slot: 0, wants: [['bank', 1, 0]],
			},
		}).map(effect => effect.type === 'send-datagram' && effect.message.kind === 'grant' ? effect.message.grants[0]![1] : effect.type === 'send-datagram' && effect.message.kind);
		vm.handle({type: 'limit-slots', slots, own: [{slot: 0, from: 100, until: 9600}]});
		expect(askOwn(1)).toEqual(['not-holder']);
		vm.now = 1100;
		expect(askOwn(2)).toEqual([1]);
		vm.handle({type: 'woke'});
		vm.handle({type: 'limit-slots', slots, own: [{slot: 0, from: 100, until: 9600}]});
		expect(askOwn(3)).toEqual(['not-holder']);
		vm.handle({type: 'limit-slots', slots, own: [{slot: 0, from: 1100, until: 10_600}]});
		vm.now = 1300;
		expect(askOwn(4)).toEqual([1]);
		vm.now = 10_600;
		expect(askOwn(5)).toEqual(['not-holder']);
	});

	// Guards against a holder that loops over its own slot when its right has ended.
	it('asks itself without a datagram while its right lasts', () => {
		const vm = new Vm();
		vm.handle({type: 'limit-slots', slots: [{...slots[1]!}], own: [{slot: 1, from: 0, until: 5000}]});
		vm.now = 1000;
		expect(results(vm.call())).toEqual([[1, 'allowed', 1]]);
		vm.now = 5000;
		expect(asks(vm.call()).length).toEqual(1);
		expect(results(vm.wait(250)).length).toEqual(1);
	});

	// Guards against calls that run without a token where the VM cannot reach any holder by design.
	it('refuses all calls of limited organisations without an endpoint and logs it once per version', () => {
		const limits = new Limits();
		const configured = {type: 'configured', version: 1, organisations} as const;
		const effects = [...limits.handle(configured, 0), ...limits.handle(configured, 0), ...limits.handle({
			type: 'token-wanted', callId: 1, organisation: 'bank', withinMilliseconds: 1000,
		}, 0)];
		expect(effects.map(effect => effect.type)).toEqual(['log', 'call-refused']);
	});

	// Guards against calls that wait in vain when their limit or their organisation is removed.
	it('settles waiting calls whose limit or organisation is removed', () => {
		const vm = new Vm();
		vm.call('bank');
		vm.call('o1');
		const effects = vm.handle({type: 'configured', version: 2, organisations: new Map([['bank', {name: 'bank'}]])});
		expect(results(effects)).toEqual([[1, 'allowed', undefined], [2, 'limits-unavailable', [], []]]);
	});
});
