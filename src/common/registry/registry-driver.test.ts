/** What the tests of the registry engine share: an engine, its virtual time, and a store that answers when told to. */
import {err, ok} from 'neverthrow';
import {type CallConfiguration} from '../calls/types.ts';
import {failure} from '../errors/failure.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {backendServerSchema, serviceSchema} from '../model/resources.ts';
import {type StoreEntry, type StoreOperation, type StoreReply} from '../platform/types.ts';
import {seededRandom} from '../random/random.ts';
import {RegistryFleet} from './registry-fleet.ts';
import {
	type DocumentReader, type MemberAnnouncement, type FeedFrame, type RegistrySettings,
} from './types.ts';

/** What the engine of a test's VM is told; a test of a whole fleet gives each VM an identity and an address. */
export const settings: RegistrySettings = {
	identity: 'own',
	own: {
		callAddress: '10.0.0.1:80', peerAddress: '10.0.0.1:90', dataCentre: 'north', linkMegabits: 100,
	},
	layout: {
		configurationKey: 'configuration', serverPrefix: 'servers/', vmPrefix: 'vms/', evacuationPrefix: 'evacuations/', commonPrefix: '',
	},
	leaseMilliseconds: 3000,
	memberBeatMilliseconds: 1500,
	watchPauseMilliseconds: 500,
	convergeMilliseconds: 2000,
	seeds: [],
	heartbeatMilliseconds: 1500,
	answerKeepMilliseconds: 2000,
	graceMilliseconds: 6000,
};

/** Documents in a form of the tests' own: `version`, `service address state [start [warming]]`, or an address. */
export const documents: DocumentReader = {
	configuration(value) {
		const version = Number(value);
		return Number.isNaN(version)
			? err(failure('invalid-document', 'no version'))
			: ok({
				version,
				services: [serviceSchema.parse({kind: 'service', name: 'orders'})],
				connectionLimits: new Map([['orders', 240]]),
				routing: {
					routes: [{
						name: 'all', host: 'one', prefix: '/', parts: [{service: 'orders', weight: 1}],
						rule: {
							route: 'main', isIdempotent: true, timeoutMilliseconds: 1500, objectiveMilliseconds: 300, mostAttempts: 2, priority: 0,
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

/** An entry as the store holds it. */
export function entryOf(key: string, value: string, revision = 1): StoreEntry {
	return {key, value, revision};
}

type Asked = {readonly requestId: number; readonly operation: StoreOperation};

/** An engine whose store answers one request at a time. */
export class RegistryDriver {
	readonly fleet = new RegistryFleet(settings, documents, seededRandom(1));
	/** Everything that the engine asked the store for and that is not answered. */
	asked: Asked[] = [];
	readonly effects: FleetEffect[] = [];
	/** What other VMs were told, oldest first. */
	readonly told: FeedFrame[] = [];
	/** What this VM told the one that it follows about itself. */
	readonly announced: MemberAnnouncement[] = [];
	/** VMs that it has turned to, oldest first. */
	readonly followed: string[] = [];
	/** Whose feed is taken now. */
	source: string | undefined;
	now = 0;

	handle(event: FleetEvent): void {
		for (const effect of this.fleet.handle(event, this.now)) {
			switch (effect.type) {
				case 'store': {
					this.asked.push(effect);

					break;
				}

				case 'publish-feed': {
					this.told.push(effect.frame);

					break;
				}

				case 'announce': {
					this.announced.push(effect.announcement);

					break;
				}

				case 'follow-feed': {
					this.source = effect.source;
					this.followed.push(...effect.source === undefined ? [] : [effect.source]);

					break;
				}

				default: {
					this.effects.push(effect);
				}
			}
		}
	}

	/** Answers the oldest request of this type. */
	reply(type: StoreOperation['type'], reply: StoreReply): void {
		const request = this.asked.find(({operation}) => operation.type === type)!;
		this.asked = this.asked.filter(one => one !== request);
		this.handle({type: 'store-replied', requestId: request.requestId, reply});
	}

	/** Lets time pass, with the ticks that the engine asks for. */
	passTime(milliseconds: number): void {
		const end = this.now + milliseconds;
		for (let next = this.fleet.nextWakeUp(); next !== undefined && next <= end; next = this.fleet.nextWakeUp()) {
			this.now = Math.max(this.now, next);
			this.handle({type: 'tick'});
		}

		this.now = end;
	}

	/** The engine has read these entries, first from a copy that may be old and then what came since, and watches on. */
	start(entries: readonly StoreEntry[]): void {
		this.handle({type: 'started'});
		this.reply('list', {type: 'entries', entries, revision: 10});
		this.passTime(600);
		this.reply('watch', {
			type: 'changes', entries: [], deleted: [], revision: 10,
		});
		this.passTime(500);
	}

	/** The engine, which follows nobody, has written its own entry. */
	publish(): void {
		this.reply('grant-lease', {type: 'lease', leaseId: '7', milliseconds: 3000});
		this.reply('write-all', {type: 'written', revision: 12});
	}

	/** The watch that waits brings these changes; the next one begins. */
	change(entries: readonly StoreEntry[], deleted: readonly string[] = [], revision = 20): void {
		while (!this.asked.some(({operation}) => operation.type === 'watch')) {
			this.passTime(100);
		}

		this.reply('watch', {
			type: 'changes', entries, deleted, revision,
		});
		this.passTime(500);
	}

	/** The store does not answer for this long. */
	lose(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			if (this.asked.some(({operation}) => operation.type === 'watch')) {
				this.reply('watch', {type: 'unavailable'});
			}

			this.passTime(100);
		}
	}

	/** The VM that is followed tells this. */
	frame(frame: Partial<FeedFrame>): void {
		this.handle({
			type: 'feed-frame', source: this.source!, frame: {
				revision: 20, ageMilliseconds: 0, entries: [], deleted: [], isWhole: false, ...frame,
			},
		});
	}

	/** Whether it reads the store itself. */
	get isReading(): boolean {
		return this.fleet.status(this.now).isReadingStore;
	}

	/** The configuration that calls go by now. */
	get inForce(): CallConfiguration | undefined {
		return this.effects.findLast((effect): effect is FleetEffect & {type: 'configured'} => effect.type === 'configured')?.configuration;
	}

	/** Backend servers that calls may go to now. */
	get usable(): string[] {
		return [...this.inForce?.backendServers ?? []].filter(([, server]) => !server.isLeaving).map(([identity]) => identity).toSorted();
	}

	/** Messages logged so far. */
	get logged(): string[] {
		return this.effects.filter(effect => effect.type === 'log').map(effect => effect.message);
	}

	get stages(): string[] {
		return this.effects.filter(effect => effect.type === 'stage').map(effect => effect.stage);
	}
}
