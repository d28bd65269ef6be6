import {createServer, type Server} from 'node:http';
import {expect} from 'earl';
import {DefaultCallEngine} from '../../common/calls/call-engine.ts';
import {isCallEffect} from '../../common/entry-vm/entry-vm.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {backendServerSchema, serviceSchema} from '../../common/model/resources.ts';
import {JaydaleDialect} from '../../common/protocol/jaydale-dialect.ts';
import {seededRandom} from '../../common/random/random.ts';
import {ProcessClock} from '../clock.ts';
import {DeciderLoop} from '../decider-loop.ts';
import {listenOn} from '../listening.ts';
import {HeldMemory} from '../memory/held-memory.ts';
import {BackendConnections} from './backend-connections.ts';
import {CallEffectExecutor} from './call-effect-executor.ts';
import {HttpLoadProbeClient} from './http-load-probe-client.ts';
import {LiveCall} from './live-call.ts';
import {RequestBody} from './request-body.ts';
import {exchange} from './open-listener.test.ts';
import {limits, startRawServer} from './test-utilities.test.ts';
import {UnpausedAnswers} from './unpaused-answers.ts';

type Step = 'attemptHeaders' | 'parseAnswerHead' | 'answerHeaders';

/** Throws where a call passes one step. */
function createFailingDialect(step: Step): JaydaleDialect {
	return Object.assign(new JaydaleDialect(), {
		[step]() {
			throw new TypeError(step);
		},
	});
}

/** Starts a listener whose calls fail at a step; resolves with its port. */
async function startListener(owned: DisposableStore, backendPort: number, step: Step, exceptions: string[]): Promise<number> {
	const connections = owned.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
	const loop = owned.add(new DeciderLoop(new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}}), new ProcessClock()));
	const calls = owned.add(new CallEffectExecutor(loop, new HttpLoadProbeClient(connections, new JaydaleDialect()), {claim: () => undefined, release: async () => undefined}));
	owned.add(calls.onException(({error}) => {
		exceptions.push(String(error));
	}));
	loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			calls.execute(effect);
		}
	});
	const server = backendServerSchema.parse({
		kind: 'backend-server', name: 'orders-0', service: 'orders', address: '127.0.0.1', port: backendPort, dataCentre: 'north',
	});
	const service = serviceSchema.parse({
		kind: 'service', name: 'orders', timeoutMilliseconds: 1000, retryShare: 1,
	});
	loop.feed({
		type: 'configured',
		configuration: {
			version: 1, services: new Map([['orders', service]]), backendServers: new Map([['identity', server]]), sharingRules: [],
		},
	});
	const heldMemory = owned.add(new HeldMemory());
	const listener: Server = createServer((incoming, outgoing) => {
		const body = new RequestBody(incoming, limits, heldMemory.bodies);
		const request = {
			callId: 1, service: 'orders', caller: 'caller', method: 'GET', path: '/', fingerprint: 'f', timeoutMilliseconds: undefined, bodyBytes: 0, idempotencyKey: undefined, mayRetry: false,
		};
		body.read(() => {
			calls.admit(new LiveCall(request, {
				incoming, outgoing, path: '/', body, traceId: 't', dialect: createFailingDialect(step), stallMilliseconds: 1000, unpausedAnswers: new UnpausedAnswers(), answerBudget: heldMemory.answers,
			}, loop, connections), {type: 'call-arrived', request});
		}, () => undefined);
	});
	owned.add(toDisposable(() => {
		listener.close();
	}));
	const port = await listenOn(listener, 0, '127.0.0.1');
	return port._unsafeUnwrap();
}

describe('an exception in a call', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	// Guards callers against calls without an answer: undici drops the exception, and the engine waits for an event.
	for (const step of ['attemptHeaders', 'parseAnswerHead', 'answerHeaders'] as const) {
		it(`ends the call with an answer and is reported: ${step}`, async () => {
			const backendPort = await startRawServer(owned, socket => {
				socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'));
			});
			const exceptions: string[] = [];
			const port = await startListener(owned, backendPort, step, exceptions);
			const answer = await exchange(port, 'GET / HTTP/1.1\r\nhost: one.example\r\nconnection: close\r\n\r\n');
			expect([answer.split('\r\n')[0], exceptions]).toEqual(['HTTP/1.1 502 Bad Gateway', [`TypeError: ${step}`]]);
		});
	}
});
