import {expect} from 'earl';
import {
	type CallEngine, type CallEngineStatus, type CallLoad, type CallEvent, type CallRequest,
} from './types.ts';
import {WakeGuard} from './wake-guard.ts';

const request: CallRequest = {
	callId: 1,
	service: 'reads',
	caller: 'portal',
	method: 'GET',
	fingerprint: 'print',
	timeoutMilliseconds: 1000,
	bodyBytes: 0,
	idempotencyKey: undefined,
	mayRetry: true,
};

/** Records the type and time of each event. */
class RecordingEngine implements CallEngine {
	readonly log: string[] = [];

	handle(event: CallEvent, now: number): [] {
		this.log.push(`${event.type} at ${now}`);
		return [];
	}

	nextWakeUp(): undefined {
		return undefined;
	}

	load(): CallLoad {
		return {callsInFlight: 0, callsQueued: 0, inFlightOfServices: new Map()};
	}

	status(): CallEngineStatus {
		return {
			configurationVersion: 1, callsInFlight: 0, callsQueued: 0, backendServers: [], quarantined: [],
		};
	}
}

describe('wake guard', () => {
	it('handles pending updates before calls after a pause', function () {
		// Guards calls after a pause of the VM against state that is as old as the pause.
		const engine = new RecordingEngine();
		const guard = new WakeGuard(engine);
		guard.handle({type: 'tick'}, 0);
		guard.handle({type: 'call-arrived', request}, 10_000);
		guard.handle({type: 'backend-server-leaving', identity: 'identity-1', instance: 'first'}, 10_001);
		guard.handle({type: 'key-claimed', callId: 2, claim: {type: 'granted'}}, 10_002);
		expect(guard.nextWakeUp()).toEqual(10_500);
		for (let due = guard.nextWakeUp(); due === 10_500; due = guard.nextWakeUp()) {
			guard.handle({type: 'tick'}, due);
		}

		expect(engine.log).toMatchSnapshot(this);
	});

	it('never holds events of attempts', function () {
		// The VM is paused while it opens a connection; afterwards the call is sent although its deadline has passed. If the
		// engine handled the deadline first, it would refuse a running call as "not run". If it got the head of the answer
		// late, the adapter would drop the body, and the caller would wait forever.
		const engine = new RecordingEngine();
		const guard = new WakeGuard(engine);
		guard.handle({type: 'tick'}, 0);
		guard.handle({type: 'tick'}, 10_000);
		guard.handle({type: 'attempt-sent', attemptId: 1}, 10_000);
		guard.handle({
			type: 'attempt-head', attemptId: 1, status: 200, report: undefined, isDeclaredNotRun: false, validator: undefined,
		}, 10_001);
		guard.handle({type: 'tick'}, 10_500);
		expect(engine.log).toMatchSnapshot(this);
	});

	it('holds no events without a pause, busy or idle', function () {
		const engine = new RecordingEngine();
		const guard = new WakeGuard(engine);
		guard.handle({type: 'tick'}, 0);
		guard.handle({type: 'tick'}, guard.nextWakeUp());
		guard.handle({type: 'call-arrived', request}, 1400);
		expect(engine.log).toMatchSnapshot(this);
	});
});
