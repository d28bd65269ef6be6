/** Slopes of the call engine: state, configuration changes, and the decisions on one call. */
import {performance} from 'node:perf_hooks';
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {type CallConfiguration, type CallEffect} from '../../src/common/calls/types.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {retainedBytes} from './heap.ts';
import {
	backendServerOf, identityOf, serviceOf, target,
} from './sizes.ts';
import {fitSlope} from './slope.ts';
import {type Point, type Slope} from './types.ts';

const measuredCalls = 20_000;
const callsInFlight = 32;
const callMilliseconds = 2;
const configurationChanges = 5;
const loadReads = 20;
const idleMilliseconds = 5000;
const callsPerActiveService = 10;

function makeConfiguration(version: number, services: number, backendServers: number): CallConfiguration {
	return {
		version,
		services: new Map(Array.from({length: services}, (_, index) => [`service-${index}`, serviceOf(index)])),
		backendServers: new Map(Array.from({length: backendServers}, (_, index) => [identityOf('b', index), backendServerOf(index, services)])),
		sharingRules: [],
	};
}

function makeEngine(configuration: CallConfiguration): DefaultCallEngine {
	const engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'dc-0'}});
	engine.handle({type: 'configured', configuration}, 0);
	engine.handle({
		type: 'shares',
		shares: {
			loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 1, vmCount: 16,
		},
	}, 0);
	return engine;
}

/** Runs one call from its arrival to its end, with no other call in flight. */
function runOneCall(engine: DefaultCallEngine, callId: number, service: string): void {
	const effects = engine.handle({
		type: 'call-arrived',
		request: {
			callId, service, caller: 'caller', method: 'GET', fingerprint: `f${callId}`, timeoutMilliseconds: undefined, bodyBytes: 0, idempotencyKey: undefined, mayRetry: true,
		},
	}, callId);
	const start = effects.find(effect => effect.type === 'start-attempt');
	if (start?.type !== 'start-attempt') {
		return;
	}

	const {attemptId} = start;
	engine.handle({type: 'attempt-sent', attemptId}, callId);
	engine.handle({
		type: 'attempt-head', attemptId, status: 200, report: undefined, isDeclaredNotRun: false, validator: undefined,
	}, callId + 1);
	engine.handle({type: 'attempt-done', attemptId}, callId + 1);
}

/** Runs calls of one service with a fixed number in flight, and returns processor microseconds per call. */
function callMicroseconds(engine: DefaultCallEngine): number {
	const started: number[] = [];
	const recordStarts = (effects: readonly CallEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'start-attempt') {
				started.push(effect.attemptId);
			}
		}
	};

	const report = {
		inFlight: 2, queued: 0, slots: 6, instance: 'a', isLeaving: false,
	};
	const startedAt = performance.now();
	for (let call = 1; call <= measuredCalls; call++) {
		const now = call * callMilliseconds / callsInFlight;
		if (started.length >= callsInFlight) {
			const attemptId = started.shift()!;
			recordStarts(engine.handle({type: 'attempt-sent', attemptId}, now));
			recordStarts(engine.handle({
				type: 'attempt-head', attemptId, status: 200, report, isDeclaredNotRun: false, validator: undefined,
			}, now));
			recordStarts(engine.handle({type: 'attempt-done', attemptId}, now));
		}

		recordStarts(engine.handle({
			type: 'call-arrived',
			request: {
				callId: call,
				service: 'service-0',
				caller: 'caller',
				method: 'GET',
				fingerprint: `f${call}`,
				timeoutMilliseconds: undefined,
				bodyBytes: 0,
				idempotencyKey: undefined,
				mayRetry: true,
			},
		}, now));
		const wakeUp = engine.nextWakeUp();
		if (wakeUp !== undefined && wakeUp <= now) {
			recordStarts(engine.handle({type: 'tick'}, now));
		}
	}

	return (performance.now() - startedAt) * 1000 / measuredCalls;
}

/** Processor time of an engine without calls and without load probes, as a fraction of one core. */
function idleCoreShare(engine: DefaultCallEngine): number {
	let now = 0;
	const startedAt = performance.now();
	while (now < idleMilliseconds) {
		now = Math.max(now + 1, engine.nextWakeUp() ?? idleMilliseconds);
		engine.handle({type: 'tick'}, now);
	}

	return (performance.now() - startedAt) / idleMilliseconds;
}

/** Additional state of services after 10 calls each: histograms, queues, call classes. */
export function slopeOfActiveServices(sizes: readonly number[]): Slope {
	const points = sizes.map((services): Point => {
		const configuration = makeConfiguration(1, services, services);
		const unused = retainedBytes(() => makeEngine(configuration));
		const used = retainedBytes(() => {
			const engine = makeEngine(configuration);
			for (let call = 1; call <= services * callsPerActiveService; call++) {
				runOneCall(engine, call, `service-${call % services}`);
			}

			return engine;
		});
		return {size: services, value: used.bytes - unused.bytes};
	});
	return fitSlope({name: 'calls.activeServiceBytes', against: 'services called', unit: 'bytes'}, points);
}

/** Cost of all decisions on one call, against the number of candidate backend servers. */
export function slopeOfDecisions(candidateCounts: readonly number[]): Slope {
	const points = candidateCounts.map((count): Point => {
		const measure = (): number => callMicroseconds(makeEngine(makeConfiguration(1, 1, count)));
		// Warm-up run for the JIT compiler.
		measure();
		return {size: count, value: measure()};
	});
	return fitSlope({name: 'calls.decisionMicroseconds', against: 'backend servers of the service', unit: 'µs'}, points);
}

/** State, cost of a configuration change, cost of reading the load, and idle cost. Services and backend servers have the proportion of the target. */
export function slopesOfState(sizes: readonly number[]): Slope[] {
	const heapBytes: Point[] = [];
	const configureMilliseconds: Point[] = [];
	const loadMilliseconds: Point[] = [];
	const idleShares: Point[] = [];
	for (const backendServers of sizes) {
		const services = Math.max(1, Math.round(backendServers * target.services / target.backendServers));
		const configuration = makeConfiguration(1, services, backendServers);
		const {made, bytes} = retainedBytes(() => makeEngine(configuration));
		heapBytes.push({size: backendServers, value: bytes});
		let startedAt = performance.now();
		for (let version = 2; version < 2 + configurationChanges; version++) {
			made.handle({type: 'configured', configuration: {...configuration, version}}, version);
		}

		configureMilliseconds.push({size: backendServers, value: (performance.now() - startedAt) / configurationChanges});
		startedAt = performance.now();
		for (let read = 0; read < loadReads; read++) {
			made.load();
		}

		loadMilliseconds.push({size: backendServers, value: (performance.now() - startedAt) / loadReads});
		idleShares.push({size: backendServers, value: idleCoreShare(makeEngine(configuration))});
	}

	return [
		fitSlope({name: 'calls.stateBytes', against: 'backend servers', unit: 'bytes'}, heapBytes),
		fitSlope({name: 'calls.configureMilliseconds', against: 'backend servers', unit: 'ms'}, configureMilliseconds),
		fitSlope({name: 'calls.loadMilliseconds', against: 'backend servers', unit: 'ms'}, loadMilliseconds),
		fitSlope({name: 'calls.idleCoreShare', against: 'backend servers', unit: 'cores'}, idleShares),
	];
}
