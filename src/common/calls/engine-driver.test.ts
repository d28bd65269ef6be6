/** Test utilities for the call engine: a configuration, calls, reports, and a driver with virtual time. */
import {backendServerSchema, serviceSchema} from '../model/resources.ts';
import {seededRandom} from '../random/random.ts';
import {DefaultCallEngine} from './call-engine.ts';
import {type CallEngineSettings} from './engine-context.ts';
import {type CallEngineOptions} from './engine-options.ts';
import {type CallTuning} from './tuning.ts';
import {
	type AttemptFailure, type CallConfiguration, type CallEffect, type CallEvent, type CallRequest, type LoadReport,
} from './types.ts';

/** A configuration with one service `orders` and backend servers `identity-0`, `identity-1` and so on in one data centre. */
export function configurationOf(serverCount: number, service: Record<string, unknown> = {}): CallConfiguration {
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

/** A non-idempotent call of the service `orders`, with the given changes. */
export function requestOf(callId: number, changes: Partial<CallRequest> = {}): CallRequest {
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

export function reportOf(instance: string, changes: Partial<LoadReport> = {}): LoadReport {
	return {
		inFlight: 0, queued: 0, slots: 6, instance, isLeaving: false, ...changes,
	};
}

/** The effect that starts an attempt. */
export type Start = CallEffect & {type: 'start-attempt'};

/** Converts effects to short lines for comparison. */
export function linesOf(effects: readonly CallEffect[]): string[] {
	return effects.map(effect => effect.type === 'refuse' ? `refuse ${effect.reason} ${effect.outcome} ${effect.status}` : effect.type);
}

/** Runs an engine in virtual time. */
export class EngineDriver {
	readonly engine: DefaultCallEngine;
	now = 0;

	constructor(configuration: CallConfiguration, tuning: Partial<CallTuning> = {}, seed = 1, settings: Partial<CallEngineSettings> = {}, parts: Pick<CallEngineOptions, 'rateQuota' | 'rateLimits'> = {}) {
		this.engine = new DefaultCallEngine({
			random: seededRandom(seed), settings: {dataCentre: 'north', ...settings}, tuning, ...parts,
		});
		this.handle({
			type: 'shares', shares: {
				loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 0.2, vmCount: 1,
			},
		});
		this.handle({type: 'configured', configuration});
	}

	handle(event: CallEvent): readonly CallEffect[] {
		return this.engine.handle(event, this.now);
	}

	/** Handles an arriving call and returns its first attempt; undefined if none started. */
	start(request: CallRequest): Start | undefined {
		return startIn(this.handle({type: 'call-arrived', request}));
	}

	sent(attemptId: number): void {
		this.handle({type: 'attempt-sent', attemptId});
	}

	head(attemptId: number, changes: Partial<CallEvent & {type: 'attempt-head'}> = {}): readonly CallEffect[] {
		return this.handle({
			type: 'attempt-head', attemptId, status: 200, report: undefined, isDeclaredNotRun: false, validator: undefined, ...changes,
		});
	}

	/** Sends the head and the end of an answer to the engine. */
	answer(attemptId: number, report?: LoadReport): void {
		this.head(attemptId, {report});
		this.handle({type: 'attempt-done', attemptId});
	}

	fail(attemptId: number, failure: AttemptFailure, bytesPassedOn = 0): readonly CallEffect[] {
		return this.handle({
			type: 'attempt-failed', attemptId, failure, isReplayable: true, bytesPassedOn,
		});
	}

	/** Advances the virtual time and sends the ticks that the engine requires; returns their effects. */
	passTime(milliseconds: number): CallEffect[] {
		const end = this.now + milliseconds;
		const effects: CallEffect[] = [];
		for (let next = this.engine.nextWakeUp(); next !== undefined && next <= end; next = this.engine.nextWakeUp()) {
			this.now = Math.max(this.now, next);
			effects.push(...this.handle({type: 'tick'}));
		}

		this.now = end;
		return effects;
	}
}

/** Returns the first started attempt among the effects. */
export function startIn(effects: readonly CallEffect[]): Start | undefined {
	return effects.find((effect): effect is Start => effect.type === 'start-attempt');
}

/** The effect that sends a load probe. */
export type LoadProbeStart = CallEffect & {type: 'measure'};

/** Returns the load probes among the effects. */
export function loadProbesIn(effects: readonly CallEffect[]): LoadProbeStart[] {
	return effects.filter((effect): effect is LoadProbeStart => effect.type === 'measure');
}

/** Answers load probes with the report for each backend server (undefined = no answer); returns the resulting effects. */
export function answerLoadProbes(driver: EngineDriver, loadProbes: readonly LoadProbeStart[], reportFor: (identity: string) => LoadReport | undefined): CallEffect[] {
	return loadProbes.flatMap(({loadProbeId, identity}) => [...driver.handle({type: 'measured', loadProbeId, report: reportFor(identity)})]);
}
