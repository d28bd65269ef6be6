import {expect} from 'earl';
import {seededRandom} from '../random/random.ts';
import {backendServerSchema, serviceSchema} from '../model/resources.ts';
import {DefaultCallEngine} from './call-engine.ts';
import {
	type CallConfiguration, type CallEffect, type CallEvent, type CallRequest,
} from './types.ts';

function configuration(serverCount: number, service: Record<string, unknown> = {}): CallConfiguration {
	const declared = serviceSchema.parse({kind: 'service', name: 'orders', ...service});
	const servers = Array.from({length: serverCount}, (_, index) => backendServerSchema.parse({
		kind: 'backend-server', name: `server-${index}`, service: 'orders', address: '127.0.0.1', port: 9000 + index, dataCentre: 'north',
	}));
	return {
		version: 1,
		services: new Map([['orders', declared]]),
		backendServers: new Map(servers.map((server, index) => [`identity-${index}`, server])),
		sharingRules: [],
	};
}

function request(callId: number, changes: Partial<CallRequest> = {}): CallRequest {
	return {
		callId,
		service: 'orders',
		caller: 'portal',
		method: 'POST',
		fingerprint: `print-${callId}`,
		timeoutMilliseconds: 1000,
		bodyBytes: 10,
		idempotencyKey: undefined,
		mayRetry: true,
		...changes,
	};
}

/** An engine with a list of what it said, for the snapshots. */
class Driver {
	readonly engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}});
	now = 0;

	constructor(configured: CallConfiguration) {
		this.handle({type: 'configured', configuration: configured});
	}

	handle(event: CallEvent): readonly CallEffect[] {
		return this.engine.handle(event, this.now);
	}

	/** Starts a call and gives the identity of its attempt. */
	start(callRequest: CallRequest): number {
		const effect = this.handle({type: 'call-arrived', request: callRequest}).find(one => one.type === 'start-attempt');
		return effect?.type === 'start-attempt' ? effect.attemptId : 0;
	}
}

function types(effects: readonly CallEffect[]): string[] {
	return effects.map(effect => effect.type === 'refuse' ? `refuse ${effect.reason} ${effect.outcome} ${effect.status}` : effect.type);
}

describe('call engine', () => {
	it('never starts an order again that may have run', () => {
		// A caller orders a circuit. The connection is cut after the order left, before an answer came.
		// The order may have been booked: sent again it could be booked twice, so the caller is told
		// that the outcome is unknown. Cause: no proof that it did not run.
		const driver = new Driver(configuration(5));
		const attemptId = driver.start(request(1));
		driver.handle({type: 'attempt-sent', attemptId});
		const effects = driver.handle({
			type: 'attempt-failed', attemptId, failure: 'reset-after-sending', isReplayable: true, bytesPassedOn: 0,
		});
		expect(types(effects)).toEqual(['tell-peers', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});

	it('places an order elsewhere when its connection was refused', () => {
		// A backend server dies; its port refuses connections. The caller sees no failure, since a
		// refused connection proves that nothing ran, and another backend server can run the order.
		const driver = new Driver(configuration(5));
		const attemptId = driver.start(request(1));
		const effects = driver.handle({
			type: 'attempt-failed', attemptId, failure: 'connection-refused', isReplayable: true, bytesPassedOn: 0,
		});
		expect(types(effects)).toEqual(['start-attempt']);
	});

	it('drops a late answer to an attempt that was given up', () => {
		// A call passes its deadline and is refused. Then its answer comes after all. It belongs to
		// nobody any more: passed on it would reach a caller that has had its final answer.
		const driver = new Driver(configuration(5));
		const attemptId = driver.start(request(1));
		driver.handle({type: 'attempt-sent', attemptId});
		driver.now = 1000;
		expect(types(driver.handle({type: 'tick'}))).toEqual(['cancel-attempt', 'refuse deadline-exceeded unknown 504', 'call-ended']);
		const late = driver.handle({
			type: 'attempt-head', attemptId, status: 200, report: undefined, isDeclaredNotRun: false, validator: undefined,
		});
		expect(late).toEqual([]);
	});

	it('says of a key that was claimed before that the outcome is unknown', () => {
		// A treasurer pays dues, gets no answer and sends the payment again with the same key through
		// another VM. The first sending may have run, so "not run" would be untrue of the payment.
		const driver = new Driver(configuration(5, {claimsIdempotencyKeys: true}));
		expect(types(driver.handle({type: 'call-arrived', request: request(1, {idempotencyKey: 'dues'})}))).toEqual(['claim-key']);
		expect(types(driver.handle({type: 'key-claimed', callId: 1, claim: {type: 'taken'}}))).toEqual(['refuse key-taken unknown 409', 'call-ended']);
	});
});
