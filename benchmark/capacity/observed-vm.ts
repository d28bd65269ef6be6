/**
 * Runs the fleet engine of one VM in virtual time, with simulated peers and an in-memory store of the platform's service.
 * Processor time is measured separately for the engine and for the message codec.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {FleetCoordinator} from '../../src/common/fleet/fleet-coordinator.ts';
import {type ChangeRecord, type MemberRecord, type PeerMessage} from '../../src/common/fleet/peer-messages.ts';
import {type FleetEffect, type FleetEvent, type HashFunction} from '../../src/common/fleet/types.ts';
import {type StoredResource} from '../../src/common/model/resources.ts';
import {type StoreOperation} from '../../src/common/platform/types.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {fromWire, toWire} from '../../src/node/peers/peer-codec.ts';
import {loadService} from '../../src/node/peers/proto-file.ts';
import {KeyValueStore} from '../../src/stand-ins/platform/key-value-store.ts';
import {
	backendServerOf, dataCentreOf, daySeconds, identityOf, target,
} from './sizes.ts';
import {storeInitialConfiguration} from './first-configuration.ts';
import {type SteadyState} from './types.ts';

/** Fleet and configuration around the observed VM. */
export type VmEnvironment = {
	readonly vms: number;
	readonly resources: readonly StoredResource[];
	/** Whether the VM is one of those that watch the platform's service. */
	readonly isWatcher: boolean;
	readonly hash: HashFunction;
};

const pingIntervalSeconds = 0.5;
const loadIntervalSeconds = 0.5;
const vmListIntervalSeconds = 5;
const replySeconds = 0.002;
/** Number of copies of each change that a VM receives: every VM sends a change to 4 peers. */
const copiesPerChange = 4;
const maxMemberCharacters = 1200;
const membersPerMessage = 256;
const deliver = loadService('peers.proto', 'jaydale.peers.v1.Peers').Deliver!;

type ScheduledAction = {readonly at: number; readonly run: () => void};

/** The constructor starts and configures the VM and joins it to the fleet; `run` advances the virtual time. */
export class ObservedVm {
	readonly engine: FleetCoordinator;
	private readonly _environment: VmEnvironment;
	private readonly _random = seededRandom(7);
	private readonly _store = new KeyValueStore();
	private readonly _peers: MemberRecord[];
	private readonly _scheduled: ScheduledAction[] = [];
	private _now = 0;
	private _version = 1;
	private _engineMilliseconds = 0;
	private _codecMilliseconds = 0;
	private _messagesOut = 0;
	private _bytesOut = 0;
	private _messagesIn = 0;
	private _bytesIn = 0;
	private _storeCalls = 0;
	private _pendingMemberUpdates: number[] = [];

	constructor(environment: VmEnvironment) {
		this._environment = environment;
		// A VM that is alone in its data centre is a watcher. A VM among others is usually none; the hash decides.
		const ownDataCentre = environment.isWatcher ? 'dc-own' : 'dc-0';
		this._peers = Array.from({length: environment.vms - 1}, (_, index) => this._makePeer(index));
		storeInitialConfiguration(this._store, environment.resources);
		this.engine = new FleetCoordinator({
			identity: identityOf('own', 0),
			peerAddress: '10.250.0.1:7003',
			callAddress: '10.250.0.1:7001',
			dataCentre: ownDataCentre,
			seeds: [],
			defaultPeerPort: 7003,
			shareSlots: Math.ceil(environment.vms * 1.5),
			shareLeaseMilliseconds: 15_000,
			addressTtlMilliseconds: 5000,
			minSubsetSize: 16,
		}, seededRandom(3), environment.hash);
		this._handle({type: 'started'});
		this._join();
	}

	/** Settles for 5 s, then runs for `seconds`, all in virtual time, and returns the figures of the second period. */
	run(seconds: number): SteadyState {
		this._runUntil(this._now + 5000);
		this._resetCounts();
		const until = this._now + (seconds * 1000);
		this._scheduleTraffic();
		this._runUntil(until);
		const status = this.engine.status(this._now);
		return {
			vms: this._environment.vms,
			isWatcher: status.isWatchingStore,
			messagesOutPerSecond: this._messagesOut / seconds,
			bytesOutPerSecond: this._bytesOut / seconds,
			messagesInPerSecond: this._messagesIn / seconds,
			bytesInPerSecond: this._bytesIn / seconds,
			engineCoreShare: this._engineMilliseconds / 1000 / seconds,
			codecCoreShare: this._codecMilliseconds / 1000 / seconds,
			storeCallsPerSecond: this._storeCalls / seconds,
			isKeepingUp: this._pendingMemberUpdates.length < this._peers.length,
			membersBehind: status.members.filter(({configurationVersion}) => configurationVersion < this._version).length,
		};
	}

	/** Processor microseconds of the engine for one address list requested by a caller. */
	addressMicroseconds(answers: number): number {
		const startedAt = performance.now();
		for (let index = 0; index < answers; index++) {
			this.engine.addresses(`service-${index % target.services}`, this._now, 'dc-0');
		}

		return (performance.now() - startedAt) * 1000 / answers;
	}

	/** Processor milliseconds that the whole fleet engine spends on bringing one change into force. */
	changeMilliseconds(changes: number): number {
		this._runUntil(this._now + 5000);
		this._resetCounts();
		for (let index = 0; index < changes; index++) {
			this._change();
		}

		return this._engineMilliseconds / changes;
	}

	private _makePeer(index: number): MemberRecord {
		return {
			identity: identityOf('vm', index),
			peerAddress: `10.251.${Math.floor(index / 250)}.${index % 250}:7003`,
			callAddress: `10.251.${Math.floor(index / 250)}.${index % 250}:7001`,
			dataCentre: dataCentreOf(index),
			sequence: 1,
			isLeaving: false,
			isServing: true,
			holdsShare: true,
			configurationVersion: 1,
			utilisation: 0.5,
		};
	}

	private _join(): void {
		for (let start = 0; start < this._peers.length; start += membersPerMessage) {
			const members = this._peers.slice(start, start + membersPerMessage).map(record => ({record, verdict: 'live' as const}));
			this._receive({...this._message(this._peers[0]!, {type: 'members'}), members});
		}
	}

	private _message(sender: MemberRecord, body: PeerMessage['body']): PeerMessage {
		return {
			protocol: 1, sender, storeContactAgeMilliseconds: 500, body, members: [], leaving: [], updates: [],
		};
	}

	private _scheduleTraffic(): void {
		const every = (seconds: number, run: () => void): void => {
			const runAndReschedule = (): void => {
				run();
				this._after(seconds * 1000 * (0.5 + this._random.next()), runAndReschedule);
			};

			this._after(seconds * 1000 * this._random.next(), runAndReschedule);
		};

		every(pingIntervalSeconds, () => {
			this._receive({...this._message(this._randomPeer(), {type: 'ping', nonce: 1}), members: this._takeMemberUpdates()});
		});
		every(loadIntervalSeconds, () => {
			this._handle({type: 'own-load', utilisation: this._random.next(), services: new Map()});
		});
		every(vmListIntervalSeconds, () => {
			this._handle({type: 'vm-list', vms: this._peers.map(({peerAddress, dataCentre}) => ({address: peerAddress, dataCentre, state: 'live' as const}))});
		});
		every(daySeconds / target.changesPerDay, () => {
			this._change();
		});
	}

	/** Delivers a change to the VM from several peers. Afterwards the records of all peers contain the new version. */
	private _change(): void {
		this._version++;
		const resource = backendServerOf(this._version % target.backendServers, target.services);
		const record: ChangeRecord = {
			version: this._version,
			operationId: `operation-${this._version}`,
			who: 'operator',
			when: '2026-01-01T00:00:00.000Z',
			note: '',
			mutations: [{
				type: 'put',
				resource: {...resource, isLeaving: this._version % 2 === 0},
				metadata: {
					identity: identityOf('b', this._version % target.backendServers), createdAt: 1, version: this._version, generation: 2,
				},
			}],
		};
		for (let copy = 0; copy < Math.min(copiesPerChange, this._peers.length); copy++) {
			const peer = this._randomPeer();
			peer.configurationVersion = this._version;
			peer.sequence++;
			this._receive(this._message(peer, {type: 'changes', records: [record]}));
		}

		for (const [index, peer] of this._peers.entries()) {
			if (peer.configurationVersion < this._version) {
				peer.configurationVersion = this._version;
				peer.sequence++;
				this._pendingMemberUpdates.push(index);
			}
		}

		this._pendingMemberUpdates = [...new Set(this._pendingMemberUpdates)];
	}

	/** Removes and returns as many pending member updates as fit into one message. */
	private _takeMemberUpdates(): PeerMessage['members'] {
		const size = JSON.stringify({record: this._peers[0], verdict: 'live'}).length;
		return this._pendingMemberUpdates.splice(0, Math.floor(maxMemberCharacters / size)).map(index => ({record: {...this._peers[index]!}, verdict: 'live' as const}));
	}

	private _randomPeer(): MemberRecord {
		return this._peers[Math.floor(this._random.next() * this._peers.length)]!;
	}

	private _after(milliseconds: number, run: () => void): void {
		this._scheduled.push({at: this._now + milliseconds, run});
	}

	private _earliestScheduled(): ScheduledAction | undefined {
		let first: ScheduledAction | undefined;
		for (const action of this._scheduled) {
			first = first === undefined || action.at < first.at ? action : first;
		}

		return first;
	}

	private _runUntil(until: number): void {
		for (;;) {
			const next = this._earliestScheduled();
			const wakeUp = this.engine.nextWakeUp() ?? Infinity;
			const at = Math.min(next?.at ?? Infinity, wakeUp);
			if (at > until) {
				break;
			}

			this._now = Math.max(this._now, at);
			if (next !== undefined && next.at <= wakeUp) {
				this._scheduled.splice(this._scheduled.indexOf(next), 1);
				next.run();
			} else {
				this._handle({type: 'tick'});
			}
		}

		this._now = until;
	}

	private _handle(event: FleetEvent): void {
		const startedAt = performance.now();
		const effects = this.engine.handle(event, this._now);
		this._engineMilliseconds += performance.now() - startedAt;
		for (const effect of effects) {
			this._execute(effect);
		}
	}

	private _execute(effect: FleetEffect): void {
		if (effect.type === 'store') {
			this._storeCalls++;
			this._answerStore(effect.requestId, effect.operation);
		} else if (effect.type === 'send') {
			this._send(effect.message);
		}
	}

	/** A watch always ends at its timeout without entries, since the VM receives changes from its peers here. */
	private _answerStore(requestId: number, operation: StoreOperation): void {
		const delayMilliseconds = operation.type === 'watch' ? operation.milliseconds : replySeconds * 1000;
		this._after(delayMilliseconds, () => {
			const reply = operation.type === 'watch'
				? {
					type: 'changes' as const, entries: [], deleted: [], revision: this._store.revision,
				}
				: this._store.handle(operation, this._now)!;
			this._handle({type: 'store-replied', requestId, reply});
		});
	}

	private _send(message: PeerMessage): void {
		const startedAt = performance.now();
		const bytes = deliver.requestSerialize(toWire(message));
		this._codecMilliseconds += performance.now() - startedAt;
		this._messagesOut++;
		this._bytesOut += bytes.length;
		if (message.body.type === 'ping') {
			const {nonce} = message.body;
			this._after(replySeconds * 1000, () => {
				this._receive({...this._message(this._randomPeer(), {type: 'ping-answer', nonce}), members: this._takeMemberUpdates()});
			});
		}
	}

	private _receive(message: PeerMessage): void {
		const bytes = Buffer.from(deliver.requestSerialize(toWire(message)));
		const startedAt = performance.now();
		const decoded = fromWire(deliver.requestDeserialize(bytes));
		this._codecMilliseconds += performance.now() - startedAt;
		this._messagesIn++;
		this._bytesIn += bytes.length;
		if (decoded.isOk()) {
			this._handle({type: 'peer-message', message: decoded.value});
		}
	}

	private _resetCounts(): void {
		this._engineMilliseconds = 0;
		this._codecMilliseconds = 0;
		this._messagesOut = 0;
		this._bytesOut = 0;
		this._messagesIn = 0;
		this._bytesIn = 0;
		this._storeCalls = 0;
	}
}
