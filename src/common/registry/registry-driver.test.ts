/**
 * Shared by the tests of the registry engine: an engine, its virtual time, and a store that replies on request of the
 * test.
 */
import {err, ok} from 'neverthrow';
import {type CallConfiguration} from '../calls/types.ts';
import {failure} from '../errors/failure.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {backendServerSchema, serviceSchema} from '../model/resources.ts';
import {type StoreEntry, type StoreOperation, type StoreReply} from '../platform/types.ts';
import {seededRandom} from '../random/random.ts';
import {RegistryFleet} from './registry-fleet.ts';
import {
	type DocumentCodec, type MemberAnnouncement, type FeedFrame, type RegistrySettings,
} from './types.ts';

/** Settings of the engine under test; a test of a whole fleet replaces identity and addresses for each VM. */
export const settings: RegistrySettings = {
	identity: 'own',
	own: {
		callAddress: '10.0.0.1:80', peerAddress: '10.0.0.1:90', dataCentre: 'north', linkMegabits: 100,
	},
	layout: {
		configurationKey: 'configuration', serverPrefix: 'servers/', vmPrefix: 'vms/', evacuationPrefix: 'evacuations/', limitPrefix: 'limits/', commonPrefix: '',
	},
	leaseMilliseconds: 3000,
	memberHeartbeatMilliseconds: 1500,
	watchPauseMilliseconds: 500,
	convergeMilliseconds: 2000,
	seeds: [],
	heartbeatMilliseconds: 1500,
	addressTtlMilliseconds: 2000,
	graceMilliseconds: 6000,
};

/** Documents in a test format: `version [calls per second of an organisation]`, `service address state [start [warming]]`, or `address [link]`. */
export const documents: DocumentCodec = {
	configuration(value) {
		const [version = Number.NaN, limit] = value.split(' ').map(Number);
		return Number.isNaN(version)
			? err(failure('invalid-document', 'no version'))
			: ok({
				version,
				services: [serviceSchema.parse({kind: 'service', name: 'orders'})],
				connectionLimits: new Map([['orders', 240]]),
				...(limit === undefined ? {} : {organisations: new Map([['acme', {name: 'acme', limit: {callsPerSecond: limit, burst: limit}}]])}),
				routing: {
					routes: [{
						name: 'all', host: 'one', prefix: '/', parts: [{service: 'orders', weight: 1}],
						rule: {
							route: 'main', isIdempotent: true, timeoutMilliseconds: 1500, objectiveMilliseconds: 300, attemptLimit: 2, priority: 0,
						},
					}],
					limits: {
						headBytes: 1000, bodyBytes: 1000, headMilliseconds: 1000, idleMilliseconds: 1000,
					},
				},
			});
	},
	server(key, value) {
		const [service, address, state, start, warming] = value.split(' ');
		const instance = key.slice('servers/'.length);
		if (state !== 'ready' && state !== 'leaving') {
			return err(failure('invalid-document', `no state: ${value}`));
		}

		const declared = backendServerSchema.parse({
			kind: 'backend-server', name: instance, service, address, port: 80, dataCentre: 'north', isLeaving: state === 'leaving',
			...(warming === undefined ? {} : {warmingMilliseconds: Number(warming)}),
		});
		return ok({instance, declared: {...declared, ...(start === undefined ? {} : {processStartedAt: Number(start)})}});
	},
	vm(value) {
		const [address, link] = value.split(' ');
		return ok({
			callAddress: address!, peerAddress: address!, dataCentre: value.startsWith('10.0.0') ? 'north' : 'south', linkMegabits: Number(link ?? 100),
		});
	},
	writeVm: entry => entry.callAddress,
};

/** An entry as in the store. */
export function entryOf(key: string, value: string, revision = 1): StoreEntry {
	return {key, value, revision};
}

type PendingRequest = {readonly requestId: number; readonly operation: StoreOperation};

/** An engine and a store that replies to one request at a time. */
export class RegistryDriver {
	readonly fleet = new RegistryFleet(settings, documents, seededRandom(1));
	/** Requests to the store without a reply. */
	pendingRequests: PendingRequest[] = [];
	readonly effects: FleetEffect[] = [];
	/** Frames published to other VMs, oldest first. */
	readonly publishedFrames: FeedFrame[] = [];
	/** Announcements sent to the followed VM. */
	readonly announcements: MemberAnnouncement[] = [];
	/** VMs that were followed, oldest first. */
	readonly followedSources: string[] = [];
	/** The VM that is followed now. */
	source: string | undefined;
	now = 0;

	handle(event: FleetEvent): void {
		for (const effect of this.fleet.handle(event, this.now)) {
			switch (effect.type) {
				case 'store': {
					this.pendingRequests.push(effect);

					break;
				}

				case 'publish-feed': {
					this.publishedFrames.push(effect.frame);

					break;
				}

				case 'announce': {
					this.announcements.push(effect.announcement);

					break;
				}

				case 'follow-feed': {
					this.source = effect.source;
					this.followedSources.push(...effect.source === undefined ? [] : [effect.source]);

					break;
				}

				default: {
					this.effects.push(effect);
				}
			}
		}
	}

	/** Replies to the oldest request of this type. */
	reply(type: StoreOperation['type'], reply: StoreReply): void {
		const request = this.pendingRequests.find(({operation}) => operation.type === type)!;
		this.pendingRequests = this.pendingRequests.filter(one => one !== request);
		this.handle({type: 'store-replied', requestId: request.requestId, reply});
	}

	/** Lets time pass and runs the timers of the engine. */
	passTime(milliseconds: number): void {
		const end = this.now + milliseconds;
		for (let next = this.fleet.nextWakeUp(); next !== undefined && next <= end; next = this.fleet.nextWakeUp()) {
			this.now = Math.max(this.now, next);
			this.handle({type: 'tick'});
		}

		this.now = end;
	}

	/**
	 * Starts the engine: it lists these entries, first from a copy that may be stale, then from the store itself, and
	 * watches for later changes.
	 */
	start(entries: readonly StoreEntry[]): void {
		this.handle({type: 'started'});
		this.reply('list', {type: 'entries', entries, revision: 10});
		this.passTime(600);
		this.reply('list', {type: 'entries', entries, revision: 10});
		this.passTime(500);
	}

	/** The engine, which follows no VM, writes its own entry. */
	registerOwn(): void {
		this.reply('grant-lease', {type: 'lease', leaseId: '7', milliseconds: 3000});
		this.reply('write-all', {type: 'written', revision: 12});
	}

	/** Replies to the pending watch with these changes; the next watch follows. */
	change(entries: readonly StoreEntry[], deleted: readonly string[] = [], revision = 20): void {
		while (!this.pendingRequests.some(({operation}) => operation.type === 'watch')) {
			this.passTime(100);
		}

		this.reply('watch', {
			type: 'changes', entries, deleted, revision,
		});
		this.passTime(500);
	}

	/** The store does not respond for this long. */
	failStore(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			if (this.pendingRequests.some(({operation}) => operation.type === 'watch')) {
				this.reply('watch', {type: 'unavailable'});
			}

			this.passTime(100);
		}
	}

	/** Delivers a frame from the followed VM. */
	receiveFrame(receiveFrame: Partial<FeedFrame>): void {
		this.handle({
			type: 'feed-frame', source: this.source!, frame: {
				revision: 20, ageMilliseconds: 0, entries: [], deleted: [], isWhole: false, ...receiveFrame,
			},
		});
	}

	/** Whether the engine reads the store itself. */
	get isReading(): boolean {
		return this.fleet.status(this.now).isReadingStore;
	}

	/** The configuration in force for calls. */
	get inForce(): CallConfiguration | undefined {
		return this.effects.findLast((effect): effect is FleetEffect & {type: 'configured'} => effect.type === 'configured')?.configuration;
	}

	/** Backend servers that may get new calls. */
	get usableServers(): string[] {
		return [...this.inForce?.backendServers ?? []].filter(([, server]) => !server.isLeaving).map(([identity]) => identity).toSorted();
	}

	/** Logged messages, oldest first. */
	get logged(): string[] {
		return this.effects.filter(effect => effect.type === 'log').map(effect => effect.message);
	}

	get stages(): string[] {
		return this.effects.filter(effect => effect.type === 'stage').map(effect => effect.stage);
	}
}
