/** Shared by the tests of rate limits that backend servers announce: whole entry VMs in virtual time, backend servers that announce limits, and callers. */
import {ok} from 'neverthrow';
import {DefaultCallEngine} from '../calls/call-engine.ts';
import {OwnerRateQuota} from '../calls/backend-rates/rate-quota.ts';
import {type CallEngine, type LoadReport} from '../calls/types.ts';
import {type ExternalCallEffect} from '../entry-vm/types.ts';
import {type FleetEffect} from '../fleet/types.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {serviceSchema} from '../model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {countedMilliseconds, toleratedCalls} from '../../stand-ins/rate-limit-rule.ts';
import {FleetModel, type CallModel, type ModelProcess} from './fleet-model.test.ts';
import {documents} from './registry-driver.test.ts';
import {type DocumentCodec} from './types.ts';

const settleMilliseconds: Milliseconds = 6000;
const networkMilliseconds: Milliseconds = 1;
const slotsPerServer = 6;

/** The limit applies from this time after its announcement on. */
const fleetGraceMilliseconds: Milliseconds = 3000;

/** Calls of a VM count from this time after it received the limit on. */
const vmGraceMilliseconds: Milliseconds = 500;

/** Calls of a restarted VM count from this time after its start on. */
const restartGraceMilliseconds: Milliseconds = 3000;

/** From this time after a limit was first announced on, an owner expects it to hold for the calls of all VMs. */
const ownerGraceMilliseconds: Milliseconds = 2000;

export type NamedLimitOptions = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly callsPerSecond: number;
	readonly seed: number;
	/** Calls per second that a backend server (by index) announces at this time since the calls began; undefined = none. */
	readonly limitOf: (server: number, at: Instant) => number | undefined;
	readonly isAnnouncedByProbes?: boolean;
	/** Fraction of the answers that are errors without the header, and their status. */
	readonly errorFraction?: number;
	readonly errorStatus?: number;
	readonly datagramLossChance?: number;
	readonly alterEffect?: (process: ModelProcess, effect: FleetEffect) => FleetEffect;
};

type Arrival = {readonly process: ModelProcess; readonly at: Instant};

type LimitedServer = {
	readonly index: number;
	readonly identity: string;
	inFlight: number;
	readonly arrivals: Arrival[];
	/** VMs, by call address, that have passed on an answer with a limit, and since when; a later process of a VM counts as told. */
	readonly informedAt: Map<string, Instant>;
};

const onDemandDocuments: DocumentCodec = {
	...documents,
	configuration: value => documents.configuration(value).andThen(configuration => ok({
		...configuration,
		services: [serviceSchema.parse({
			kind: 'service', name: 'orders', objective: {latencyMilliseconds: 1050}, measuring: {mode: 'on-demand', callsPerWindow: 600},
		})],
	})),
};

export class NamedLimitModel implements CallModel {
	readonly fleet: FleetModel;
	readonly servers: LimitedServer[];
	/** VMs that are excused from the rule, by call address: they were cut off. */
	readonly excused = new Set<string>();
	refused = 0;
	private readonly _options: NamedLimitOptions;
	private readonly _running = new Map<string, LimitedServer>();
	private _startsAt: Instant;
	private _nextCallId = 1;

	constructor(options: NamedLimitOptions) {
		this._options = options;
		this.fleet = new FleetModel({
			vmCount: options.vmCount, serverCount: options.serverCount, seed: options.seed, calls: this, documents: onDemandDocuments, hasLimits: true,
			datagramLossChance: options.datagramLossChance ?? 0, ...(options.alterEffect === undefined ? {} : {alterEffect: options.alterEffect}),
		});
		this.servers = Array.from({length: options.serverCount}, (_, index) => ({
			index, identity: `s${index}`, inFlight: 0, arrivals: [], informedAt: new Map(),
		}));
		this.fleet.startAll();
		this.fleet.timeline.advance(settleMilliseconds);
		this._startsAt = this.fleet.timeline.now;
	}

	get vmCount(): number {
		return this._options.vmCount;
	}

	/** Time since the calls began. */
	get elapsed(): Milliseconds {
		return this.fleet.timeline.now - this._startsAt;
	}

	createEngine(random: RandomSource, dataCentre: string): CallEngine {
		return new DefaultCallEngine({
			random, rateQuota: new OwnerRateQuota(testHash), memberHash: testHash, rateLimits: 'granted', settings: {dataCentre, retryBurst: 60},
		});
	}

	/** Sends calls for this time, with random gaps between them. */
	run(milliseconds: Milliseconds): this {
		this._startsAt = this.fleet.timeline.now;
		const {timeline, random} = this.fleet;
		const sendNext = () => {
			timeline.after(-Math.log(1 - random.next()) * 1000 / this._options.callsPerSecond, () => {
				if (this.elapsed < milliseconds) {
					this._send();
					sendNext();
				}
			});
		};

		sendNext();
		timeline.advance(milliseconds);
		return this;
	}

	/** Repeats an action at this interval while the calls are sent. */
	repeat(milliseconds: Milliseconds, action: () => void): void {
		this.fleet.timeline.after(milliseconds, () => {
			action();
			this.repeat(milliseconds, action);
		});
	}

	/** Takes the entry of a backend server from the store and writes it again, while its process lives on. */
	loseEntry(index: number, milliseconds: Milliseconds): void {
		const key = `servers/s${index}`;
		const {store, timeline} = this.fleet;
		store.remove(key);
		timeline.after(milliseconds, () => {
			store.put(key, `orders 10.9.${Math.floor(index / 200)}.${index % 200} ready`);
		});
	}

	/** Largest excess of calls from informed VMs over what the rule allows in any span, over all backend servers; at most 0 if it is kept. */
	get worstExcess(): number {
		return Math.max(...this.servers.map(server => this._worstExcessOf(server)));
	}

	/** Calls of a backend server that arrived in this time since the calls began. */
	arrivalsBetween(index: number, from: Instant, until: Instant): number {
		return this.servers[index]!.arrivals.filter(({at}) => at >= from && at < until).length;
	}

	execute(process: ModelProcess, effect: ExternalCallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this._startAttempt(process, effect);
				break;
			}

			case 'cancel-attempt': {
				this._end(`${process.identity} ${effect.attemptId}`);
				break;
			}

			case 'measure': {
				const server = this._serverOf(effect.identity);
				this.fleet.timeline.after(2 * networkMilliseconds, () => {
					process.handle({type: 'measured', loadProbeId: effect.loadProbeId, report: this._reportOf(server, true)});
				});
				break;
			}

			case 'refuse': {
				this.refused++;
				break;
			}

			default:
		}
	}

	/** The same for calls from all VMs, as the owner of the backend server counts them. */
	get worstOwnerExcess(): number {
		return Math.max(...this.servers.map(server => {
			const namedAt = Math.min(...server.informedAt.values());
			const arrivals = server.arrivals.filter(({at}) => at >= namedAt + ownerGraceMilliseconds).map(({at}) => at);
			return Math.max(-Infinity, ...arrivals.map(at => this._excessOf(server.index, arrivals, at + countedMilliseconds)));
		}));
	}

	private _worstExcessOf(server: LimitedServer): number {
		const {index, arrivals, informedAt} = server;
		const startsAt = this._startsAt;
		const counted = arrivals
			.filter(({process, at}) => at >= (informedAt.get(process.address) ?? Infinity) + vmGraceMilliseconds)
			.filter(({process, at}) => !this.excused.has(process.address) && at + startsAt >= process.startedAt + restartGraceMilliseconds)
			.map(({at}) => at);
		return Math.max(-Infinity, ...counted.map(at => this._excessOf(index, counted, at + countedMilliseconds)));
	}

	/** Excess of the calls within the span that ends at `until`; of those, only calls that arrived while a limit was announced count. */
	private _excessOf(index: number, arrivals: readonly Instant[], until: Instant): number {
		const limitAt = (at: Instant) => this._options.limitOf(index, at);
		const steps = Array.from({length: (countedMilliseconds + fleetGraceMilliseconds) / 100}, (_, step) => limitAt(until - (step * 100)));
		const hasBound = steps.slice(0, fleetGraceMilliseconds / 100).every(limit => limit !== undefined);
		const allowed = toleratedCalls(Math.max(...steps.map(limit => limit ?? 0)));
		return hasBound ? arrivals.filter(at => at >= until - countedMilliseconds && at < until && limitAt(at) !== undefined).length - allowed : -Infinity;
	}

	private _serverOf(identity: string): LimitedServer {
		return this.servers[Number(identity.slice(1))]!;
	}

	private _send(): void {
		const {running} = this.fleet;
		const process = running[Math.floor(this.fleet.random.next() * running.length)];
		const callId = this._nextCallId++;
		process?.handle({
			type: 'call-arrived',
			request: {
				callId,
				service: 'orders',
				caller: 'portal',
				method: 'GET',
				fingerprint: `read-${callId}`,
				timeoutMilliseconds: 6000,
				bodyBytes: 0,
				idempotencyKey: undefined,
				mayRetry: true,
				rule: {
					route: 'main', isIdempotent: true, timeoutMilliseconds: 6000, objectiveMilliseconds: 1050, attemptLimit: 2, priority: 0,
				},
			},
		});
	}

	private _startAttempt(process: ModelProcess, {attemptId, identity}: ExternalCallEffect & {type: 'start-attempt'}): void {
		const server = this._serverOf(identity);
		const {timeline, random} = this.fleet;
		const key = `${process.identity} ${attemptId}`;
		server.inFlight++;
		server.arrivals.push({process, at: this.elapsed});
		this._running.set(key, server);
		process.handle({type: 'attempt-sent', attemptId});
		timeline.after(380 + (random.next() * 100), () => {
			if (!this._end(key)) {
				return;
			}

			const isError = random.next() < (this._options.errorFraction ?? 0);
			const rateLimit = isError ? undefined : this._options.limitOf(server.index, this.elapsed);
			if (rateLimit !== undefined && !server.informedAt.has(process.address)) {
				server.informedAt.set(process.address, this.elapsed);
			}

			process.handle({
				type: 'attempt-head', attemptId, status: isError ? this._options.errorStatus ?? 500 : 200, report: this._reportOf(server, false), isDeclaredNotRun: false, validator: undefined, isReplayable: true,
				...(rateLimit === undefined ? {} : {rateLimit}),
			});
			process.handle({type: 'attempt-done', attemptId, bytesPassedOn: 100});
		});
	}

	/** False = the attempt was cancelled. */
	private _end(key: string): boolean {
		const server = this._running.get(key);
		if (server !== undefined) {
			server.inFlight--;
		}

		return this._running.delete(key);
	}

	private _reportOf({index, identity, inFlight}: LimitedServer, isProbe: boolean): LoadReport {
		const rateLimit = isProbe && this._options.isAnnouncedByProbes === true ? this._options.limitOf(index, this.elapsed) : undefined;
		return {
			inFlight, queued: 0, slots: slotsPerServer, instance: isProbe ? identity : undefined, isLeaving: false, workTimeFactor: 1,
			...(isProbe ? {warmUpLeftMilliseconds: 0} : {}),
			...(rateLimit === undefined ? {} : {rateLimit}),
		};
	}
}
