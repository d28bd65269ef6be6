/**
 * Shared by the tests of calls that crash backend servers: whole entry VMs before the model of the store, backend
 * servers that crash, restart and reset connections, and callers that retry.
 */
import {ok} from 'neverthrow';
import {DefaultCallEngine} from '../calls/call-engine.ts';
import {OwnerRateQuota} from '../calls/backend-rates/rate-quota.ts';
import {type CallEngine, type CallRequest, type LoadReport} from '../calls/types.ts';
import {type ExternalCallEffect} from '../entry-vm/types.ts';
import {serviceSchema} from '../model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {FleetModel, type CallModel, type ModelProcess} from './fleet-model.test.ts';
import {documents} from './registry-driver.test.ts';
import {type DocumentCodec} from './types.ts';

/** Time in which a fleet that has just started settles. */
const settleMilliseconds: Milliseconds = 6000;

const harmfulIntervalMilliseconds: Milliseconds = 100;

/** One way between a VM and a backend server. */
const networkMilliseconds: Milliseconds = 0.5;

/** Time after a crash until another process of the backend server has registered, and until the entry of the old one lapses. */
const restartMilliseconds: Milliseconds = 2500;
const lapseMilliseconds: Milliseconds = 4500;

/** Time after the third crash of one call after which the fleet may send it only `maxLateSends` times more. */
export const containmentMilliseconds: Milliseconds = 3000;
export const maxLateSends = 3;

const slotsPerServer = 6;

export type PoisonOptions = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly seed: number;
	/** Number of different calls that crash each backend server that runs them. */
	readonly harmfulCount?: number;
	/** Number of callers of each harmful call, by address. */
	readonly harmfulCallers?: number;
	/** The calls of all callers must not run twice. */
	readonly areOrders?: boolean;
	/** The callers of harmful calls send them to one VM only. */
	readonly isSentToOneVm?: boolean;
	/** VMs to which harmful calls are sent; all by default. */
	readonly receivesHarmful?: (process: ModelProcess) => boolean;
	readonly milliseconds?: Milliseconds;
	/** Time between two harmless calls of all callers together. */
	readonly harmlessIntervalMilliseconds?: Milliseconds;
	/** Chance that an attempt's connection is reset although its backend server lives. */
	readonly resetChance?: number;
	/** Mean time between two kills of backend servers from outside; undefined = none. */
	readonly killIntervalMilliseconds?: Milliseconds;
};

type BackendServer = {
	readonly identity: string;
	readonly address: string;
	isAlive: boolean;
	readonly attempts: Map<string, Running>;
};

type Running = {readonly process: ModelProcess; readonly attemptId: number; readonly call: SentCall};

type SentCall = {readonly fingerprint: string; readonly isHarmful: boolean; readonly isRetry: boolean; readonly request: Omit<CallRequest, 'callId'>};

/** What happened to one harmful call. */
export type HarmfulRecord = {crashes: number; thirdCrashAt: Instant | undefined; lateSends: number};

export type PoisonResult = {
	readonly harmful: Map<string, HarmfulRecord>;
	/** Harmless calls sent, those answered at the first or second try, and refusals of harmless calls as harmful. */
	readonly harmless: {sent: number; served: number; refusedAsHarmful: number};
};

const onDemandDocuments: DocumentCodec = {
	...documents,
	configuration: value => documents.configuration(value).andThen(configuration => ok({
		...configuration,
		services: [serviceSchema.parse({kind: 'service', name: 'orders', measuring: {mode: 'on-demand', callsPerWindow: 600}})],
	})),
};

const hashModulus = 2 ** 32;

function hashOf(text: string): number {
	let hash = 17;
	for (const character of text) {
		hash = ((hash * 31_337) + character.codePointAt(0)!) % hashModulus;
	}

	return hash;
}

/** Callers, entry VMs and backend servers in virtual time. */
export class PoisonModel implements CallModel {
	readonly fleet: FleetModel;
	readonly result: PoisonResult = {harmful: new Map(), harmless: {sent: 0, served: 0, refusedAsHarmful: 0}};
	readonly servers = new Map<string, BackendServer>();
	/** Addresses of VMs whose links to all servers are lost: each refuses their connections. */
	readonly withoutLinks = new Set<string>();
	/** Servers that some VM took for crashed although they were alive. */
	readonly falseCrashes = new Set<string>();
	private readonly _options: PoisonOptions;
	private readonly _calls = new Map<string, SentCall>();
	private readonly _random: RandomSource;
	private _nextCallId = 1;
	private _starts = 0;

	constructor(options: PoisonOptions) {
		this._options = options;
		this.fleet = new FleetModel({
			vmCount: options.vmCount, serverCount: 0, seed: options.seed, calls: this, documents: onDemandDocuments,
		});
		this._random = this.fleet.random;
		for (let server = 0; server < options.serverCount; server++) {
			this._startServer(`10.9.0.${server}`);
		}

		this.fleet.startAll();
		this.fleet.timeline.advance(settleMilliseconds);
	}

	createEngine(random: RandomSource, dataCentre: string): CallEngine {
		return new DefaultCallEngine({random, rateQuota: new OwnerRateQuota(hashOf), settings: {dataCentre, retryBurst: 60}});
	}

	/** Sends harmful and harmless calls for the time of the options, and lets the open ones end. */
	run(): PoisonResult {
		this.play();
		this.fleet.timeline.advance(3000);
		return this.result;
	}

	/** Sends harmful and harmless calls for the time of the options. */
	play(): void {
		const {milliseconds = 13_000, harmfulCount = 1, harmlessIntervalMilliseconds = 10} = this._options;
		const {timeline} = this.fleet;
		for (let at = 0; at < milliseconds; at += harmfulIntervalMilliseconds) {
			for (let harmful = 0; harmful < harmfulCount; harmful++) {
				timeline.after(at + (this._random.next() * harmfulIntervalMilliseconds), () => {
					this.send(`harmful-${harmful}.${Math.floor(this._random.next() * (this._options.harmfulCallers ?? 1))}`, true);
				});
			}
		}

		let sent = 0;
		for (let at = 0; at < milliseconds; at += harmlessIntervalMilliseconds) {
			sent++;
			// Half of them are calls of their own, the others come again and again.
			const name = sent % 2 === 0 ? `harmless-${sent}.${sent % 7}` : `harmless-often-${sent % 20}.${sent % 3}`;
			timeline.after(at, () => {
				this.send(name, false);
			});
		}

		for (let at = 0; at < milliseconds; at += this._options.killIntervalMilliseconds ?? Infinity) {
			timeline.after(at + (this._random.next() * harmfulIntervalMilliseconds), () => {
				this._killFromOutside();
			});
		}

		timeline.advance(milliseconds);
	}

	/** Running VMs that refuse no harmful call as quarantined. */
	get unawareVms(): ModelProcess[] {
		return this.fleet.running.filter(process => !process.entryVm.calls.status(process.now).quarantined.some(({fingerprint}) => fingerprint.startsWith('harmful-0.')));
	}

	/** Sends one call through a random running VM. */
	send(fingerprint: string, isHarmful: boolean, isRetry = false): void {
		const {receivesHarmful = () => true, isSentToOneVm = false} = this._options;
		const running = this.fleet.running.filter(process => !isHarmful || receivesHarmful(process));
		const process = isHarmful && isSentToOneVm ? running[0] : running[Math.floor(this._random.next() * running.length)];
		if (process === undefined) {
			return;
		}

		const isIdempotent = this._options.areOrders !== true;
		const request = {
			service: 'orders',
			caller: 'portal',
			method: isIdempotent ? 'GET' : 'POST',
			fingerprint,
			timeoutMilliseconds: 1500,
			bodyBytes: isIdempotent ? 0 : 10,
			idempotencyKey: undefined,
			mayRetry: true,
			rule: {
				route: 'main', isIdempotent, timeoutMilliseconds: 1500, objectiveMilliseconds: 500, attemptLimit: 2, priority: 0,
			},
		};
		this.result.harmless.sent += isHarmful || isRetry ? 0 : 1;
		const callId = this._nextCallId++;
		this._calls.set(`${process.identity} ${callId}`, {
			fingerprint, isHarmful, isRetry, request,
		});
		process.handle({type: 'call-arrived', request: {...request, callId}});
	}

	/** Ends the process of a backend server; another one registers later. */
	crash(server: BackendServer): void {
		if (!server.isAlive) {
			return;
		}

		server.isAlive = false;
		const {timeline, store} = this.fleet;
		for (const {process, attemptId} of server.attempts.values()) {
			timeline.after(networkMilliseconds, () => {
				process.handle({
					type: 'attempt-failed', attemptId, failure: 'reset-after-sending', isReplayable: true, bytesPassedOn: 0,
				});
			});
		}

		server.attempts.clear();
		timeline.after(restartMilliseconds, () => {
			this._startServer(server.address);
		});
		timeline.after(lapseMilliseconds, () => {
			store.remove(`servers/${server.identity}`);
		});
	}

	/** Takes the links to all servers from a VM: its connections are reset, and new ones are refused. */
	loseLinks(address: string): void {
		this.withoutLinks.add(address);
		for (const {attempts} of this.servers.values()) {
			for (const [key, {process, attemptId}] of attempts) {
				if (process.address === address) {
					attempts.delete(key);
					process.handle({
						type: 'attempt-failed', attemptId, failure: 'reset-after-sending', isReplayable: true, bytesPassedOn: 0,
					});
				}
			}
		}
	}

	execute(process: ModelProcess, effect: ExternalCallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this._startAttempt(process, effect);
				break;
			}

			case 'cancel-attempt': {
				for (const {attempts} of this.servers.values()) {
					attempts.delete(`${process.identity} ${effect.attemptId}`);
				}

				break;
			}

			case 'measure': {
				this._probe(process, effect);
				break;
			}

			case 'poison-request-changed': {
				const {change} = effect;
				if (change.kind === 'crash' && this.servers.get(change.crash)?.isAlive === true) {
					this.falseCrashes.add(change.crash);
				}

				break;
			}

			case 'check-link': {
				this._checkLink(process, effect);
				break;
			}

			case 'refuse': {
				this._onRefused(process, effect);
				break;
			}

			case 'call-ended': {
				const call = this._calls.get(`${process.identity} ${effect.callId}`);
				this._calls.delete(`${process.identity} ${effect.callId}`);
				if (call?.isHarmful === false && effect.summary.reason === undefined) {
					this.result.harmless.served++;
				}

				break;
			}

			default:
		}
	}

	private _killFromOutside(): void {
		if (this._options.killIntervalMilliseconds !== undefined) {
			const running = [...this.servers.values()].filter(({isAlive}) => isAlive);
			const victim = running[Math.floor(this._random.next() * running.length)];
			if (victim !== undefined) {
				this.crash(victim);
			}
		}
	}

	private _startServer(address: string): void {
		this._starts++;
		const identity = `i-${this._starts}`;
		this.servers.set(identity, {
			identity, address, isAlive: true, attempts: new Map(),
		});
		this.fleet.store.put(`servers/${identity}`, `orders ${address} ready`);
	}

	/** Result of a new connection to a server, direct or through another VM. */
	private _connect(process: ModelProcess, {isAlive}: BackendServer, via: string | undefined): 'open' | 'refused' | 'no-relay' {
		if (via !== undefined && (this.fleet.runningAt(via) === undefined || this.withoutLinks.has(via))) {
			return 'no-relay';
		}

		return isAlive && (via !== undefined || !this.withoutLinks.has(process.address)) ? 'open' : 'refused';
	}

	private _startAttempt(process: ModelProcess, {callId, attemptId, identity, via}: ExternalCallEffect & {type: 'start-attempt'}): void {
		const {timeline} = this.fleet;
		const server = this.servers.get(identity)!;
		const call = this._calls.get(`${process.identity} ${callId}`)!;
		const connection = this._connect(process, server, via);
		if (connection !== 'open') {
			timeline.after(2 * networkMilliseconds, () => {
				process.handle({
					type: 'attempt-failed', attemptId, failure: connection === 'refused' ? 'connection-refused' : 'no-relay', isReplayable: true, bytesPassedOn: 0,
				});
			});
			return;
		}

		this._recordSend(call);
		const key = `${process.identity} ${attemptId}`;
		const running: Running = {process, attemptId, call};
		server.attempts.set(key, running);
		timeline.after(0, () => {
			process.handle({type: 'attempt-sent', attemptId});
		});
		timeline.after(60 + (this._random.next() * 80), () => {
			this._endRun(server, key, running);
		});
	}

	private _endRun(server: BackendServer, key: string, {process, attemptId, call}: Running): void {
		if (!server.attempts.has(key)) {
			return;
		}

		if (call.isHarmful) {
			this._recordCrash(call);
			this.crash(server);
			return;
		}

		server.attempts.delete(key);
		const isReset = this._random.next() < (this._options.resetChance ?? 0);
		this.fleet.timeline.after(networkMilliseconds, () => {
			if (isReset) {
				process.handle({
					type: 'attempt-failed', attemptId, failure: 'reset-after-sending', isReplayable: true, bytesPassedOn: 0,
				});
				return;
			}

			process.handle({
				type: 'attempt-head', attemptId, status: 200, report: this._reportOf(server, undefined), isDeclaredNotRun: false, validator: undefined, isReplayable: true,
			});
			process.handle({type: 'attempt-done', attemptId, bytesPassedOn: 100});
		});
	}

	private _probe(process: ModelProcess, {loadProbeId, identity, via}: ExternalCallEffect & {type: 'measure'}): void {
		const server = this.servers.get(identity)!;
		this.fleet.timeline.after(2 * networkMilliseconds, () => {
			const connection = this._connect(process, server, via);
			process.handle({
				type: 'measured', loadProbeId, report: connection === 'open' ? this._reportOf(server, identity) : undefined, isRefused: connection === 'refused',
			});
		});
	}

	private _checkLink(process: ModelProcess, {check: {checkId, identity, via}}: ExternalCallEffect & {type: 'check-link'}): void {
		const server = this.servers.get(identity)!;
		this.fleet.timeline.after((via === undefined ? 2 : 4) * networkMilliseconds, () => {
			const connection = this._connect(process, server, via);
			process.handle({type: 'link-checked', checkId, result: connection === 'open' ? 'answered' : connection});
		});
	}

	private _reportOf({attempts}: BackendServer, instance: string | undefined): LoadReport {
		return {
			inFlight: attempts.size, queued: 0, slots: slotsPerServer, instance, isLeaving: false,
		};
	}

	private _onRefused(process: ModelProcess, {callId, reason, retryAfterMilliseconds, status}: ExternalCallEffect & {type: 'refuse'}): void {
		const call = this._calls.get(`${process.identity} ${callId}`)!;
		if (call.isHarmful) {
			return;
		}

		this.result.harmless.refusedAsHarmful += reason === 'quarantined' ? 1 : 0;
		const mayRetry = this._options.areOrders === true ? status === 503 : status >= 500;
		if (mayRetry && !call.isRetry) {
			this.fleet.timeline.after(retryAfterMilliseconds ?? 20, () => {
				this.send(call.fingerprint, false, true);
			});
		}
	}

	private _recordSend(call: SentCall): void {
		const record = this._recordOf(call);
		if (record?.thirdCrashAt !== undefined && this.fleet.timeline.now - record.thirdCrashAt > containmentMilliseconds) {
			record.lateSends++;
		}
	}

	private _recordCrash(call: SentCall): void {
		const record = this._recordOf(call)!;
		record.crashes++;
		if (record.crashes === 3) {
			record.thirdCrashAt = this.fleet.timeline.now;
		}
	}

	private _recordOf({fingerprint, isHarmful}: SentCall): HarmfulRecord | undefined {
		if (!isHarmful) {
			return undefined;
		}

		const records = this.result.harmful;
		const [name = ''] = fingerprint.split('.');
		const record = records.get(name) ?? {crashes: 0, thirdCrashAt: undefined, lateSends: 0};
		records.set(name, record);
		return record;
	}
}

/** Share of the harmless calls that were answered at the first or second try. */
export function servedShare({harmless: {sent, served}}: PoisonResult): number {
	return served / sent;
}
