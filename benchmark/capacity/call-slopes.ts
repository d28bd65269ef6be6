/** Slopes of the call engine: state, configuring and the decision on one call. */
import {performance} from 'node:perf_hooks';
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {type CallConfiguration, type CallEffect} from '../../src/common/calls/types.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {heldBytes} from './heap.ts';
import {
	backendServerOf, identityOf, serviceOf, target,
} from './sizes.ts';
import {fitSlope} from './slope.ts';
import {type Point, type Slope} from './types.ts';

const decisionCalls = 20_000;
const inFlight = 32;
const callMilliseconds = 2;
const configurations = 5;
const loadReads = 20;
const idleMilliseconds = 5000;
const callsToActivate = 10;

function configurationOf(version: number, services: number, backendServers: number): CallConfiguration {
	return {
		version,
		services: new Map(Array.from({length: services}, (_, index) => [`service-${index}`, serviceOf(index)])),
		backendServers: new Map(Array.from({length: backendServers}, (_, index) => [identityOf('b', index), backendServerOf(index, services)])),
		sharingRules: [],
	};
}

function engineOf(configuration: CallConfiguration): DefaultCallEngine {
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

/** A call from its arrival to its end, alone. */
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

/** Runs calls of one service, a fixed number in flight; the value is processor microseconds a call. */
function callMicroseconds(engine: DefaultCallEngine): number {
	const started: number[] = [];
	const take = (effects: readonly CallEffect[]): void => {
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
	for (let call = 1; call <= decisionCalls; call++) {
		const now = call * callMilliseconds / inFlight;
		if (started.length >= inFlight) {
			const attemptId = started.shift()!;
			take(engine.handle({type: 'attempt-sent', attemptId}, now));
			take(engine.handle({
				type: 'attempt-head', attemptId, status: 200, report, isDeclaredNotRun: false, validator: undefined,
			}, now));
			take(engine.handle({type: 'attempt-done', attemptId}, now));
		}

		take(engine.handle({
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
			take(engine.handle({type: 'tick'}, now));
		}
	}

	return (performance.now() - startedAt) * 1000 / decisionCalls;
}

/** Processor time of an engine without calls and without a share to measure with, as a share of a core. */
function idleCoreShare(engine: DefaultCallEngine): number {
	let now = 0;
	const startedAt = performance.now();
	while (now < idleMilliseconds) {
		now = Math.max(now + 1, engine.nextWakeUp() ?? idleMilliseconds);
		engine.handle({type: 'tick'}, now);
	}

	return (performance.now() - startedAt) / idleMilliseconds;
}

/** State of services that have been called, each by a few calls: histograms, queues, classes of calls. */
export function slopeOfActiveServices(sizes: readonly number[]): Slope {
	const points = sizes.map((services): Point => {
		const configuration = configurationOf(1, services, services);
		const unused = heldBytes(() => engineOf(configuration));
		const used = heldBytes(() => {
			const engine = engineOf(configuration);
			for (let call = 1; call <= services * callsToActivate; call++) {
				runOneCall(engine, call, `service-${call % services}`);
			}

			return engine;
		});
		return {size: services, value: used.bytes - unused.bytes};
	});
	return fitSlope({name: 'calls.activeServiceBytes', against: 'services called', unit: 'bytes'}, points);
}

/** Cost of all decisions on one call as the backend servers to choose from grow. */
export function slopeOfDecisions(choices: readonly number[]): Slope {
	const points = choices.map((count): Point => {
		const measure = (): number => callMicroseconds(engineOf(configurationOf(1, 1, count)));
		// The first run is for the compiler.
		measure();
		return {size: count, value: measure()};
	});
	return fitSlope({name: 'calls.decisionMicroseconds', against: 'backend servers of the service', unit: 'µs'}, points);
}

/** State and cost of a change at a number of backend servers, in the proportion of the target. */
export function slopesOfState(sizes: readonly number[]): Slope[] {
	const memory: Point[] = [];
	const configure: Point[] = [];
	const load: Point[] = [];
	const idle: Point[] = [];
	for (const backendServers of sizes) {
		const services = Math.max(1, Math.round(backendServers * target.services / target.backendServers));
		const configuration = configurationOf(1, services, backendServers);
		const {made, bytes} = heldBytes(() => engineOf(configuration));
		memory.push({size: backendServers, value: bytes});
		let startedAt = performance.now();
		for (let version = 2; version < 2 + configurations; version++) {
			made.handle({type: 'configured', configuration: {...configuration, version}}, version);
		}

		configure.push({size: backendServers, value: (performance.now() - startedAt) / configurations});
		startedAt = performance.now();
		for (let read = 0; read < loadReads; read++) {
			made.load();
		}

		load.push({size: backendServers, value: (performance.now() - startedAt) / loadReads});
		idle.push({size: backendServers, value: idleCoreShare(engineOf(configuration))});
	}

	return [
		fitSlope({name: 'calls.stateBytes', against: 'backend servers', unit: 'bytes'}, memory),
		fitSlope({name: 'calls.configureMilliseconds', against: 'backend servers', unit: 'ms'}, configure),
		fitSlope({name: 'calls.loadMilliseconds', against: 'backend servers', unit: 'ms'}, load),
		fitSlope({name: 'calls.idleCoreShare', against: 'backend servers', unit: 'cores'}, idle),
	];
}
